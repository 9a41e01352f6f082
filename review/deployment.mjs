/**
 * A small deployment on loopback addresses: the store, and routers that are
 * started with the command and the settings template of the deploy file. A
 * router that ends is started again after a short delay.
 */
import * as childProcess from 'node:child_process';
import * as crypto from 'node:crypto';
import * as fs from 'node:fs';
import * as net from 'node:net';
import * as os from 'node:os';
import * as path from 'node:path';
import * as url from 'node:url';
import {Record} from './record.mjs';
import {Store} from './store.mjs';

export const ROOT = path.resolve(
  path.dirname(url.fileURLToPath(import.meta.url)),
  '..',
);

/** Host name of all routes. */
export const HOST = 'review.example';

/** Interval between reports of a live engine, in ms. */
const HEARTBEAT_MS = 1_200;

/** Delay before a router that ended is started again, in ms. */
const RESTART_DELAY_MS = 500;

const READY_TIMEOUT_MS = 20_000;

/** Time after which a case gives up, in ms. */
const MAX_CASE_MS = 115_000;
const ZONES = ['zone-a', 'zone-b', 'zone-c'];

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

/** Whether the case is to be run with the disruption. */
export const isTroubled = process.env.TROUBLE !== '0';

/** A route with the fields of PROTOCOL.md. */
export function createRoute(fields) {
  return {
    host: HOST,
    kind: 'streaming',
    service: 'oleander-pool',
    timeoutMs: 15_000,
    goalMs: 800,
    maxAttempts: 2,
    priority: 2,
    public: true,
    resumable: false,
    ...fields,
  };
}

/** The store, the routers and the records of the engines. */
export class Deployment {
  store = new Store();
  routers = [];
  #children = new Set();
  #engines = new Map();
  #isStopping = false;
  #network = `127.${crypto.randomInt(16, 240)}.${crypto.randomInt(256)}`;
  #nextHost = 10;
  #version = 0;
  #folder = fs.mkdtempSync(path.join(os.tmpdir(), 'review-'));

