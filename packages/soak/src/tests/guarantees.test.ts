/** Tests that the soak's checks report each breach, and none without one. */
import * as chai from 'chai';
import * as standins from '@oleanderrock/standins';
import * as guarantees from '../guarantees.js';
import * as tables from '../tables.js';
import type * as traffic from '../traffic.js';
import type * as environments from '../environment.js';

const {expect} = chai;

const PATH = '/book/1';

function createCall(overrides: Partial<traffic.Call> = {}): traffic.Call {
  return {
    id: 'c1',
    path: PATH,
    router: 'r1',
    sentMs: 10_000,
    endedMs: 10_020,
    isConnected: true,
    isCancelled: false,
    answer: createAnswer(),
    ...overrides,
  };
}

function createAnswer(overrides: Partial<traffic.Answer> = {}): traffic.Answer {
  return {
    status: 200,
    headers: {'attempt-id': 'c1', 'response-seal': 'e1.c1'},
    body: tables.expectedBody(PATH, 'v1'),
    isComplete: true,
    ...overrides,
  };
}

function createRun(
  overrides: Partial<standins.RecordedRun> = {},
): standins.RecordedRun {
  return {
    method: 'POST',
    path: PATH,
    headers: {'attempt-id': 'c1', tenant: tables.CUSTOMER},
    body: '',
    startedMs: 10_010,
    isCutOff: false,
    ...overrides,
  };
}

interface ObservationOptions {
  readonly calls?: readonly traffic.Call[];
  readonly runs?: readonly standins.RecordedRun[];
  readonly drainStartMs?: number;
  readonly isDisturbed?: boolean;
}

function findBreaches(options: ObservationOptions = {}): string[] {
  const {calls = [createCall()], runs = [createRun()], drainStartMs} = options;
  const endpoint = new standins.HostedEndpoint('e1', tables.POOL, '127.0.0.1');
  endpoint.runs.push(...runs);
  const slot = {endpoint, drainStartMs} as environments.EndpointSlot;
  const environment: guarantees.ObservedEnvironment = {
    endpoints: [slot],
    versions: [{version: 2, atMs: 1_000}],
    isDisturbed: () => options.isDisturbed ?? false,
  };
  return guarantees.findBreaches({calls, environment});
}

describe('soak guarantee checks', () => {
  it('report nothing for a correct run', () => {
    expect(findBreaches()).to.deep.equal([]);
  });

  it('report a stream of two versions, in one answer or over two calls', () => {
    const path = '/chat/1';
    const [whole, other] = ['v1', 'v2'].map(version =>
      tables.expectedBody(path, version),
    );
    const rest = tables.expectedBody(path, 'v2', 4);
    const stream = (body: string, resumed?: tables.ResumedStream) => {
      const answer = createAnswer({body});
      return findBreaches({
        calls: [createCall({path, answer, resumed})],
        runs: [createRun({path})],
      });
    };
    const resumed = {id: 'c0', version: 'v2', eventCount: 4};
    expect(stream(whole!)).to.deep.equal([]);
    expect(stream(rest, resumed)).to.deep.equal([]);
    const joined = whole!.slice(0, other!.length - rest.length) + rest;
    expect(stream(joined)).to.have.length(1);
    expect(stream(rest, {...resumed, version: 'v1'})).to.have.length(1);
  });

  it('report a foreign answer and a truncated answer marked complete', () => {
    const foreignAnswer = createAnswer({headers: {'attempt-id': 'c2'}});
    const truncatedAnswer = createAnswer({body: 'answer'});
    for (const invalid of [foreignAnswer, truncatedAnswer]) {
      expect(
        findBreaches({calls: [createCall({answer: invalid})]}),
      ).to.have.length(1);
    }
  });

  it('report a second run of an at-most-once request', () => {
    expect(findBreaches({runs: [createRun(), createRun()]})).to.have.length(1);
  });

  it('report a run of a request whose status says that it did not run', () => {
    const refusedCall = createCall({answer: createAnswer({status: 503})});
    expect(findBreaches({calls: [refusedCall]})).to.have.length(1);
  });

  it('report a run of an unsent request, and a forwarded API key', () => {
    const unsentRun = createRun({path: '/book/2'});
    const runWithKey = createRun({
      headers: {...createRun().headers, 'x-api-key': 'k'},
    });
    for (const invalid of [unsentRun, runWithKey]) {
      expect(findBreaches({runs: [invalid]})).to.have.length(1);
    }
  });

  it('report a late request to a draining endpoint, except during faults', () => {
    const drainStartMs = createRun().startedMs - 2_600;
    expect(findBreaches({drainStartMs})).to.have.length(1);
    expect(findBreaches({drainStartMs, isDisturbed: true})).to.deep.equal([]);
    expect(
      findBreaches({drainStartMs: createRun().startedMs - 1_900}),
    ).to.deep.equal([]);
  });

  it('report a version that is not served in time', () => {
    const path = `${tables.versionPath(2)}probe`;
    const notFoundAnswer = createAnswer({status: 404});
    const calls = [createCall({path, answer: notFoundAnswer})];
    expect(findBreaches({calls, runs: []})).to.have.length(1);
    const earlyCalls = [
      createCall({path, answer: notFoundAnswer, sentMs: 2_000}),
    ];
    expect(findBreaches({calls: earlyCalls, runs: []})).to.deep.equal([]);
  });

  it('report a request without an answer, unless it was cancelled', () => {
    const unansweredCall = createCall({answer: undefined});
    expect(findBreaches({calls: [unansweredCall]})).to.have.length(1);
    const cancelledCall = createCall({answer: undefined, isCancelled: true});
    expect(findBreaches({calls: [cancelledCall]})).to.deep.equal([]);
  });
});
