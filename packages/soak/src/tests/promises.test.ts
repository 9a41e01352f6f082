/** The checks of the soak find what is broken, and nothing else. */
import * as chai from 'chai';
import * as standins from '@oleanderrock/standins';
import * as promises from '../promises.js';
import * as tables from '../tables.js';
import type * as traffic from '../traffic.js';
import type * as worlds from '../world.js';

const {expect} = chai;

const PATH = '/book/1';

function call(more: Partial<traffic.Call> = {}): traffic.Call {
  return {
    id: 'c1',
    path: PATH,
    router: 'r1',
    sentMs: 10_000,
    endedMs: 10_020,
    isConnected: true,
    isGivenUp: false,
    answer: answer(),
    ...more,
  };
}

function answer(more: Partial<traffic.Answer> = {}): traffic.Answer {
  return {
    status: 200,
    headers: {'attempt-id': 'c1', 'response-seal': 'e1.c1'},
    body: tables.expected(PATH),
    isWhole: true,
    ...more,
  };
}

function run(more: Partial<standins.SeenRun> = {}): standins.SeenRun {
  return {
    method: 'POST',
    path: PATH,
    headers: {'attempt-id': 'c1', tenant: tables.CUSTOMER},
    body: '',
    atMs: 10_010,
    hasLeft: false,
    ...more,
  };
}

interface SeenOptions {
  readonly calls?: readonly traffic.Call[];
  readonly runs?: readonly standins.SeenRun[];
  readonly drainedMs?: number;
  readonly isDisturbed?: boolean;
}

function check(options: SeenOptions = {}): string[] {
  const {calls = [call()], runs = [run()], drainedMs} = options;
  const endpoint = new standins.HostedEndpoint('e1', tables.POOL, '127.0.0.1');
  endpoint.runs.push(...runs);
  const slot = {endpoint, drainedMs} as worlds.EndpointSlot;
  const world: promises.SeenWorld = {
    endpoints: [slot],
    versions: [{version: 2, atMs: 1_000}],
    isDisturbed: () => options.isDisturbed ?? false,
  };
  return promises.check({calls, world});
}

describe('checks of the soak', () => {
  it('find nothing where all is well', () => {
    expect(check()).to.deep.equal([]);
  });

  it('find an answer that is not the own one, or is cut and looks whole', () => {
    const foreign = answer({headers: {'attempt-id': 'c2'}});
    const cut = answer({body: 'answer'});
    for (const wrong of [foreign, cut]) {
      expect(check({calls: [call({answer: wrong})]})).to.have.length(1);
    }
  });

  it('find a second run, also one of another endpoint', () => {
    expect(check({runs: [run(), run()]})).to.have.length(1);
  });

  it('find a run that was said not to be one', () => {
    const refused = call({answer: answer({status: 503})});
    expect(check({calls: [refused]})).to.have.length(1);
  });

  it('find a run that nobody asked for, and a key that was passed on', () => {
    const other = run({path: '/book/2'});
    const keyed = run({headers: {...run().headers, 'x-api-key': 'k'}});
    for (const wrong of [other, keyed]) {
      expect(check({runs: [wrong]})).to.have.length(1);
    }
  });

  it('find work for an endpoint that left, where nothing excuses it', () => {
    const drainedMs = run().atMs - 2_600;
    expect(check({drainedMs})).to.have.length(1);
    expect(check({drainedMs, isDisturbed: true})).to.deep.equal([]);
    expect(check({drainedMs: run().atMs - 1_900})).to.deep.equal([]);
  });

  it('find a version that is missing in time', () => {
    const path = `${tables.versionPath(2)}probe`;
    const missing = answer({status: 404});
    const calls = [call({path, answer: missing})];
    expect(check({calls, runs: []})).to.have.length(1);
    const early = [call({path, answer: missing, sentMs: 2_000})];
    expect(check({calls: early, runs: []})).to.deep.equal([]);
  });

  it('find a request that was cut off, and none that was given up', () => {
    const lost = call({answer: undefined});
    expect(check({calls: [lost]})).to.have.length(1);
    const left = call({answer: undefined, isGivenUp: true});
    expect(check({calls: [left]})).to.deep.equal([]);
  });
});
