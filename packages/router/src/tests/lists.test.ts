/** Lists that lag, are down, or differ between two routers. */
import * as http from 'node:http';
import type * as net from 'node:net';
import * as chai from 'chai';
import * as core from '@oleanderrock/core';
import * as standins from '@oleanderrock/standins';
import * as v from 'valibot';
import * as support from './faultsupport.js';
import * as flow from './flow.js';
import * as waiting from './until.js';

const {expect} = chai;

const SHORT = {prompt_tokens: 10, output_tokens: 5};
const WITHIN_MS = 3_000;
const LAG_MS = 5_000;
const DOWN_MS = 10_000;

const listSchema = v.looseObject({instances: v.array(core.instanceSchema)});

const statsSchema = v.object({
  admissions: v.array(v.object({in_flight: v.number(), queued: v.number()})),
});

/** The platform as one reader sees it: without one router on its list. */
class PartView {
  private readonly server = http.createServer((request, response) => {
    void this.forward(request, response);
  });
  private isOver = false;

  constructor(
    private readonly platformUrl: string,
    private readonly hidden: string,
  ) {}

  async start(): Promise<string> {
    await new Promise<void>(resolve => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    const {port} = this.server.address() as net.AddressInfo;
    return `http://127.0.0.1:${port}`;
  }

  stop(): void {
    this.isOver = true;
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
      response.end(isList ? this.without(text) : text);
    } catch {
      if (!this.isOver) response.destroy();
    }
  }

  private without(text: string): string {
    const list = v.parse(listSchema, JSON.parse(text));
    const kept = list.instances.filter(item => item.name !== this.hidden);
    return JSON.stringify({...list, instances: kept});
  }
}

describe('two routers that own one engine', function () {
  this.timeout(60_000);
  const ENGINES = ['e1', 'e2', 'e3', 'e4'];
  const MOST = 2;
  let fleet: standins.Fleet;
  let view: PartView;

  before(async () => {
    fleet = await support.startFleet({
      routers: 4,
      engines: ENGINES.length,
      route: {wait_ms: 6_000},
      pool: {load_multiple: 10, max_in_flight: MOST},
    });
    view = new PartView(fleet.platformUrl, 'r2');
    const flags = ['--platform-url', await view.start()];
    await fleet.addRouter({name: 'r5', flags});
    for (const name of ENGINES) {
      await fleet.control(name, {report_lag_ms: 3_000});
    }
  });

  after(async () => {
    await fleet.stop();
    view.stop();
  });

  /** Engines that two routers call their own. */
  async function shared(): Promise<string[]> {
    const {endpoints} = await flow.status(fleet, 'r1');
    return endpoints
      .filter(item => item.owners.length > 1)
      .map(item => item.name);
  }

  /** What the engine carried at each start of a request. */
  async function readCarried(name: string): Promise<number[]> {
    const {admissions} = v.parse(statsSchema, await fleet.stats(name));
    return admissions.map(({in_flight: running, queued}) => running + queued);
  }

  it('each keep the bound and answer all, with reports late by 3 s', async () => {
    const both = await waiting.until('an engine has two owners', async () => {
      const names = await shared();
      return names.length > 0 && names;
    });
    const load = new flow.Flow(fleet, {
      via: ['r1', 'r2', 'r3', 'r4', 'r5'],
      callers: 24,
      bodies: [{prompt_tokens: 0, output_tokens: 20}],
    });
    await waiting.until('enough is answered', () => load.got.length >= 400);
    expect(await shared(), 'still two owners').to.deep.equal(both);
    await load.end();
    const carried = await Promise.all(ENGINES.map(readCarried));
    const [most = 0] = carried.flat().sort((a, b) => b - a);
    const over = carried.flat().filter(one => one > MOST).length;
    flow.print({shared: both.join(), most, over, ...flow.tally(load.got)});
    expect(flow.tally(load.got)).to.have.all.keys('answered');
    for (const [index, loads] of carried.entries()) {
      const own = both.includes(ENGINES[index]!) ? 2 * MOST : MOST;
      expect(Math.max(...loads), ENGINES[index]).to.be.at.most(own);
    }
    for (const {result} of load.got.slice(-30)) {
      if (result.type !== 'answered') continue;
      const {requestId, endpoint} = result;
      const steps = await flow.steps(fleet, 'r1', requestId);
      const {router: entry} = steps[0]!;
      expect(flow.depth(steps, entry)).to.be.at.most(2);
      const ran = steps.filter(({step}) => step === 'dispatched');
      const where = ran.map(item => item.endpoint);
      expect(where, 'ran where it was sent, once').to.deep.equal([endpoint]);
    }
  });

  it('keep the bound together, with reports late by 3 s', async () => {
    const carried = await Promise.all(ENGINES.map(readCarried));
    expect(Math.max(...carried.flat())).to.be.at.most(MOST);
  });
});

describe('a list that lags or is down', function () {
  this.timeout(60_000);
  let fleet: standins.Fleet;
  let load: flow.Flow;

  before(async () => {
    fleet = await support.startFleet({
      routers: 4,
      engines: 4,
      route: {wait_ms: 4_000},
      pool: {load_multiple: 2},
    });
    const via = ['r1', 'r2', 'r3'];
    load = new flow.Flow(fleet, {via, callers: 12, bodies: [SHORT]});
  });

  after(async () => {
    await load.end();
    await fleet.stop();
  });

  it('costs no answer while a router dies and the list is down', async () => {
    const table = await waiting.until('each endpoint has an owner', () =>
      flow.owners(fleet, 'r1'),
    );
    const owned = [...table].filter(([, owner]) => owner === 'r4');
    const [endpoint] = owned[0]!;
    await fleet.controlPlatform({list_down: true});
    const fromMs = performance.now();
    void fleet.kill('r4');
    const first = await waiting.until(`${endpoint} answers`, () =>
      load.since(fromMs).find(got => flow.endpointOf(got) === endpoint),
    );
    const tookMs = first.endedMs - fromMs;
    const untilMs = fromMs + DOWN_MS;
    await waiting.until(
      'the outage is over',
      () => performance.now() > untilMs,
    );
    await fleet.controlPlatform({list_down: false});
    flow.print({took_ms: Math.round(tookMs), ...flow.tally(load.got)});
    expect(tookMs).to.be.below(WITHIN_MS);
    expect(flow.tally(load.got)).to.have.all.keys('answered');
  });

  it('costs no answer while an engine leaves and the list lags', async () => {
    await fleet.controlPlatform({list_lag_ms: LAG_MS});
    const fromMs = performance.now();
    await fleet.unlist('e1');
    await fleet.terminate('e1');
    const untilMs = performance.now() + LAG_MS;
    await waiting.until('the lag is over', () => performance.now() > untilMs);
    await waiting.until('the list tells', async () => {
      const {endpoints} = await flow.status(fleet, 'r1');
      return endpoints.every(item => item.name !== 'e1');
    });
    await load.end();
    const during = load.since(fromMs);
    const slowestMs = Math.max(
      ...during.map(item => item.endedMs - item.beganMs),
    );
    flow.print({slowest_ms: Math.round(slowestMs), ...flow.tally(during)});
    expect(flow.tally(during)).to.have.all.keys('answered');
  });
});
