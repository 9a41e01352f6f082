/**
 * Guards against lost requests, and against overload of engines, while the
 * instance list lags, is down, or differs between routers.
 */
import * as http from 'node:http';
import type * as net from 'node:net';
import * as chai from 'chai';
import * as core from '@oleanderrock/core';
import * as standins from '@oleanderrock/standins';
import * as v from 'valibot';
import * as faultSupport from './faultsupport.js';
import * as closedLoop from './closedloop.js';
import * as polling from './polling.js';

const {expect} = chai;

const SHORT = {prompt_tokens: 10, output_tokens: 5};
const TAKE_OVER_LIMIT_MS = 3_000;
const LAG_MS = 5_000;
const OUTAGE_MS = 10_000;

const listSchema = v.looseObject({instances: v.array(core.instanceSchema)});

const statsSchema = v.object({
  admissions: v.array(v.object({in_flight: v.number(), queued: v.number()})),
});

/** A proxy of the platform that hides one router from its instance list. */
class PlatformProxy {
  private readonly server = http.createServer((request, response) => {
    void this.forward(request, response);
  });
  private isStopped = false;

  constructor(
    private readonly platformUrl: string,
    private readonly hiddenRouter: string,
  ) {}

  async start(): Promise<string> {
    await new Promise<void>(resolve => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    const {port} = this.server.address() as net.AddressInfo;
    return `http://127.0.0.1:${port}`;
  }

  stop(): void {
    this.isStopped = true;
    this.server.close();
    this.server.closeAllConnections();
  }

  private async forward(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of request) chunks.push(chunk as Buffer);
    const body = Buffer.concat(chunks);
    const path = request.url ?? '';
    try {
      const answer = await fetch(this.platformUrl + path, {
        method: request.method,
        body: body.length > 0 ? body : undefined,
      });
      const text = await answer.text();
      const isList = path.startsWith('/instances') && answer.ok;
      response.statusCode = answer.status;
      response.end(isList ? this.hideRouter(text) : text);
    } catch {
      if (!this.isStopped) response.destroy();
    }
  }

  private hideRouter(text: string): string {
    const list = v.parse(listSchema, JSON.parse(text));
    const visible = list.instances.filter(
      item => item.name !== this.hiddenRouter,
    );
    return JSON.stringify({...list, instances: visible});
  }
}

describe('two routers that own the same engine', function () {
  this.timeout(60_000);
  const ENGINES = ['e1', 'e2', 'e3', 'e4'];
  const MAX_IN_FLIGHT = 2;
  let fleet: standins.Fleet;
  let proxy: PlatformProxy;

  before(async () => {
    fleet = await faultSupport.startFleet({
      routers: 4,
      engines: ENGINES.length,
      route: {wait_ms: 6_000},
      pool: {load_multiple: 10, max_in_flight: MAX_IN_FLIGHT},
    });
    proxy = new PlatformProxy(fleet.platformUrl, 'r2');
    const flags = ['--platform-url', await proxy.start()];
    await fleet.addRouter({name: 'r5', flags});
    for (const name of ENGINES) {
      await fleet.setFaults(name, {report_lag_ms: 3_000});
    }
  });

  after(async () => {
    await fleet.stop();
    proxy.stop();
  });

  /** Engines that have more than one owner. */
  async function enginesWithTwoOwners(): Promise<string[]> {
    const {endpoints} = await closedLoop.readStatus(fleet, 'r1');
    return endpoints
      .filter(item => item.owners.length > 1)
      .map(item => item.name);
  }

  /** Requests in flight and queued at the engine whenever a request starts. */
  async function readLoads(name: string): Promise<number[]> {
    const {admissions} = v.parse(statsSchema, await fleet.stats(name));
    return admissions.map(({in_flight: inFlight, queued}) => inFlight + queued);
  }

  it('each keep the limit and answer all requests, with load reports 3 s late', async () => {
    const sharedEngines = await polling.until(
      'an engine has two owners',
      async () => {
        const names = await enginesWithTwoOwners();
        return names.length > 0 && names;
      },
    );
    const load = new closedLoop.ClosedLoop(fleet, {
      routers: ['r1', 'r2', 'r3', 'r4', 'r5'],
      callers: 24,
      bodies: [{prompt_tokens: 0, output_tokens: 20}],
    });
    await polling.until(
      'enough requests are answered',
      () => load.records.length >= 400,
    );
    expect(
      await enginesWithTwoOwners(),
      'engines with two owners',
    ).to.deep.equal(sharedEngines);
    await load.stop();
    const loadsByEngine = await Promise.all(ENGINES.map(readLoads));
    const [maxLoad = 0] = loadsByEngine.flat().sort((a, b) => b - a);
    const overLimit = loadsByEngine
      .flat()
      .filter(value => value > MAX_IN_FLIGHT).length;
    closedLoop.printMeasurements({
      shared: sharedEngines.join(),
      most: maxLoad,
      over: overLimit,
      ...closedLoop.countByKind(load.records),
    });
    expect(closedLoop.countByKind(load.records)).to.have.all.keys('answered');
    for (const [index, loads] of loadsByEngine.entries()) {
      const limit = sharedEngines.includes(ENGINES[index]!)
        ? 2 * MAX_IN_FLIGHT
        : MAX_IN_FLIGHT;
      expect(Math.max(...loads), ENGINES[index]).to.be.at.most(limit);
    }
    for (const {result} of load.records.slice(-30)) {
      if (result.type !== 'answered') continue;
      const {requestId, endpoint} = result;
      const steps = await closedLoop.readSteps(fleet, 'r1', requestId);
      const {router: entry} = steps[0]!;
      expect(closedLoop.countMaxHops(steps, entry)).to.be.at.most(2);
      const dispatches = steps.filter(({step}) => step === 'dispatched');
      const dispatchedEndpoints = dispatches.map(item => item.endpoint);
      expect(
        dispatchedEndpoints,
        'endpoints that ran the request',
      ).to.deep.equal([endpoint]);
    }
  });

  it('keep the limit together, with load reports 3 s late', async () => {
    const loadsByEngine = await Promise.all(ENGINES.map(readLoads));
    expect(Math.max(...loadsByEngine.flat())).to.be.at.most(MAX_IN_FLIGHT);
  });
});

