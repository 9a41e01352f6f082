/**
 * Guards against requests to endpoints that announced in a response that they
 * want none.
 */
import * as chai from 'chai';
import * as direct from '@oleanderrock/direct';
import type * as standins from '@oleanderrock/standins';
import * as support from './directfleet.js';
import * as polling from './polling.js';

const {expect} = chai;

const LEAVING = {'server-leaving': '1'};

/** Calls enough to reach each endpoint that gets requests. */
const CALL_COUNT = 20;

describe('an endpoint that announces in a response that it leaves', () => {
  let fleet: support.DirectFleet;
  let leaving: standins.HostedEndpoint;
  let other: standins.HostedEndpoint;

  beforeEach(async () => {
    fleet = new support.DirectFleet();
    await fleet.start();
    [leaving, other] = fleet.endpoints as [
      standins.HostedEndpoint,
      standins.HostedEndpoint,
    ];
  });

  afterEach(() => fleet.stop());

  /** Calls until the leaving endpoint has answered once. */
  const announce = async (path = '/read/a'): Promise<void> => {
    leaving.extraHeaders = LEAVING;
    const {arrivalCount} = leaving;
    await polling.until('the endpoint answers', async () => {
      await fleet.call(path);
      return leaving.arrivalCount > arrivalCount;
    });
  };

  const callAll = async (path = '/read/a') => {
    const responses: support.ReceivedResponse[] = [];
    for (let count = 0; count < CALL_COUNT; count++) {
      responses.push(await fleet.call(path));
    }
    return responses;
  };

  const ANSWERS: ReadonlyArray<readonly [standins.Behaviour, string]> = [
    [{type: 'answer'}, '/read/a'],
    [{type: 'fail'}, '/read/a'],
    [{type: 'fail'}, '/book/a'],
    [{type: 'shed'}, '/book/a'],
    [{type: 'stream', events: 3}, '/chat/a'],
  ];

  for (const [behaviour, path] of ANSWERS) {
    it(`gets no further request, of type ${behaviour.type} at ${path}`, async () => {
      leaving.defaultBehaviour = behaviour;
      if (behaviour.type === 'stream') other.defaultBehaviour = behaviour;
      await announce(path);
      const {arrivalCount} = leaving;
      const responses = await callAll(path);
      expect(leaving.arrivalCount).to.equal(arrivalCount);
      for (const {status} of responses) expect(status).to.equal(200);
    });
  }

  it('does not announce it to callers', async () => {
    other.extraHeaders = LEAVING;
    leaving.extraHeaders = LEAVING;
    const response = await fleet.call('/read/a');
    expect(response.status).to.equal(200);
    expect(response.headers).not.to.have.property('server-leaving');
  });

  it('gets requests again only in another lifetime, whatever the list says of this one', async () => {
    await announce();
    const {arrivalCount} = leaving;
    const registry = fleet.kernels[0]!.find(direct.ENDPOINT_REGISTRY);
    const putAndAwait = async (entry?: Record<string, unknown>) => {
      const offset = fleet.store.put('keyed.servers', leaving.id, entry);
      await polling.until('the record arrives', () =>
        registry.allRecords().some(record => record.offset === offset),
      );
    };
    await putAndAwait(leaving.entry('draining'));
    await putAndAwait(leaving.entry('ready'));
    await callAll();
    await putAndAwait(undefined);
    await putAndAwait(leaving.entry('ready'));
    await callAll();
    expect(leaving.arrivalCount).to.equal(arrivalCount);
    leaving.extraHeaders = {};
    leaving.bornMs += 1;
    await putAndAwait(leaving.entry('ready'));
    await polling.until('the new lifetime gets requests', async () => {
      await fleet.call('/read/a');
      return leaving.arrivalCount > arrivalCount;
    });
  });

  it('completes what runs there', async () => {
    const stream = {type: 'stream', events: 40, intervalMs: 10} as const;
    leaving.defaultBehaviour = stream;
    other.defaultBehaviour = stream;
    const streams = [...Array(8).keys()].map(() => fleet.call('/chat/a'));
    await polling.until(
      'all streams run',
      () => fleet.runs().length === streams.length && leaving.runs.length > 0,
    );
    const runCount = leaving.runs.length;
    leaving.nextBehaviours.push({type: 'answer'});
    await announce();
    for (const response of await Promise.all(streams)) {
      expect(response).to.include({body: support.events(40), isComplete: true});
    }
    expect(leaving.runs).to.have.length(runCount + 1);
  });

  it('resumes no stream of another endpoint', async () => {
    await announce();
    const {arrivalCount} = leaving;
    other.defaultBehaviour = {type: 'stream', events: 9, cutInEvent: 4};
    const response = await fleet.call('/chat/a');
    expect(response).to.include({body: support.events(3), isComplete: false});
    expect(leaving.arrivalCount).to.equal(arrivalCount);
  });

  it('is the source from which another copies a context', async () => {
    const engine = {kvTokenBytes: 327_680, linkMbps: 1_500_000};
    const services = [{name: 'pool', healthPath: '/health', engine}];
    fleet.store.put('keyed.op', 'config', support.config(2, {services}));
    await polling.until('version 2 is in force', () => fleet.version(0) === 2);
    for (const endpoint of fleet.endpoints) endpoint.extraHeaders = LEAVING;
    const headers = {'prompt-prefix': 'p:9000,own:10'};
    await fleet.call('/read/a', {headers});
    const home = fleet.endpoints.find(({runs}) => runs.length === 1)!;
    await fleet.call('/read/a', {headers});
    const next = fleet.endpoints.find(endpoint => endpoint !== home)!;
    expect(next.runs[0]?.headers['kv-fetch']).to.equal(
      `127.0.0.1:${home.port}`,
    );
  });

  it('is not sent a request that waits for its connection', async () => {
    const kernel = fleet.kernels[0]!;
    const selector = kernel.find(direct.ENDPOINT_SELECTOR);
    const select = selector.select.bind(selector);
    const notices = kernel.find(direct.ENDPOINT_NOTICES);
    let first: string | undefined;
    // The notice arrives after the selection, while the router connects.
    selector.select = async (request, scope) => {
      const selection = await select(request, scope);
      if (selection.type === 'selected' && first === undefined) {
        const {endpoint} = selection.choice;
        first = endpoint.id;
        queueMicrotask(() => notices.recordLeaving(endpoint));
      }
      return selection;
    };
    const response = await fleet.call('/book/a');
    expect(response.status).to.equal(200);
    const reached = fleet.endpoints.filter(
      ({arrivalCount}) => arrivalCount > 0,
    );
    expect(reached).to.have.length(1);
    expect(reached[0]!.id).not.to.equal(first);
  });

  it('leaves a pool empty if all do, whose requests are refused at once', async () => {
    await announce();
    other.extraHeaders = LEAVING;
    await fleet.call('/read/a');
    const arrivalCount = leaving.arrivalCount + other.arrivalCount;
    for (const path of ['/read/a', '/book/a', '/chat/a']) {
      const startMs = performance.now();
      const response = await fleet.call(path);
      expect(performance.now() - startMs).to.be.below(500);
      expect(response.status).to.equal(503);
      expect(response.body).to.include('"kind":"pool_empty"');
      expect(response.body).to.include('"ran":"no"');
      expect(Number(response.headers['retry-after'])).to.be.above(0);
    }
    expect(leaving.arrivalCount + other.arrivalCount).to.equal(arrivalCount);
  });
});
