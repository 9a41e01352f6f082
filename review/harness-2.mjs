/**
 * Starts routers with the command of the deploy file on loopback addresses, with
 * small stand-ins of the platform's store, of engines and of clients.
 */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as http from 'node:http';
import * as net from 'node:net';
import * as os from 'node:os';
import * as path from 'node:path';
import * as url from 'node:url';

const REPOSITORY = path.dirname(
  path.dirname(url.fileURLToPath(import.meta.url)),
);

/** Last octet of the first router's address; each router has its own. */
const FIRST_ROUTER_OCTET = 130;

/** Interval at which engines renew their entries, in ms. */
const HEARTBEAT_MS = 1_200;

const READY_TIMEOUT_MS = 20_000;

export const HOST = 'review.example';
export const API_KEY = 'n2ctnfzs989anu6wsjnb';
export const TENANT = 'hule930';

/** Whether the run is to cause the disruption; `TROUBLE=0` leaves it out. */
export const hasTrouble = process.env.TROUBLE !== '0';

export function sleep(delayMs) {
  return new Promise(resolve => setTimeout(resolve, delayMs));
}

/** Writes what happens to `record.txt` in the folder of the case. */
export class Record {
  #startMs = performance.now();
  #stream;

  constructor(moduleUrl) {
    const folder = path.dirname(url.fileURLToPath(moduleUrl));
    this.#stream = fs.openSync(path.join(folder, 'record.txt'), 'w');
    this.write(`trouble=${hasTrouble ? 1 : 0}`);
  }

  write(line) {
    const atS = ((performance.now() - this.#startMs) / 1_000).toFixed(3);
    fs.writeSync(this.#stream, `${atS} ${line}\n`);
  }

  /** Writes a line to the record and to standard output. */
  print(line) {
    this.write(line);
    process.stdout.write(`${line}\n`);
  }
}

/** One topic of the store, with one partition. */
class Topic {
  #records = [];
  #waiters = [];

  append(key, value) {
    this.#records.push({key, value});
    const waiters = this.#waiters;
    this.#waiters = [];
    for (const wake of waiters) wake();
    return this.#records.length - 1;
  }

  get end() {
    return this.#records.length;
  }

  newest() {
    const newest = new Map();
    for (const [offset, {key, value}] of this.#records.entries()) {
      newest.set(key, {key, value: value.toString('base64'), offset});
    }
    return [...newest.values()].filter(({value}) => value !== '');
  }

  async read(from, waitMs) {
    if (from >= this.end && waitMs > 0) {
      await new Promise(resolve => {
        const timer = setTimeout(resolve, waitMs);
        this.#waiters.push(() => {
          clearTimeout(timer);
          resolve();
        });
      });
    }
    const header = Buffer.alloc(16);
    header.writeBigUInt64BE(BigInt(this.end), 0);
    return Buffer.concat([
      header,
      ...this.#records.slice(from).map(encodeRecord),
    ]);
  }
}

function encodeRecord({key, value}) {
  const keyBytes = Buffer.from(key);
  const length = Buffer.alloc(4);
  length.writeUInt32BE(1 + keyBytes.length + value.length);
  return Buffer.concat([length, Buffer.of(keyBytes.length), keyBytes, value]);
}

async function readBody(request) {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  return Buffer.concat(chunks);
}

/** The platform's store. */
export class Store {
  #topics = new Map();
  #server = http.createServer((request, response) => {
    this.#serve(request, response).catch(() => response.destroy());
  });
  address = '';

  async start() {
    await new Promise(resolve => this.#server.listen(0, '127.0.0.1', resolve));
    this.address = `127.0.0.1:${this.#server.address().port}`;
  }

  stop() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  put(topic, key, value) {
    const text = value === undefined ? '' : JSON.stringify(value);
    return this.#topic(topic).append(key, Buffer.from(text));
  }

  #topic(name) {
    if (!this.#topics.has(name)) this.#topics.set(name, new Topic());
    return this.#topics.get(name);
  }

  async #serve(request, response) {
    const {pathname, searchParams} = new URL(request.url, 'http://store');
    const topic = this.#topic(searchParams.get('topic') ?? '');
    const body = await readBody(request);
    if (pathname === '/log-read') {
      const from = Number(searchParams.get('from'));
      const waitMs = Number(searchParams.get('waitMs') ?? 0);
      response.end(await topic.read(from, waitMs));
      return;
    }
    response.setHeader('content-type', 'application/json');
    if (pathname === '/log-newest') {
      const page = {items: topic.newest(), hasMore: false, end: topic.end};
      response.end(JSON.stringify(page));
    } else if (pathname === '/log-append') {
      const keyEnd = 5 + body[4];
      const key = body.toString('utf8', 5, keyEnd);
      const offset = topic.append(key, Buffer.from(body.subarray(keyEnd)));
      response.end(JSON.stringify({offset, end: topic.end}));
    } else {
      response.writeHead(404).end('{}');
    }
  }
}

/**
 * An engine or another service. `answer` gets each request that is run, with its
 * body, and the response to write.
 */
