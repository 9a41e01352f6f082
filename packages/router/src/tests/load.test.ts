/** Full, frozen and empty pools: what goes on, moves, or is refused at once. */
import * as chai from 'chai';
import type * as core from '@oleanderrock/core';
import type * as standins from '@oleanderrock/standins';
import * as support from './faultsupport.js';
import * as flow from './flow.js';
import * as members from './members.js';
import * as waiting from './until.js';

const {expect} = chai;

const SHORT = {prompt_tokens: 10, output_tokens: 5};
const SLOW_MS = 700;
const MOVES_WITHIN_MS = 4_000;
const BACK_WITHIN_MS = 10_000;

const isAnswered = ({result}: flow.Got) => result.type === 'answered';

/** The share of the requests that took long. */
function slowShare(got: readonly flow.Got[]): number {
  const slow = got.filter(item => item.endedMs - item.beganMs > SLOW_MS);
  return slow.length / got.length;
}

describe('frozen engines', function () {
  this.timeout(60_000);
  const ENGINES = ['e1', 'e2', 'e3', 'e4'];
  let fleet: standins.Fleet;
  let load: flow.Flow;

  before(async () => {
    fleet = await support.startFleet({
      routers: 4,
      engines: ENGINES.length,
      route: {wait_ms: 4_000, first_byte_timeout_ms: 800},
      pool: {load_multiple: 2},
    });
    const via = ['r1', 'r2', 'r3', 'r4'];
    load = new flow.Flow(fleet, {via, callers: 16, bodies: [SHORT]});
  });

  after(async () => {
    await load.end();
    await fleet.stop();
  });

  /** Freezes for some time and resumes; what was asked `afterMs` on. */
  async function freeze(
    engines: readonly string[],
    afterMs: number,
  ): Promise<flow.Got[]> {
    const fromMs = performance.now();
    for (const name of engines) fleet.freeze(name);
    await support.pause(MOVES_WITHIN_MS + 2_000);
    const untilMs = performance.now();
    for (const name of engines) fleet.resume(name);
    const moved = load.since(fromMs + afterMs);
    return moved.filter(item => item.beganMs < untilMs);
  }

  /** How long it takes until each of the engines answers again. */
  async function comeBack(engines: readonly string[]): Promise<number> {
    const fromMs = performance.now();
    const first = engines.map(name =>
      waiting.until(`${name} answers`, () =>
        load.since(fromMs).find(got => flow.endpointOf(got) === name),
      ),
    );
    await Promise.all(first);
    return performance.now() - fromMs;
  }

  it('lose their share to the others and get it back', async () => {
    const moved = await freeze(['e1'], MOVES_WITHIN_MS);
    const backMs = await comeBack(['e1']);
    const slow = slowShare(moved);
    flow.print({
      requests: moved.length,
      slow: Number(slow.toFixed(4)),
      back_ms: Math.round(backMs),
    });
    expect(moved.length).to.be.greaterThan(100);
    expect(slow).to.be.below(0.02);
    expect(moved.every(isAnswered), 'all answered').to.equal(true);
    expect(backMs).to.be.below(BACK_WITHIN_MS);
  });

  it('are not all given up where most of a pool freezes', async () => {
    const most = ENGINES.slice(0, 3);
    const moved = await freeze(most, 500);
    const backMs = await comeBack(ENGINES);
    const kinds = flow.tally(moved);
    flow.print({...kinds, back_ms: Math.round(backMs)});
    expect(kinds).to.not.have.property('pool_empty');
    expect(moved.some(isAnswered), 'the last one works on').to.equal(true);
    expect(backMs).to.be.below(BACK_WITHIN_MS);
  });
});