describe('an instance list that lags or is down', function () {
  this.timeout(60_000);
  let fleet: standins.Fleet;
  let load: closedLoop.ClosedLoop;

  before(async () => {
    fleet = await faultSupport.startFleet({
      routers: 4,
      engines: 4,
      route: {wait_ms: 4_000},
      pool: {load_multiple: 2},
    });
    const routers = ['r1', 'r2', 'r3'];
    load = new closedLoop.ClosedLoop(fleet, {
      routers,
      callers: 12,
      bodies: [SHORT],
    });
  });

  after(async () => {
    await load.stop();
    await fleet.stop();
  });

  it('causes no failed request when a router dies while it is down', async () => {
    const owners = await polling.until('each endpoint has an owner', () =>
      closedLoop.readOwners(fleet, 'r1'),
    );
    const owned = [...owners].filter(([, owner]) => owner === 'r4');
    const [endpoint] = owned[0]!;
    await fleet.setPlatformFaults({list_down: true});
    const fromMs = performance.now();
    void fleet.kill('r4');
    const firstAnswer = await polling.until(`${endpoint} answers`, () =>
      load
        .startedSince(fromMs)
        .find(record => closedLoop.endpointOf(record) === endpoint),
    );
    const takeOverMs = firstAnswer.endMs - fromMs;
    const untilMs = fromMs + OUTAGE_MS;
    await polling.until(
      'the outage is over',
      () => performance.now() > untilMs,
    );
    await fleet.setPlatformFaults({list_down: false});
    closedLoop.printMeasurements({
      took_ms: Math.round(takeOverMs),
      ...closedLoop.countByKind(load.records),
    });
    expect(takeOverMs).to.be.below(TAKE_OVER_LIMIT_MS);
    expect(closedLoop.countByKind(load.records)).to.have.all.keys('answered');
  });

  it('causes no failed request when an engine leaves while it lags', async () => {
    await fleet.setPlatformFaults({list_lag_ms: LAG_MS});
    const fromMs = performance.now();
    await fleet.removeFromInstanceList('e1');
    await fleet.terminate('e1');
    const untilMs = performance.now() + LAG_MS;
    await polling.until('the lag is over', () => performance.now() > untilMs);
    await polling.until('r1 has the new list', async () => {
      const {endpoints} = await closedLoop.readStatus(fleet, 'r1');
      return endpoints.every(item => item.name !== 'e1');
    });
    await load.stop();
    const resultsDuringLag = load.startedSince(fromMs);
    const slowestMs = Math.max(
      ...resultsDuringLag.map(item => item.endMs - item.startMs),
    );
    closedLoop.printMeasurements({
      slowest_ms: Math.round(slowestMs),
      ...closedLoop.countByKind(resultsDuringLag),
    });
    expect(closedLoop.countByKind(resultsDuringLag)).to.have.all.keys(
      'answered',
    );
  });
});
