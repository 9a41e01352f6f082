/**
 * Guards against requests to endpoints that answered 503 with `Retry-After`,
 * before that time is over.
 */
import * as timers from 'node:timers/promises';
import * as chai from 'chai';
import * as direct from '@oleanderrock/direct';
import type * as standins from '@oleanderrock/standins';
import * as support from './directfleet.js';
import * as polling from './polling.js';

const {expect} = chai;

/** Time for which the endpoint wants nothing. */
const HOLD_OFF_S = 1.2;

/** Time-out of the routes, in ms. */
const ROUTE_TIMEOUT_MS = 2_000;

/** Time after its answer until which it may still get requests, in ms. */
const GRACE_MS = 500;

describe('an endpoint that answers 503 with retry-after', () => {
  let fleet: support.DirectFleet;
  let full: standins.HostedEndpoint;
  let other: standins.HostedEndpoint;

  beforeEach(async () => {
    fleet = new support.DirectFleet();
    await fleet.start();
    [full, other] = fleet.endpoints as [
      standins.HostedEndpoint,
      standins.HostedEndpoint,
    ];
    full.defaultBehaviour = {type: 'shed'};
    full.extraHeaders = {'retry-after': String(HOLD_OFF_S)};
  });

  afterEach(() => fleet.stop());

  /** Calls until the endpoint has refused; resolves with the time of that. */
  const awaitRefusal = async (path = '/read/a'): Promise<number> => {
    const {arrivalCount} = full;
    await polling.until('the endpoint refuses', async () => {
      await fleet.call(path);
      return full.arrivalCount > arrivalCount;
    });
    return performance.now();
  };

  const REFUSALS: ReadonlyArray<readonly [standins.Behaviour, string]> = [
    [{type: 'shed'}, '/read/a'],
    [{type: 'shed'}, '/book/a'],
    // Not marked as not run.
    [{type: 'fail', status: 503}, '/read/a'],
    [{type: 'fail', status: 503}, '/book/a'],
  ];

  for (const [behaviour, path] of REFUSALS) {
    it(`gets nothing for that time, then requests again, of type ${behaviour.type} at ${path}`, async () => {
      full.defaultBehaviour = behaviour;
      const refusedMs = await awaitRefusal(path);
      const {arrivalCount} = full;
      while (performance.now() - refusedMs < HOLD_OFF_S * 1_000 - 200) {
        const response = await fleet.call(path);
        expect(response.status).to.equal(200);
        await timers.setTimeout(5);
      }
      expect(full.arrivalCount).to.equal(arrivalCount);
      full.defaultBehaviour = {type: 'answer'};
      await polling.until('it gets requests again', async () => {
        await fleet.call(path);
        return full.arrivalCount > arrivalCount;
      });
      expect(performance.now() - refusedMs).to.be.above(
        HOLD_OFF_S * 1_000 - 100,
      );
    });
  }

  it('gets at most two requests later than half a second under many callers', async () => {
    full.extraHeaders = {'retry-after': '30'};
    // It would answer again, so that its health does not keep requests away.
    full.nextBehaviours.push({type: 'shed'});
    full.defaultBehaviour = {type: 'answer'};
    let isEnded = false;
    const callRepeatedly = async () => {
      while (!isEnded) await fleet.call('/read/a');
    };
    const callers = [...Array(40).keys()].map(() => callRepeatedly());
    await polling.until('it refuses', () => full.arrivalCount > 0);
    await timers.setTimeout(GRACE_MS);
    const {arrivalCount} = full;
    await timers.setTimeout(GRACE_MS);
    isEnded = true;
    await Promise.all(callers);
    expect(full.arrivalCount - arrivalCount).to.be.at.most(2);
  });

  it('is held off for the longest time that it asked for', async () => {
    await awaitRefusal();
    full.extraHeaders = {'retry-after': '0.1'};
    const kernel = fleet.kernels[0]!;
    const {endpointNotices} = direct;
    const endpoint = kernel.find(direct.ENDPOINT_REGISTRY).find(full.id)!;
    endpointNotices.recordNotices(kernel, endpoint, 'a', {
      requestId: 'a',
      isSealed: false,
      isNotRun: true,
      isMisdirected: false,
      isLeaving: false,
      namedLimit: {type: 'none'},
      holdOffMs: 100,
    });
    const {arrivalCount} = full;
    await timers.setTimeout(200);
    for (let count = 0; count < 20; count++) await fleet.call('/read/a');
    expect(full.arrivalCount).to.equal(arrivalCount);
  });

  it('is not held off by retry-after in another answer', async () => {
    full.defaultBehaviour = {type: 'answer'};
    await awaitRefusal();
    await awaitRefusal();
  });

  it('is not held off in its next lifetime', async () => {
    full.extraHeaders = {'retry-after': '60'};
    await awaitRefusal();
    full.defaultBehaviour = {type: 'answer'};
    const {arrivalCount} = full;
    full.bornMs += 1;
    fleet.store.put('keyed.servers', full.id, full.entry());
    await polling.until('the new lifetime gets requests', async () => {
      await fleet.call('/read/a');
      return full.arrivalCount > arrivalCount;
    });
  });

  it('resumes no stream of another endpoint', async () => {
    await awaitRefusal();
    const {arrivalCount} = full;
    other.defaultBehaviour = {type: 'stream', events: 9, cutInEvent: 4};
    const response = await fleet.call('/chat/a');
    expect(response).to.include({body: support.events(3), isComplete: false});
    expect(full.arrivalCount).to.equal(arrivalCount);
  });

  it('leads to refusals with the earliest time at which an endpoint is free, if all do', async () => {
    full.extraHeaders = {'retry-after': '30'};
    other.extraHeaders = {'retry-after': '1.5'};
    other.defaultBehaviour = {type: 'shed'};
    const startMs = performance.now();
    // The first request is refused by the endpoints, the others by the router.
    for (const [path, kind] of [
      ['/book/a', 'endpoint_refused'],
      ['/book/a', 'saturated'],
      ['/read/a', 'saturated'],
      ['/chat/a', 'saturated'],
    ]) {
      const callMs = performance.now();
      const response = await fleet.call(path!);
      const endMs = performance.now();
      expect(endMs - callMs).to.be.below(500);
      expect(response.status).to.equal(503);
      expect(response.body).to.include(`"kind":"${kind}"`);
      expect(response.body).to.include('"ran":"no"');
      const freeMs = callMs + Number(response.headers['retry-after']) * 1_000;
      expect(freeMs - startMs).to.be.within(1_400, 2_000);
    }
    expect([full.arrivalCount, other.arrivalCount]).to.deep.equal([1, 1]);
    other.defaultBehaviour = {type: 'answer'};
    await timers.setTimeout(startMs + 2_000 - performance.now());
    expect((await fleet.call('/book/a')).status).to.equal(200);
  });

  it('leads to refusals with the usual retry-after while another endpoint wants requests', async () => {
    other.defaultBehaviour = {type: 'shed'};
    full.extraHeaders = {'retry-after': '30'};
    for (let count = 0; count < 4; count++) {
      const callMs = performance.now();
      const response = await fleet.call('/book/a');
      expect(response.status).to.equal(503);
      // Spread, so that not all callers come back at once, and at most a third
      // of the time that the caller has left.
      const leftS = (ROUTE_TIMEOUT_MS - (performance.now() - callMs)) / 1_000;
      const retryAfterS = Number(response.headers['retry-after']);
      expect(retryAfterS).to.be.within(
        Math.min(0.3, leftS / 3 / 1.75),
        Math.min(0.525, leftS / 3 + 0.02),
      );
    }
    expect(full.arrivalCount).to.equal(1);
  });
});