export class Engine {
  /** The requests that were run. */
  runs = [];
  #server;
  #heartbeat;
  #seq = 0;
  #state = 'ready';

  constructor(store, {id, service, slots = 64, address = '127.0.0.1', answer}) {
    Object.assign(this, {store, id, service, slots, address, answer});
    this.bornMs = Date.now();
  }

  async start(port = 0) {
    this.#server = http.createServer({keepAliveTimeout: 30_000}, (...call) => {
      this.#serve(...call).catch(() => call[1].destroy());
    });
    // The engine takes heads of any number of fields.
    this.#server.maxHeadersCount = 0;
    await new Promise(resolve =>
      this.#server.listen(port, this.address, resolve),
    );
    this.port = this.#server.address().port;
    this.writeEntry();
    this.#heartbeat = setInterval(() => this.writeEntry(), HEARTBEAT_MS);
  }

  /** Writes the entry at once, and with each heartbeat from now on. */
  writeEntry(state = this.#state) {
    this.#state = state;
    this.store.put('keyed.servers', this.id, this.nextEntry());
  }

  nextEntry() {
    this.#seq += 1;
    return {
      service: this.service,
      address: `${this.address}:${this.port}`,
      zone: 'zone-a',
      version: 'v1',
      slots: this.slots,
      state: this.#state,
      warmupLeftMs: 0,
      seq: this.#seq,
      born: this.bornMs,
    };
  }

  stop() {
    clearInterval(this.#heartbeat);
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** The headers that tie an answer to its request. */
  answerHeaders(id) {
    return {'attempt-id': id, 'response-seal': `seal.${this.id}.${id}`};
  }

  async #serve(request, response) {
    const {headers} = request;
    const body = await readBody(request);
    if (request.url === '/kv-list') {
      response.setHeader('content-type', 'application/json');
      response.end(JSON.stringify({epoch: 1, next: 0, held: []}));
      return;
    }
    if (headers['expect-instance'] !== this.id) {
      response.writeHead(421, {'instance-id': this.id}).end();
      return;
    }
    const id = headers['attempt-id'] ?? '';
    const run = {id, headers, method: request.method, path: request.url, body};
    this.runs.push(run);
    await this.answer(run, response, this);
  }
}

/** Returns ports that are free on all loopback addresses. */
async function freePorts(count) {
  const servers = Array.from({length: count}, () => net.createServer());
  for (const server of servers) {
    await new Promise(resolve => server.listen(0, '0.0.0.0', resolve));
  }
  const ports = servers.map(server => server.address().port);
  for (const server of servers) {
    await new Promise(resolve => server.close(resolve));
  }
  return ports;
}

/** Reads the command and the template of the router from the deploy file. */
function readDeployFile() {
  const text = fs.readFileSync(
    path.join(REPOSITORY, 'deploy/system.toml'),
    'utf8',
  );
  const valueOf = name => new RegExp(`^${name} = "(.*)"$`, 'm').exec(text)[1];
  const template = path.join(REPOSITORY, valueOf('template'));
  const [, ...args] = valueOf('run').split(' ');
  return {args, template: fs.readFileSync(template, 'utf8')};
}

/** The values of the users' settings page that a small deployment has. */
const SETTINGS = {
  'bounds.budgetRatio': 0.2,
  'bounds.budgetSlack': 122,
  'bounds.budgetWindowS': 10,
  'bounds.graceS': 8,
  'limits.memoryMb': 272,
  'limits.maxFds': 2069,
};

/** The routers of one deployment. */
export class Fleet {
  routers = [];
  #folder = fs.mkdtempSync(path.join(os.tmpdir(), 'review-'));
  #deploy = readDeployFile();

  constructor(store, record) {
    Object.assign(this, {store, record});
  }

  async start(count) {
    const [entry, ready, directory, control, gossip] = await freePorts(5);
    this.ports = {entry, ready, directory, control, gossip};
    for (let index = 0; index < count; index++) {
      const address = `127.0.0.${FIRST_ROUTER_OCTET + index}`;
      this.routers.push(this.spawn({address, name: `front-zone-a-${index}`}));
    }
    for (const router of this.routers) await this.untilReady(router);
    // The routers tell each other of themselves.
    await sleep(1_500);
  }

  writeSettings({address, name}) {
    const {entry, ready, directory, control, gossip} = this.ports;
    const values = {
      ...SETTINGS,
      node: name,
      ip: address,
      zone: 'zone-a',
      'listen.front': `${address}:${entry}`,
      'listen.ready': `${address}:${ready}`,
      'listen.directory': `${address}:${directory}`,
      'listen.control': `${address}:${control}`,
      portRange: `${gossip},${gossip + 15}`,
      seeds: `127.0.0.${FIRST_ROUTER_OCTET}:${control}`,
      'platform.address': this.store.address,
      bootstrap: true,
    };
    const text = this.#deploy.template.replace(
      /\{\{([\w.]+)\}\}/g,
      (_, field) => String(values[field] ?? ''),
    );
    const file = path.join(this.#folder, `${name}.conf`);
    fs.writeFileSync(file, text);
    return file;
  }