describe('pools that are small, empty or full', function () {
  this.timeout(60_000);
  /** A draft takes about a quarter of a second. */
  const DRAFT = {prompt_tokens: 0, output_tokens: 60};
  const LOOKUPS = 300;
  const ROUTER_MS = 50;
  /** The promise is for a machine of its own; tests share theirs. */
  const GENEROSITY = 4;
  let fleet: standins.Fleet;

  before(async () => {
    fleet = await support.startFleet({routers: 4, engines: 4, services: 1});
    const row = (
      name: string,
      extra: object,
    ): [core.TableName, support.Row] => ['pools', {name, ...extra}];
    const route = (
      name: string,
      extra: object,
    ): [core.TableName, support.Row] => [
      'routes',
      {name, match: {path_prefix: `/${name}`}, pool: name, ...extra},
    ];
    const one = {max_in_flight: 1, load_multiple: 10};
    await support.edit(fleet, [
      row('one', {endpoints: ['e1']}),
      route('one', {}),
      row('none', {endpoints: ['e99']}),
      route('none', {wait_ms: 5_000}),
      row('full', {endpoints: ['e2'], max_queued: 2, ...one}),
      route('full', {wait_ms: 0}),
      route('waits', {pool: 'full', wait_ms: 300}),
      row('drafts', {endpoints: ['e3', 'e4'], ...one}),
      route('drafts', {wait_ms: 20_000, priority: 'low'}),
      route('urgent', {pool: 'drafts', wait_ms: 20_000, priority: 'high'}),
      route('lookup', {pool: 'services', priority: 'high'}),
    ]);
    const paths = ['one', 'none', 'full', 'drafts', 'urgent', 'lookup'];
    for (const {name} of fleet.instances('router')) {
      for (const path of paths) {
        await waiting.until(`${name} knows ${path}`, async () => {
          const result = await ask(path, name);
          return members.kindOf(result) !== 'no_route';
        });
      }
    }
  });

  after(() => fleet.stop());

  const ask = (path: string, via: string, body: object = SHORT) =>
    members.call(fleet.member(via), {path: `/${path}`, body});

  const all = (path: string, count: number, body: object) =>
    Promise.all(
      [...Array(count).keys()].map(index =>
        ask(path, `r${1 + (index % 4)}`, body),
      ),
    );

  /** Problems, each checked to be sent at once, not run and with a time. */
  function problems(results: readonly standins.CallResult[]): string[] {
    const found = results.flatMap(result =>
      result.type === 'problem' ? [result.problem] : [],
    );
    for (const problem of found) {
      expect(problem.ran).to.equal('no');
      expect(problem.retry_after_ms).to.be.greaterThan(0);
    }
    return [...new Set(found.map(problem => problem.kind))].sort();
  }

  it('serve from one engine through every router', async () => {
    const results = await all('one', 40, SHORT);
    const kinds = results.map(members.kindOf);
    expect([...new Set(kinds)]).to.deep.equal(['answered']);
  });

  it('refuse at once where there is no engine', async () => {
    for (const name of ['r1', 'r2', 'r3', 'r4']) {
      const fromMs = performance.now();
      const result = await ask('none', name);
      expect(performance.now() - fromMs).to.be.below(1_000);
      const told = result.type === 'problem' ? result.problem : undefined;
      expect(told).to.include({kind: 'pool_empty', ran: 'no'});
    }
  });

  it('refuse as not run where all is full', async () => {
    const before = await support.counts(fleet, 'e2');
    const first = ask('full', 'r1', DRAFT);
    await waiting.until('e2 is full', async () => {
      const {started} = await support.counts(fleet, 'e2');
      return started > before.started;
    });
    const saturated = await all('full', 12, DRAFT);
    expect(problems(saturated)).to.deep.equal(['saturated']);
    const waited = await all('waits', 12, DRAFT);
    expect((await first).type).to.equal('answered');
    const kinds = problems(waited);
    expect(kinds).to.include('queue_full');
    expect(['queue_full', 'wait_timeout']).to.include.members(kinds);
    const {started, max_in_flight: most} = (await fleet.stats('e2')) as {
      started: number;
      max_in_flight: number;
    };
    const ran = waited.filter(result => result.type === 'answered').length;
    expect(started - before.started).to.equal(1 + ran);
    expect(most, 'the bound').to.equal(1);
  });

  it('answer lookups at once while drafts queue', async () => {
    const drafts = all('drafts', 24, DRAFT);
    await waiting.until('drafts queue', async () => {
      const {routers} = await flow.status(fleet, 'r1');
      const queued = routers.map(item => (item.is_reached ? item.queued : 0));
      return queued.reduce((sum, one) => sum + one, 0) >= 12;
    });
    const timesMs: number[] = [];
    for (let index = 0; index < LOOKUPS; index += 1) {
      const fromMs = performance.now();
      const result = await ask('lookup', `r${1 + (index % 4)}`);
      timesMs.push(performance.now() - fromMs);
      expect(result.type).to.equal('answered');
    }
    const urgentFromMs = performance.now();
    const urgent = await ask('urgent', 'r2');
    const urgentMs = performance.now() - urgentFromMs;
    const direct = await directly(LOOKUPS);
    const addedMs = p99(timesMs) - p99(direct);
    flow.print({
      p99_ms: Math.round(p99(timesMs)),
      direct_p99_ms: Math.round(p99(direct)),
      urgent_ms: Math.round(urgentMs),
    });
    expect(addedMs).to.be.below(GENEROSITY * ROUTER_MS);
    expect(urgent.type).to.equal('answered');
    expect(urgentMs, 'urgent before drafts').to.be.below(2_500);
    const kinds = (await drafts).map(members.kindOf);
    expect([...new Set(kinds)]).to.deep.equal(['answered']);
  });

  /** The times of the same lookups, sent straight to the service. */
  async function directly(count: number): Promise<number[]> {
    const timesMs: number[] = [];
    for (let index = 0; index < count; index += 1) {
      const fromMs = performance.now();
      await members.call(fleet.member('s1'), {path: '/lookup', body: SHORT});
      timesMs.push(performance.now() - fromMs);
    }
    return timesMs;
  }
});

