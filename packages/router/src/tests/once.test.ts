/** Calls that may not be repeated, under kills, freezes and outages. */
import * as chai from 'chai';
import * as core from '@oleanderrock/core';
import type * as standins from '@oleanderrock/standins';
import * as uuid from 'uuid';
import * as members from './members.js';
import * as waiting from './until.js';

const ROUTERS = ['r0', 'r1', 'r2', 'r3'];
const SERVICES = ['a', 'b', 'c'];
const STREAMS = [core.claimStream(0), core.claimStream(1)];
const MINUTE_MS = 60_000;
const FLAGS = [
  ['--claim-streams', '2'],
  ['--claim-timeout-ms', '700'],
  ['--claim-validity-ms', '1500'],
].flat();

describe('at most once', () => {
  const fleet = members.createFleet();
  const results: standins.CallResult[] = [];

  async function ask(
    asked: standins.Member,
    key: string,
    more: Partial<standins.CallRequest>,
  ): Promise<standins.CallResult> {
    const request = {idempotencyKey: key, ...more};
    const result = await members.call(asked, request);
    results.push(result);
    return result;
  }

  async function send(
    asked: standins.Member,
    key: string,
    more: Partial<standins.CallRequest> = {},
  ): Promise<string> {
    return members.kindOf(await ask(asked, key, more));
  }

  /** Sends until the answer is another than to try again. */
  async function persist(
    asked: standins.Member,
    key: string,
    more: Partial<standins.CallRequest> = {},
  ): Promise<string> {
    return waiting.until('an outcome', async () => {
      const result = await ask(asked, key, more);
      const isOver = result.type !== 'problem' || !result.problem.retryable;
      return isOver && members.kindOf(result);
    });
  }

  const router = (name = 'r0') => fleet.member(name);

  function others(than: standins.Member): standins.Member[] {
    const names = ROUTERS.filter(name => name !== than.name);
    return names.map(name => fleet.member(name));
  }

  function addRouter(name: string): Promise<standins.Member> {
    return fleet.addRouter({name, flags: FLAGS});
  }

  async function restart(member: standins.Member): Promise<void> {
    await fleet.remove(member.name);
    await addRouter(member.name);
    await settle();
  }

  /** Waits until all routers serve both routes. */
  async function settle(): Promise<void> {
    const quicken = (name: string) => fleet.control(name, {work_ms: 0});
    await Promise.all(SERVICES.map(quicken));
    const paths = ['/orders', '/single'];
    const serves = async (name: string, path: string) => {
      const kind = await send(router(name), core.createId(), {path});
      return kind === 'answered';
    };
    await waiting.until('all serve', async () => {
      const sent = ROUTERS.flatMap(name =>
        paths.map(path => serves(name, path)),
      );
      return (await Promise.all(sent)).every(Boolean);
    });
  }

  async function runsOf(key: string): Promise<number> {
    const counts = await members.countRuns(fleet, SERVICES);
    return counts.byKey.get(key) ?? 0;
  }

  async function has(type: core.ClaimEntry['type'], key: string) {
    const read = STREAMS.map(name => members.readClaims(fleet, name));
    const entries = (await Promise.all(read)).flat();
    return entries.some(entry => entry.type === type && entry.key === key);
  }

  const leader = (key: string) => members.leaderOf(fleet, router(), key);

  /** Claims a key at its leader while the one place of /single is taken. */
  async function claimInQueue(workMs: number, signal?: AbortSignal) {
    await fleet.control('c', {work_ms: workMs});
    const taken = core.createId();
    const first = send(router(), taken, {path: '/single'});
    await waiting.until('it runs', async () => (await runsOf(taken)) === 1);
    const key = core.createId();
    const leading = await leader(key);
    const waits = send(leading, key, {path: '/single', signal});
    await waiting.until('the claim', () => has('claim', key));
    return {key, leading, waits, first};
  }

  before(async () => {
    await fleet.start();
    await members.setOrders(fleet, ['a', 'b'], {wait_ms: 1_000});
    const match = {path_prefix: '/single'};
    const pool = {name: 'single', endpoints: ['c'], max_in_flight: 1};
    const route = {
      name: 'single',
      match,
      pool: 'single',
      repeatable: false,
      wait_ms: 6_000,
    };
    const rows: members.NewRow[] = [
      {table: 'pools', row: pool},
      {table: 'routes', row: route},
    ];
    await members.append(fleet, core.CONFIG_STREAM, members.setRows(rows));
    const services = SERVICES.map(name => fleet.addService({name}));
    await Promise.all(ROUTERS.map(addRouter));
    await Promise.all(services);
    await settle();
  });

  after(async () => {
    await fleet.controlPlatform({log_down: false});
    await fleet.stop();
  });

  it('runs once where all routers get the call at one moment', async () => {
    for (let count = 0; count < 10; count++) {
      const key = core.createId();
      const sent = ROUTERS.map(name => send(router(name), key));
      const kinds = await Promise.all(sent);
      const answered = kinds.filter(kind => kind === 'answered');
      chai.expect(answered, kinds.join()).to.have.length(1);
      chai.expect(await runsOf(key)).to.equal(1);
    }
  });

  it('runs once where each router believes that it leads', async () => {
    for (let count = 0; count < 10; count++) {
      const key = core.createId();
      const passed = ROUTERS.map(name =>
        members.passOn(fleet, router(name), key),
      );
      const kinds = await Promise.all(passed);
      const answered = kinds.filter(kind => kind === 'answered');
      chai.expect(answered, kinds.join()).to.have.length(1);
      chai.expect(await runsOf(key)).to.equal(1);
    }
  });

  it('runs once where replies of the log are lost', async () => {
    await fleet.controlPlatform({lose_append_replies: 2});
    const key = core.createId();
    chai.expect(await send(router(), key)).to.equal('answered');
    chai.expect(await runsOf(key)).to.equal(1);
  });

  it('does not run while the log is down, and after it does', async () => {
    await fleet.controlPlatform({log_down: true});
    const key = core.createId();
    chai.expect(await send(router(), key)).to.equal('log_unavailable');
    chai.expect(await runsOf(key)).to.equal(0);
    await fleet.controlPlatform({log_down: false});
    chai.expect(await send(router('r1'), key)).to.equal('answered');
    chai.expect(await runsOf(key)).to.equal(1);
  });

  it('runs a call again that the services refused', async () => {
    const key = core.createId();
    const refuse = (isRefusing: boolean) =>
      Promise.all(
        ['a', 'b'].map(name => fleet.control(name, {refuse: isRefusing})),
      );
    await refuse(true);
    chai.expect(await send(router(), key)).to.equal('endpoint_refused');
    await refuse(false);
    chai.expect(await persist(router('r1'), key)).to.equal('answered');
    chai.expect(await runsOf(key)).to.equal(1);
  });

  it('refuses keys that are missing, old or from the future', async () => {
    const at = (msecs: number) => uuid.v7({msecs});
    const old = at(Date.now() - 11 * MINUTE_MS);
    const future = at(Date.now() + MINUTE_MS);
    chai.expect(await send(router(), old)).to.equal('key_expired');
    chai.expect(await send(router(), future)).to.equal('key_from_future');
    chai.expect(await send(router(), '')).to.equal('key_required');
    const runs = [await runsOf(old), await runsOf(future)];
    chai.expect(runs).to.deep.equal([0, 0]);
  });

  it('frees the key of a caller that left the queue', async () => {
    const leave = new AbortController();
    const {key, waits, first} = await claimInQueue(700, leave.signal);
    leave.abort();
    chai.expect(await waits).to.equal('broken');
    await waiting.until('the release', () => has('release', key));
    chai.expect(await first).to.equal('answered');
    const again = await send(router('r1'), key, {path: '/single'});
    chai.expect(again).to.equal('answered');
    chai.expect(await runsOf(key)).to.equal(1);
  });

  it('does not dispatch after a freeze past the validity', async () => {
    const {key, leading, waits, first} = await claimInQueue(900);
    fleet.freeze(leading.name);
    const frozenMs = performance.now();
    const isLate = () => performance.now() - frozenMs > 1_700;
    await waiting.until('the validity has passed', isLate);
    fleet.resume(leading.name);
    chai.expect(await waits).to.be.oneOf(['wait_timeout', 'saturated']);
    chai.expect(await runsOf(key)).to.equal(0);
    await first;
    await waiting.until('the release', () => has('release', key));
    const again = await persist(router('r1'), key, {path: '/single'});
    chai.expect(again).to.equal('answered');
    chai.expect(await runsOf(key)).to.equal(1);
  });

  it('runs no second time after a kill within the run', async () => {
    await Promise.all(
      ['a', 'b'].map(name => fleet.control(name, {work_ms: 400})),
    );
    const key = core.createId();
    const leading = await leader(key);
    const sent = send(leading, key);
    await waiting.until('it runs', async () => (await runsOf(key)) === 1);
    const [second] = others(leading);
    if (!second) throw new Error('no second router');
    const killed = fleet.kill(leading.name);
    const again = send(second, key);
    await killed;
    chai.expect(await sent).to.equal('broken');
    const kind = await again;
    chai.expect(kind).to.be.oneOf(['duplicate_running', 'peer_broke']);
    chai.expect(await send(second, key)).to.equal('duplicate_running');
    chai.expect(await runsOf(key)).to.equal(1);
    await restart(leading);
    chai.expect(await send(router(), key)).to.equal('duplicate_running');
    chai.expect(await runsOf(key)).to.equal(1);
  });

  it('runs at most once after a kill before the dispatch', async () => {
    const {key, leading, waits, first} = await claimInQueue(900);
    await fleet.kill(leading.name);
    chai.expect(await waits).to.equal('broken');
    const [second] = others(leading);
    if (!second) throw new Error('no second router');
    const again = await send(second, key, {path: '/single'});
    chai.expect(again).to.equal('duplicate_running');
    await first;
    chai.expect(await runsOf(key)).to.equal(0);
    await restart(leading);
  });

  it('runs no second time where the claims have expired', async () => {
    const key = core.createId();
    chai.expect(await persist(router(), key)).to.equal('answered');
    await Promise.all(STREAMS.map(name => members.forget(fleet, name)));
    const fresh = await addRouter('fresh');
    await waiting.until('fresh is ready', () => members.isReady(fresh));
    const kind = await members.passOn(fleet, fresh, key);
    chai.expect(kind).to.equal('key_expired');
    const far = await send(router('r1'), key);
    chai.expect(far).to.be.oneOf(['key_expired', 'duplicate_answered']);
    chai.expect(await runsOf(key)).to.equal(1);
  });

  it('said of no call that ran that it did not run', async () => {
    const counts = await members.countRuns(fleet, SERVICES);
    chai.expect(members.findUntrue(results, counts)).to.deep.equal([]);
    const most = Math.max(...counts.byKey.values());
    chai.expect(most).to.equal(1);
  });
});