  /** Starts the process of a router; it has the fields of the given one. */
  spawn({address, name}) {
    const file = this.writeSettings({address, name});
    const {PATH, HOME, LANG} = process.env;
    const child = childProcess.spawn(process.execPath, this.#deploy.args, {
      cwd: REPOSITORY,
      env: {PATH, HOME, LANG, OLEANDERROCK_CONFIG: file},
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const router = {address, name, child, file, exit: undefined, log: []};
    router.exited = new Promise(resolve => {
      child.once('close', (status, signal) => {
        router.exit = {status, signal};
        const how = signal ?? `status ${status}`;
        this.record.write(`router ${name} ended with ${how}`);
        resolve();
      });
    });
    const keep = data => router.log.push(...String(data).split('\n'));
    child.stdout.on('data', keep);
    child.stderr.on('data', keep);
    this.record.write(`router ${name} started, pid ${child.pid}`);
    return router;
  }

  signal(router, signal) {
    this.record.print(`${signal} to router ${router.name}`);
    router.child.kill(signal);
  }

  /** Status of the readiness check; 0 if there is no answer. */
  readiness({address}) {
    return new Promise(resolve => {
      const options = {host: address, port: this.ports.ready, path: '/ready'};
      const request = http.get(
        {...options, agent: false, timeout: 1_000},
        response => {
          response.resume();
          resolve(response.statusCode);
        },
      );
      request.on('timeout', () => request.destroy());
      request.on('error', () => resolve(0));
    });
  }

  async untilReady(router) {
    const untilMs = performance.now() + READY_TIMEOUT_MS;
    while ((await this.readiness(router)) !== 200) {
      if (performance.now() > untilMs || router.exit) {
        throw new Error(
          `${router.name} is not ready\n${router.log.join('\n')}`,
        );
      }
      await sleep(50);
    }
  }

  stop() {
    for (const {child, exit} of this.routers) if (!exit) child.kill('SIGKILL');
    fs.rmSync(this.#folder, {recursive: true, force: true});
  }
}

/** A config with the routes; requests carry the key of one tenant. */
export function createConfig(version, routes) {
  const services = [...new Set(routes.map(({service}) => service))];
  return {
    version,
    routes,
    services: services.map(name => ({
      name,
      healthPath: '/health',
      maxConns: 781,
      protocol: 'h1',
      tls: false,
    })),
    limits: {
      headerBytes: 16_384,
      bodyBytes: 4_194_304,
      headerMs: 3_000,
      idleMs: 15_000,
    },
    tenants: [{name: TENANT, keys: [API_KEY], priority: 1}],
  };
}

let lastAttempt = 0;

/** An id that no other attempt of this run has. */
export function newAttemptId() {
  lastAttempt += 1;
  return `attempt-${process.pid}-${lastAttempt}`;
}

/** Headers that a client sends with each request. */
export function clientHeaders(id, deadlineMs) {
  return {
    host: HOST,
    'attempt-id': id,
    'deadline-ms': String(deadlineMs),
    'x-api-key': API_KEY,
  };
}

/** Longest time for which a client waits, in ms. */
const MAX_CALL_MS = 30_000;

/**
 * Sends a request as a client; resolves with its status, headers and body, and
 * whether the answer was complete by the rules of HTTP. The client leaves after
 * `timeoutMs`.
 */
export function call(options) {
  const {address, port, method = 'POST', path, headers, body} = options;
  const {agent = false} = options;
  return new Promise(resolve => {
    const request = http.request(
      {host: address, port, method, path, headers, agent},
      response => {
        const chunks = [];
        response.on('data', chunk => chunks.push(chunk));
        let error;
        response.on('error', reason => (error = reason.message));
        response.on('close', () => {
          clearTimeout(timer);
          resolve({
            status: response.statusCode,
            headers: response.headers,
            body: Buffer.concat(chunks).toString(),
            isComplete: response.complete && error === undefined,
            error,
          });
        });
      },
    );
    const timer = setTimeout(
      () => request.destroy(new Error('the client left at its deadline')),
      options.timeoutMs ?? MAX_CALL_MS,
    );
    request.on('error', ({message}) => {
      clearTimeout(timer);
      resolve({status: 0, error: message});
    });
    request.end(body);
  });
}

/** Runs a case; its status is 1 if the rule was broken, and 0 if it held. */
export async function runCase(moduleUrl, body) {
  const record = new Record(moduleUrl);
  const store = new Store();
  await store.start();
  const fleet = new Fleet(store, record);
  const engines = [];
  let status = 2;
  const end = () => {
    fleet.stop();
    for (const engine of engines) engine.stop();
    store.stop();
  };
  const abandon = () => {
    end();
    process.exit(2);
  };
  process.once('SIGTERM', abandon);
  process.once('SIGINT', abandon);
  try {
    const isBroken = await body({record, store, fleet, engines});
    status = isBroken ? 1 : 0;
    record.print(isBroken ? 'the rule was broken' : 'the rule held');
  } catch (error) {
    record.print(`the case could not run: ${error.stack}`);
  }
  end();
  process.exit(status);
}
