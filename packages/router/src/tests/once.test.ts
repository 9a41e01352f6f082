/**
 * Guards against at-most-once calls that run twice, or that run although their
 * answer says `ran: no`, while routers are killed or frozen and the log fails.
 */
import * as chai from 'chai';
import * as core from '@oleanderrock/core';
import type * as standins from '@oleanderrock/standins';
import * as uuid from 'uuid';
import * as fleetCalls from './fleetcalls.js';
import * as polling from './polling.js';

const ROUTERS = ['r0', 'r1', 'r2', 'r3'];
const SERVICES = ['a', 'b', 'c'];
const STREAMS = [core.claimStreamName(0), core.claimStreamName(1)];
const MINUTE_MS = 60_000;
const FLAGS = [
  ['--claim-streams', '2'],
  ['--claim-timeout-ms', '700'],
  ['--claim-validity-ms', '1500'],
].flat();

describe('at most once', () => {
  const fleet = fleetCalls.createFleet();
  const results: standins.CallResult[] = [];

  async function sendRecorded(
    target: standins.Member,
    key: string,
    options: Partial<standins.CallRequest>,
  ): Promise<standins.CallResult> {
    const request = {idempotencyKey: key, ...options};
    const result = await fleetCalls.call(target, request);
    results.push(result);
    return result;
  }

  async function send(
    target: standins.Member,
    key: string,
    options: Partial<standins.CallRequest> = {},
  ): Promise<string> {
    return fleetCalls.kindOf(await sendRecorded(target, key, options));
  }

  /** Sends the call again while its answer is a retryable problem. */
  async function sendUntilFinal(
    target: standins.Member,
    key: string,
    options: Partial<standins.CallRequest> = {},
  ): Promise<string> {
    return polling.until('the call has a final answer', async () => {
      const result = await sendRecorded(target, key, options);
      const isFinal = result.type !== 'problem' || !result.problem.retryable;
      return isFinal && fleetCalls.kindOf(result);
    });
  }

  const router = (name = 'r0') => fleet.member(name);

  function otherRouters(excluded: standins.Member): standins.Member[] {
    const names = ROUTERS.filter(name => name !== excluded.name);
    return names.map(name => fleet.member(name));
  }

  function addRouter(name: string): Promise<standins.Member> {
    return fleet.addRouter({name, flags: FLAGS});
  }

  async function restart(member: standins.Member): Promise<void> {
    await fleet.remove(member.name);
    await addRouter(member.name);
    await waitUntilServing();
  }

  /** Removes the delay of all services; waits until all routers serve. */
  async function waitUntilServing(): Promise<void> {
    const removeDelay = (name: string) => fleet.setFaults(name, {work_ms: 0});
    await Promise.all(SERVICES.map(removeDelay));
    const paths = ['/orders', '/single'];
    const serves = async (name: string, path: string) => {
      const kind = await send(router(name), core.createId(), {path});
      return kind === 'answered';
    };
    await polling.until('all routers serve both routes', async () => {
      const checks = ROUTERS.flatMap(name =>
        paths.map(path => serves(name, path)),
      );
      return (await Promise.all(checks)).every(Boolean);
    });
  }

  async function countRuns(key: string): Promise<number> {
    const counts = await fleetCalls.countRuns(fleet, SERVICES);
    return counts.byKey.get(key) ?? 0;
  }

  async function isOnLog(type: core.ClaimEntry['type'], key: string) {
    const reads = STREAMS.map(name => fleetCalls.readClaims(fleet, name));
    const entries = (await Promise.all(reads)).flat();
    return entries.some(entry => entry.type === type && entry.key === key);
  }

  const findLeader = (key: string) =>
    fleetCalls.findKeyLeader(fleet, router(), key);

  /**
   * Claims a key at its leader while another call occupies the only slot of
   * /single for `workMs`.
   */
  async function claimInQueue(workMs: number, signal?: AbortSignal) {
    await fleet.setFaults('c', {work_ms: workMs});
    const occupyingKey = core.createId();
    const occupying = send(router(), occupyingKey, {path: '/single'});
    await polling.until(
      'the call runs',
      async () => (await countRuns(occupyingKey)) === 1,
    );
    const key = core.createId();
    const leaderRouter = await findLeader(key);
    const queued = send(leaderRouter, key, {path: '/single', signal});
    await polling.until('the claim is on the log', () => isOnLog('claim', key));
    return {key, leaderRouter, queued, occupying};
  }

  before(async () => {
    await fleet.start();
    await fleetCalls.addOrdersRoute(fleet, ['a', 'b'], {wait_ms: 1_000});
    const match = {path_prefix: '/single'};
    const pool = {name: 'single', endpoints: ['c'], max_in_flight: 1};
    const route = {
      name: 'single',
      match,
      pool: 'single',
      repeatable: false,
      wait_ms: 6_000,
    };
    const rows: fleetCalls.NewRow[] = [
      {table: 'pools', row: pool},
      {table: 'routes', row: route},
    ];
    await fleetCalls.appendRecord(
      fleet,
      core.CONFIG_STREAM,
      fleetCalls.createRowsEdit(rows),
    );
    const services = SERVICES.map(name => fleet.addService({name}));
    await Promise.all(ROUTERS.map(addRouter));
    await Promise.all(services);
    await waitUntilServing();
  });

  after(async () => {
    await fleet.setPlatformFaults({log_down: false});
    await fleet.stop();
  });

  it('runs a call only once when all routers receive it at the same time', async () => {
    for (let count = 0; count < 10; count++) {
      const key = core.createId();
      const sends = ROUTERS.map(name => send(router(name), key));
      const kinds = await Promise.all(sends);
      const answered = kinds.filter(kind => kind === 'answered');
      chai.expect(answered, kinds.join()).to.have.length(1);
      chai.expect(await countRuns(key)).to.equal(1);
    }
  });

  it('runs a call only once when each router claims it as the leader', async () => {
    for (let count = 0; count < 10; count++) {
      const key = core.createId();
      const forwarded = ROUTERS.map(name =>
        fleetCalls.forwardAsPeer(fleet, router(name), key),
      );
      const kinds = await Promise.all(forwarded);
      const answered = kinds.filter(kind => kind === 'answered');
      chai.expect(answered, kinds.join()).to.have.length(1);
      chai.expect(await countRuns(key)).to.equal(1);
    }
  });

  it('runs a call only once if replies of the log are lost', async () => {
    await fleet.setPlatformFaults({lose_append_replies: 2});
    const key = core.createId();
    chai.expect(await send(router(), key)).to.equal('answered');
    chai.expect(await countRuns(key)).to.equal(1);
  });

  it('refuses a call while the log is down, and runs it afterwards', async () => {
    await fleet.setPlatformFaults({log_down: true});
    const key = core.createId();
    chai.expect(await send(router(), key)).to.equal('log_unavailable');
    chai.expect(await countRuns(key)).to.equal(0);
    await fleet.setPlatformFaults({log_down: false});
    chai.expect(await send(router('r1'), key)).to.equal('answered');
    chai.expect(await countRuns(key)).to.equal(1);
  });

  it('runs a call on a retry after the services refused it', async () => {
    const key = core.createId();
    const refuse = (isRefusing: boolean) =>
      Promise.all(
        ['a', 'b'].map(name => fleet.setFaults(name, {refuse: isRefusing})),
      );
    await refuse(true);
    chai.expect(await send(router(), key)).to.equal('endpoint_refused');
    await refuse(false);
    chai.expect(await sendUntilFinal(router('r1'), key)).to.equal('answered');
    chai.expect(await countRuns(key)).to.equal(1);
  });

  it('refuses keys that are missing, expired or from the future', async () => {
    const keyAt = (msecs: number) => uuid.v7({msecs});
    const expired = keyAt(Date.now() - 11 * MINUTE_MS);
    const future = keyAt(Date.now() + MINUTE_MS);
    chai.expect(await send(router(), expired)).to.equal('key_expired');
    chai.expect(await send(router(), future)).to.equal('key_from_future');
    chai.expect(await send(router(), '')).to.equal('key_required');
    const runs = [await countRuns(expired), await countRuns(future)];
    chai.expect(runs).to.deep.equal([0, 0]);
  });

  it('releases the key of a caller that left while its call was queued', async () => {
    const caller = new AbortController();
    const {key, queued, occupying} = await claimInQueue(700, caller.signal);
    caller.abort();
    chai.expect(await queued).to.equal('broken');
    await polling.until('the release is on the log', () =>
      isOnLog('release', key),
    );
    chai.expect(await occupying).to.equal('answered');
    const retried = await send(router('r1'), key, {path: '/single'});
    chai.expect(retried).to.equal('answered');
    chai.expect(await countRuns(key)).to.equal(1);
  });

  it("does not dispatch a call after a freeze longer than the claim's validity", async () => {
    const {key, leaderRouter, queued, occupying} = await claimInQueue(900);
    fleet.freeze(leaderRouter.name);
    const frozenAtMs = performance.now();
    const isExpired = () => performance.now() - frozenAtMs > 1_700;
    await polling.until('the claim is no longer valid', isExpired);
    fleet.resume(leaderRouter.name);
    chai.expect(await queued).to.be.oneOf(['wait_timeout', 'saturated']);
    chai.expect(await countRuns(key)).to.equal(0);
    await occupying;
    await polling.until('the release is on the log', () =>
      isOnLog('release', key),
    );
    const retried = await sendUntilFinal(router('r1'), key, {path: '/single'});
    chai.expect(retried).to.equal('answered');
    chai.expect(await countRuns(key)).to.equal(1);
  });

  it('does not run a call again after its router is killed during the run', async () => {
    await Promise.all(
      ['a', 'b'].map(name => fleet.setFaults(name, {work_ms: 400})),
    );
    const key = core.createId();
    const leaderRouter = await findLeader(key);
    const interrupted = send(leaderRouter, key);
    await polling.until(
      'the call runs',
      async () => (await countRuns(key)) === 1,
    );
    const [otherRouter] = otherRouters(leaderRouter);
    if (!otherRouter) throw new Error('no other router');
    const killed = fleet.kill(leaderRouter.name);
    const retried = send(otherRouter, key);
    await killed;
    chai.expect(await interrupted).to.equal('broken');
    const kind = await retried;
    chai.expect(kind).to.be.oneOf(['duplicate_running', 'peer_broke']);
    chai.expect(await send(otherRouter, key)).to.equal('duplicate_running');
    chai.expect(await countRuns(key)).to.equal(1);
    await restart(leaderRouter);
    chai.expect(await send(router(), key)).to.equal('duplicate_running');
    chai.expect(await countRuns(key)).to.equal(1);
  });

  it('does not run a call whose router was killed before the dispatch', async () => {
    const {key, leaderRouter, queued, occupying} = await claimInQueue(900);
    await fleet.kill(leaderRouter.name);
    chai.expect(await queued).to.equal('broken');
    const [otherRouter] = otherRouters(leaderRouter);
    if (!otherRouter) throw new Error('no other router');
    const retried = await send(otherRouter, key, {path: '/single'});
    chai.expect(retried).to.equal('duplicate_running');
    await occupying;
    chai.expect(await countRuns(key)).to.equal(0);
    await restart(leaderRouter);
  });

  it('does not run a call again after its claim was dropped from the log', async () => {
    const key = core.createId();
    chai.expect(await sendUntilFinal(router(), key)).to.equal('answered');
    await Promise.all(
      STREAMS.map(name => fleetCalls.truncateStream(fleet, name)),
    );
    const newRouter = await addRouter('fresh');
    await polling.until('the new router is ready', () =>
      fleetCalls.isReady(newRouter),
    );
    const kind = await fleetCalls.forwardAsPeer(fleet, newRouter, key);
    chai.expect(kind).to.equal('key_expired');
    const otherKind = await send(router('r1'), key);
    chai.expect(otherKind).to.be.oneOf(['key_expired', 'duplicate_answered']);
    chai.expect(await countRuns(key)).to.equal(1);
  });

  it('reported ran: no for no call that ran', async () => {
    const counts = await fleetCalls.countRuns(fleet, SERVICES);
    chai.expect(fleetCalls.findFalseNotRun(results, counts)).to.deep.equal([]);
    const maxRuns = Math.max(...counts.byKey.values());
    chai.expect(maxRuns).to.equal(1);
  });
});
