/**
 * Guards against sending an endpoint more than the limit that it names for all
 * routers together, where each router counts for itself.
 */
import * as chai from 'chai';
import type * as standins from '@oleanderrock/standins';
import * as support from './directfleet.js';

const {expect} = chai;

const ROUTERS = 4;
const LIMIT_PER_SECOND = 4;

/** Time that the news of a limit may take, in ms. */
const CONTACT_MS = 1_500;

/** Span in which arrivals are counted, in ms. */
const WINDOW_MS = 4_000;

/** Most arrivals in a window, and the fewest if the limit is well used. */
const MAX_ARRIVALS = (LIMIT_PER_SECOND * 1.5 * WINDOW_MS) / 1_000 + 5;
const MIN_ARRIVALS = (LIMIT_PER_SECOND * 0.5 * WINDOW_MS) / 1_000;

/** Interval between the calls through one router, in ms. */
const CALL_INTERVAL_MS = 25;

describe('an endpoint that names a limit for all routers together', function () {
  this.timeout(60_000);
  let fleet: support.DirectFleet;
  let limited: standins.HostedEndpoint;
  let other: standins.HostedEndpoint;

  beforeEach(async () => {
    fleet = new support.DirectFleet();
    await fleet.start(2, ROUTERS);
    [limited, other] = fleet.endpoints as [
      standins.HostedEndpoint,
      standins.HostedEndpoint,
    ];
    limited.extraHeaders = {'server-limit': String(LIMIT_PER_SECOND)};
  });

  afterEach(() => fleet.stop());

  /** Calls through all routers for a time; returns the responses. */
  const callFor = async (durationMs: number, path = '/read/a') => {
    const calls: Array<Promise<support.ReceivedResponse>> = [];
    const endMs = performance.now() + durationMs;
    while (performance.now() < endMs) {
      for (let router = 0; router < ROUTERS; router++) {
        calls.push(fleet.call(path, {}, router));
      }
      await new Promise(resolve => setTimeout(resolve, CALL_INTERVAL_MS));
    }
    return Promise.all(calls);
  };

  const arrivalsDuring = async (durationMs: number, path?: string) => {
    const before = limited.arrivalCount;
    const responses = await callFor(durationMs, path);
    return {arrivals: limited.arrivalCount - before, responses};
  };

  it('gets no more than it names from four routers, while others take the rest', async () => {
    await callFor(CONTACT_MS);
    const {arrivals, responses} = await arrivalsDuring(WINDOW_MS);
    expect(arrivals).to.be.at.most(MAX_ARRIVALS);
    expect(arrivals).to.be.at.least(MIN_ARRIVALS);
    const failed = responses.filter(({status}) => status !== 200);
    expect(failed).to.deep.equal([]);
  });

  it('gets no more if all endpoints of the pool are limited, and what does not fit is refused with the time to wait', async () => {
    other.extraHeaders = limited.extraHeaders;
    await callFor(CONTACT_MS);
    const {arrivals, responses} = await arrivalsDuring(WINDOW_MS);
    expect(arrivals).to.be.at.most(MAX_ARRIVALS);
    expect(arrivals).to.be.at.least(MIN_ARRIVALS);
    const refused = responses.filter(({status}) => status !== 200);
    expect(refused).not.to.deep.equal([]);
    for (const {status, headers} of refused) {
      expect(status).to.equal(503);
      expect(Number(headers['retry-after'])).to.be.above(0);
    }
  });

  it('gets as many as before once an answer names no limit', async () => {
    await callFor(CONTACT_MS);
    limited.extraHeaders = {};
    await callFor(CONTACT_MS);
    const {arrivals} = await arrivalsDuring(WINDOW_MS);
    expect(arrivals).to.be.above(MAX_ARRIVALS);
  });

  it('does not announce it to callers', async () => {
    other.extraHeaders = limited.extraHeaders;
    const response = await fleet.call('/read/a');
    expect(response.status).to.equal(200);
    expect(response.headers).not.to.have.property('server-limit');
  });
});
