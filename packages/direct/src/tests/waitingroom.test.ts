/** How requests wait for room: when they go on, and what ends their wait. */
import * as chai from 'chai';
import * as core from '@oleanderrock/core';
import * as direct from '../index.js';
import * as simulatedPool from './simulatedpool.js';
import * as virtualClock from './virtualclock.js';

const {expect} = chai;

const WORK_MS = 100;
const TIMEOUT_MS = 1_500;

describe('a request that waits for room', () => {
  let clock: virtualClock.VirtualClock;
  let endpoint: simulatedPool.SimulatedEndpoint;
  let router: simulatedPool.SimulatedRouter;

  beforeEach(() => {
    clock = new virtualClock.VirtualClock();
    endpoint = new simulatedPool.SimulatedEndpoint(clock, 'e', 1, 0);
    const random = new core.SeededRandom(1);
    router = new simulatedPool.SimulatedRouter(
      clock,
      [endpoint],
      simulatedPool.wiredDecisions(random),
      random,
    );
  });

  /** Serves a request; its outcome is there once virtual time has passed. */
  const serve = (
    id: string,
    fields: Partial<simulatedPool.SimulatedRequest> = {},
    leavesAfterMs?: number,
  ) => {
    const served: {outcome?: direct.RequestOutcome; endedMs?: number} = {};
    const request: simulatedPool.SimulatedRequest = {
      id,
      customer: 'c',
      priority: 1,
      repeat: 'once',
      workMs: WORK_MS,
      goalMs: 300,
      timeoutMs: TIMEOUT_MS,
      ...fields,
    };
    const run = async () => {
      served.outcome = await router.serve(request, leavesAfterMs);
      served.endedMs = clock.nowMs();
    };
    void run();
    return served;
  };

  const kindOf = ({outcome}: {outcome?: direct.RequestOutcome}) =>
    outcome?.type === 'failed' ? outcome.failure.kind : outcome?.type;

  it('goes on as soon as an answer ends', async () => {
    const first = serve('q1');
    await clock.advance(10);
    const second = serve('q2');
    await clock.advance(TIMEOUT_MS);
    expect([kindOf(first), kindOf(second)]).to.deep.equal([
      'answered',
      'answered',
    ]);
    expect(second.endedMs).to.be.at.most(2 * WORK_MS + 20);
  });

  it('goes on after the more urgent ones', async () => {
    serve('q1');
    await clock.advance(10);
    serve('q2', {priority: 2});
    await clock.advance(10);
    serve('q3', {priority: 0});
    await clock.advance(TIMEOUT_MS);
    expect(endpoint.ranIds).to.deep.equal(['q1', 'q3', 'q2']);
  });

  it('is not sent any more once its caller has left', async () => {
    serve('q1', {workMs: 400});
    await clock.advance(10);
    const second = serve('q2', {}, 50);
    await clock.advance(TIMEOUT_MS);
    expect(kindOf(second)).to.equal('caller_gone');
    expect(second.endedMs).to.be.at.most(80);
    expect(endpoint.ranIds).to.deep.equal(['q1']);
  });

  it('is refused with time left to come back, and never runs', async () => {
    endpoint.isRefusing = true;
    const only = serve('q1');
    await clock.advance(TIMEOUT_MS);
    expect(only.endedMs).to.be.at.most(TIMEOUT_MS / 2 + 30);
    const {outcome} = only;
    if (outcome?.type !== 'failed') throw new Error('it was answered');
    expect(core.ERROR_RESPONSES[outcome.failure.kind].ran).to.equal('no');
    const leftMs = TIMEOUT_MS - only.endedMs!;
    expect(outcome.failure.retryAfterMs).to.be.within(50, leftMs / 3 + 1);
    endpoint.isRefusing = false;
    await clock.advance(5_000);
    expect(endpoint.ranIds).to.deep.equal([]);
  });

  it('is refused at once if room comes too late for it', async () => {
    for (let id = 0; id < 12; id++) {
      serve(`q${id}`);
      await clock.advance(5);
    }
    await clock.advance(200);
    const late = serve('late', {priority: 2});
    await clock.advance(20);
    expect(late.endedMs, 'ended').to.not.equal(undefined);
    expect(core.ERROR_RESPONSES[kindOf(late) as core.ErrorKind].ran).to.equal(
      'no',
    );
  });

  it('goes on at the pause of its endpoint, though a longer one was planned', async () => {
    endpoint.isRefusing = true;
    serve('q1', {}, 250);
    await clock.advance(260);
    const room = router.kernel.find(direct.ENDPOINT_ROOM);
    room.recordAccepted('e');
    const second = serve('q2');
    await clock.advance(5);
    endpoint.isRefusing = false;
    await clock.advance(60 + WORK_MS);
    expect(kindOf(second)).to.equal('answered');
  });

  it('holds up no others if it is bound to a version without room', async () => {
    const other = new simulatedPool.SimulatedEndpoint(clock, 'f', 1, 0, 'v2');
    const random = new core.SeededRandom(1);
    router = new simulatedPool.SimulatedRouter(
      clock,
      [endpoint, other],
      simulatedPool.wiredDecisions(random),
      random,
    );
    const room = router.kernel.find(direct.ENDPOINT_ROOM);
    room.recordRefusal('e', clock.nowMs());
    const request = {
      pool: simulatedPool.POOL,
      priority: 1,
      body: Buffer.alloc(1),
      route: {name: 'route', goalMs: 300},
      head: {requestId: 'bound'},
      arrivedMs: clock.nowMs(),
      deadlineMs: clock.nowMs() + TIMEOUT_MS,
    } as unknown as direct.RoutedRequest;
    const callerGone = new AbortController().signal;
    const wait = {request, callerGone, version: 'v1'};
    let end: direct.WaitEnd | undefined;
    void router.waitingRoom.wait(wait).then(ended => (end = ended));
    const next = serve('q1');
    await clock.advance(WORK_MS + 5);
    expect(kindOf(next)).to.equal('answered');
    expect(other.ranIds).to.deep.equal(['q1']);
    await clock.advance(TIMEOUT_MS);
    expect(end?.type).to.equal('room');
  });

  it('leaves no task and no request behind', async () => {
    endpoint.isRefusing = true;
    for (let id = 0; id < 200; id++) serve(`q${id}`);
    await clock.advance(TIMEOUT_MS + 100);
    expect(router.waitingRoom.hasWaiting(simulatedPool.POOL)).to.equal(false);
    endpoint.isRefusing = false;
    await clock.advance(5_000);
    const next = serve('next');
    await clock.advance(WORK_MS + 10);
    expect(kindOf(next)).to.equal('answered');
  });
});