  constructor(caseFolder) {
    this.record = new Record(caseFolder);
    process.on('exit', () => this.#killAll());
    setTimeout(() => process.exit(2), MAX_CASE_MS).unref();
    for (const signal of ['SIGINT', 'SIGTERM']) {
      process.on(signal, () => process.exit(2));
    }
  }

  /** A loopback address that no other part of the deployment uses. */
  nextAddress() {
    this.#nextHost += 1;
    return `${this.#network}.${this.#nextHost}`;
  }

  /** Starts the store; returns its address. */
  async startStore() {
    this.storeHost = this.nextAddress();
    this.storePort = await freePort(this.storeHost);
    await this.store.listen(this.storeHost, this.storePort);
    setInterval(() => this.#reportEngines(), HEARTBEAT_MS).unref();
    return `${this.storeHost}:${this.storePort}`;
  }

  /** Puts a configuration in force; returns when the store confirmed it. */
  configure({routes, tenants, idleMs = 30_000}) {
    this.#version += 7;
    const version = this.#version;
    const names = new Set(routes.map(({service}) => service));
    const services = [...names].map(name => ({
      name,
      healthPath: '/health',
      maxConns: 800,
    }));
    const limits = {
      headerBytes: 16_384,
      bodyBytes: 4_194_304,
      headerMs: 10_000,
      idleMs,
    };
    const config = {version, routes, services, limits, tenants};
    this.store.put('keyed.op', 'config', config);
    this.record.add('config_confirmed', {version});
  }

  /** Registers an engine, which reports from now on until it is removed. */
  register(id, {service, address, zone, born}) {
    const entry = {
      service,
      address,
      zone,
      version: '1',
      slots: 64,
      state: 'ready',
      warmupLeftMs: 0,
      seq: 1,
      born,
    };
    this.#engines.set(id, entry);
    this.store.put('keyed.servers', id, entry);
  }

  /** Removes the record of an engine that leaves without `draining`. */
  unregister(id) {
    this.#engines.delete(id);
    this.store.put('keyed.servers', id, undefined);
    this.record.add('entry_removed', {engine: id});
  }

  #reportEngines() {
    for (const [id, entry] of this.#engines) {
      entry.seq += 1;
      this.store.put('keyed.servers', id, entry);
    }
  }

  /** Starts routers and waits until all are ready. */
  async startRouters(count, storeAddress) {
    const hosts = Array.from({length: count}, () => this.nextAddress());
    const ports = await commonPorts(hosts, 5);
    for (const [index, ip] of hosts.entries()) {
      const seeds = hosts.slice(0, 3).map(host => `${host}:${ports[2]}`);
      const fields = {
        node: `front-${index + 1}`,
        ip,
        zone: ZONES[index % ZONES.length],
        'listen.front': `${ip}:${ports[0]}`,
        'listen.ready': `${ip}:${ports[1]}`,
        'listen.control': `${ip}:${ports[2]}`,
        'listen.directory': `${ip}:${ports[3]}`,
        portRange: `${ports[4]},${ports[4]}`,
        seeds: seeds.join(','),
        'platform.address': storeAddress,
        'bounds.budgetRatio': '0.2',
        'bounds.budgetSlack': '126',
        'bounds.budgetWindowS': '10',
        'bounds.graceS': '8',
        bootstrap: 'true',
      };
      const router = {
        name: fields.node,
        host: ip,
        port: ports[0],
        readyPort: ports[1],
        fields,
        ends: 0,
      };
      this.routers.push(router);
      this.#startRouter(router);
    }
    const deadlineMs = performance.now() + READY_TIMEOUT_MS;
    for (const router of this.routers) {
      while (!(await isReady(router))) {
        if (performance.now() > deadlineMs) {
          throw new Error(`${router.name} is not ready`);
        }
        await sleep(100);
      }
    }
    this.record.add('routers_ready', {count});
  }

  #startRouter(router) {
    const file = path.join(this.#folder, `${router.name}.conf`);
    const template = fs.readFileSync(
      path.join(ROOT, 'deploy/router.env'),
      'utf8',
    );
    const settings = template.replace(
      /\{\{([^}]+)\}\}/g,
      (_, name) => router.fields[name] ?? '',
    );
    fs.writeFileSync(file, settings);
    const deployFile = fs.readFileSync(
      path.join(ROOT, 'deploy/system.toml'),
      'utf8',
    );
    const [, run] = /^run = "(.*)"$/m.exec(deployFile);
    const [, ...args] = run.split(' ');
    const log = fs.openSync(path.join(this.#folder, `${router.name}.log`), 'a');
    const child = childProcess.spawn(process.execPath, args, {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        OLEANDERROCK_CONFIG: file,
      },
      stdio: ['ignore', log, log],
    });
    fs.closeSync(log);
    router.child = child;
    router.isExpectedToEnd = false;
    this.#children.add(child);
    this.record.add('router_started', {router: router.name, pid: child.pid});
    child.once('exit', (code, signal) => {
      this.#children.delete(child);
      if (this.#isStopping) return;
      this.record.add('router_ended', {router: router.name, code, signal});
      if (!router.isExpectedToEnd) {
        router.ends += 1;
        this.#recordLastLines(router);
      }
      router.fields.bootstrap = 'false';
      setTimeout(() => {
        if (!this.#isStopping) this.#startRouter(router);
      }, RESTART_DELAY_MS);
    });
  }

  #recordLastLines(router) {
    const lines = this.logOf(router).trim().split('\n');
    const shown = lines.filter(line => /Error|throw|at .*target/.test(line));
    for (const line of shown.slice(0, 4)) {
      const text = line.trim().replace(/file:.*\/target\//, 'target/');
      this.record.add('router_log', {router: router.name, line: text});
    }
  }

  /** What the router has logged so far. */
  logOf({name}) {
    return fs.readFileSync(path.join(this.#folder, `${name}.log`), 'utf8');
  }

  /** Sends SIGTERM to a router, as for planned work. */
  terminate(router) {
    router.isExpectedToEnd = true;
    this.record.add('sigterm', {router: router.name});
    router.child.kill('SIGTERM');
  }

  /** Starts a stand-in as a process of its own; resolves at its first line. */
  startProgram(file, args) {
    const child = childProcess.spawn(process.execPath, [file, ...args], {
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    this.#children.add(child);
    child.once('exit', () => this.#children.delete(child));
    return new Promise(resolve =>
      child.stdout.once('data', () => resolve(child)),
    );
  }

  /** Ends all processes, prints the verdict and exits with 1 if it is broken. */
  finish(isBroken, summary) {
    this.record.add(isBroken ? 'broken' : 'held', {summary});
    process.stdout.write(`${isBroken ? 'broken' : 'held'}: ${summary}\n`);
    this.#killAll();
    process.exit(isBroken ? 1 : 0);
  }

  #killAll() {
    this.#isStopping = true;
    for (const child of this.#children) child.kill('SIGKILL');
    if (process.env.KEEP_LOGS) return;
    fs.rmSync(this.#folder, {recursive: true, force: true});
  }
}

/** Runs a case; exits with 2 if it cannot be run. */
export async function runCase(body) {
  try {
    await body();
  } catch (error) {
    process.stderr.write(`${error.stack}\n`);
    process.exit(2);
  }
}

/** Whether the router says within a second that it is ready. */
async function isReady({host, readyPort}) {
  try {
    const signal = AbortSignal.timeout(1_000);
    const response = await fetch(`http://${host}:${readyPort}/ready`, {signal});
    await response.arrayBuffer();
    return response.status === 200;
  } catch {
    return false;
  }
}

function tryListen(host, port) {
  return new Promise(resolve => {
    const server = net.createServer();
    server.once('error', () => resolve(undefined));
    server.listen(port, host, () => {
      const {port: bound} = server.address();
      server.close(() => resolve(bound));
    });
  });
}

/** A port that is free at the address. */
export function freePort(host) {
  return tryListen(host, 0);
}

/** Ports that are free at all of the addresses. */
async function commonPorts(hosts, count) {
  const ports = [];
  while (ports.length < count) {
    const port = crypto.randomInt(20_000, 30_000);
    const bound = await Promise.all(hosts.map(host => tryListen(host, port)));
    if (bound.every(Boolean) && !ports.includes(port)) ports.push(port);
  }
  return ports;
}