function p99(timesMs: readonly number[]): number {
  const sorted = [...timesMs].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length * 0.99)] ?? 0;
}

describe('a customer that floods a pool', function () {
  this.timeout(60_000);
  const FLOOD = 40;
  const PLACES = 4;
  const DRAFT = {prompt_tokens: 0, output_tokens: 40};

  /** How many of the flood are answered while one other request waits. */
  async function passedBy(strategy: string): Promise<number> {
    const fleet = await support.startFleet({
      routers: 2,
      engines: 2,
      routerFlags: ['--strategy', strategy],
      route: {wait_ms: 7_000},
      pool: {max_in_flight: PLACES / 2, load_multiple: 10},
    });
    try {
      return await flood(fleet);
    } finally {
      await fleet.stop();
    }
  }

  async function flood(fleet: standins.Fleet): Promise<number> {
    let answered = 0;
    const draft = async (customer: string, index: number) => {
      const router = fleet.member(`r${1 + (index % 2)}`);
      const request = {path: '/chat', customer, body: DRAFT};
      const result = await members.call(router, request);
      expect(members.kindOf(result)).to.equal('answered');
      answered += 1;
    };
    const drafts = [...Array(FLOOD).keys()].map(i => draft('flood', i));
    await waiting.until('the first are answered', () => answered >= PLACES);
    const before = answered;
    await draft('single', 0);
    const passed = answered - before - 1;
    await Promise.all(drafts);
    return passed;
  }

  it('makes another one wait for at most one round', async () => {
    const fair = await passedBy('owner');
    const naive = await passedBy('naive');
    flow.print({passed_fair: fair, passed_naive: naive});
    // The requests that run when it comes, and those that start beside it.
    expect(fair).to.be.at.most(2 * PLACES);
    expect(naive).to.be.greaterThan(2 * PLACES);
  });
});
