/** Engines: answers, prefix cache, slots, delayed load reports and events. */
import * as chai from 'chai';
import type * as runs from '../runs.js';
import * as servers from '../servers.js';
import * as support from './support.js';

const {expect} = chai;
const LONG_PROMPT = {output_tokens: 1_000_000, stream: true};

interface EngineStats {
  started: number;
  finished: number;
  cut: number;
  abandoned: number;
  in_flight: number;
  queued: number;
  max_in_flight: number;
  max_carried: number;
  admissions: runs.Admission[];
}

describe('engine', () => {
  let engine: servers.EngineServer;

  async function startEngine(options: servers.EngineOptions): Promise<void> {
    engine = new servers.EngineServer({tokenMs: 1, ...options});
    await engine.listen();
  }

  afterEach(() => engine.close());

  const stats = () => engine.stats() as EngineStats;

  const getJson = async (path: string) =>
    (await support.requestJson('GET', `${engine.url}${path}`)).body;

  const send = async (body: object, id = 'c') => {
    const outcome = await support.sendRequest(engine, {chat: id, body});
    if (outcome.type !== 'raw') throw new Error(outcome.type);
    return outcome.answer;
  };

  const cachedTokens = async (body: object, id?: string) =>
    (JSON.parse((await send(body, id)).text) as {cached_tokens: number})
      .cached_tokens;

  it('streams each token and then the number of cached tokens', async () => {
    await startEngine({});
    const {text, headers} = await send({
      prompt_tokens: 50,
      output_tokens: 2,
      stream: true,
    });
    const events = text.split('\n\n').filter(part => part !== '');
    expect(events).to.deep.equal([
      'data: {"token":0,"nonce":"n"}',
      'data: {"token":1,"nonce":"n"}',
      'data: {"done":true,"nonce":"n","cached_tokens":0,"output_tokens":2}',
    ]);
    expect(headers).to.include({
      'oleander-cached-tokens': '0',
      'oleander-tokens': '52',
    });
  });

  it('caches the prompt and output of a chat, within its capacity', async () => {
    await startEngine({cacheTokens: 100});
    const body = {prompt_tokens: 50, output_tokens: 10};
    expect(await cachedTokens(body)).to.equal(0);
    expect(await cachedTokens({...body, prompt_tokens: 90})).to.equal(60);
    expect(await cachedTokens(body, 'other')).to.equal(0);
    expect(await cachedTokens(body)).to.equal(0);
  });

  it('answers 400 to an invalid prompt', async () => {
    await startEngine({});
    expect((await send({prompt_tokens: -1})).status).to.equal(400);
  });

  it('queues requests above its slots and drops abandoned ones', async () => {
    await startEngine({slots: 1});
    const [first, second] = [new AbortController(), new AbortController()];
    const running = support.sendRequest(engine, {
      body: LONG_PROMPT,
      signal: first.signal,
    });
    await support.waitUntil(() => stats().in_flight === 1);
    const waiting = support.sendRequest(engine, {
      body: LONG_PROMPT,
      signal: second.signal,
    });
    await support.waitUntil(() => stats().queued === 1);
    second.abort();
    expect((await waiting).type).to.equal('broken');
    await support.waitUntil(() => stats().abandoned === 1);
    const third = send({});
    await support.waitUntil(() => stats().queued === 1);
    first.abort();
    expect((await running).type).to.equal('broken');
    expect((await third).status).to.equal(200);
    await support.waitUntil(() => stats().in_flight === 0);
    expect(stats()).to.include({
      started: 2,
      finished: 1,
      cut: 1,
      max_in_flight: 1,
      max_carried: 2,
    });
    const inFlight = stats().admissions.map(admission => admission.in_flight);
    expect(inFlight).to.deep.equal([1, 1]);
  });

  it('waits for a caller that does not read the stream', async () => {
    await startEngine({tokenMs: 0});
    const controller = new AbortController();
    const response = await fetch(engine.url, {
      method: 'POST',
      body: JSON.stringify({...LONG_PROMPT, nonce: 'x'.repeat(10_000)}),
      signal: controller.signal,
    });
    const reader = response.body?.getReader();
    const first = (await reader?.read()) as {value: Uint8Array};
    expect(first.value.length).to.be.greaterThan(0);
    expect(stats().in_flight).to.equal(1);
    controller.abort();
    await support.waitUntil(() => stats().cut === 1);
  });

  it('reports the load as it was before the reporting lag', async () => {
    await startEngine({faults: {report_lag_ms: 60_000}});
    const controller = new AbortController();
    const running = support.sendRequest(engine, {
      body: LONG_PROMPT,
      signal: controller.signal,
    });
    await support.waitUntil(() => stats().in_flight === 1);
    expect(await getJson('/load')).to.include({in_flight: 0, age_ms: 60_000});
    engine.setFaults({report_lag_ms: 0, leaving: true});
    expect(await getJson('/load')).to.include({
      in_flight: 1,
      age_ms: 0,
      state: 'leaving',
    });
    controller.abort();
    expect((await running).type).to.equal('broken');
  });

  it('publishes cache events after a delay and with gaps', async () => {
    await startEngine({faults: {events_lag_ms: 60_000, events_gap_every: 3}});
    for (const id of ['a', 'b', 'c', 'd']) await send({prompt_tokens: 1}, id);
    expect(await getJson('/events')).to.deep.equal({next: 0, events: []});
    engine.setFaults({events_lag_ms: 0});
    const {next, events} = (await getJson('/events?from=1')) as {
      next: number;
      events: Array<{type: string; chat: string}>;
    };
    const published = events.map(event => `${event.type} ${event.chat}`);
    expect(published).to.deep.equal(['stored b', 'stored d']);
    expect(next).to.equal(4);
  });

  it('reports a different start id after a restart', async () => {
    await startEngine({});
    const before = (await getJson('/load')) as {start_id: string};
    engine.crash();
    const {port} = engine;
    await engine.close();
    await startEngine({port});
    const after = (await getJson('/load')) as {start_id: string};
    expect(after.start_id).to.not.equal(before.start_id);
  });

  it('counts the runs of each request id', async () => {
    await startEngine({});
    const headers = {'oleander-request-id': 'r1'};
    for (let i = 0; i < 2; i++) {
      const response = await fetch(engine.url, {
        method: 'POST',
        headers,
        body: '{}',
      });
      expect(response.headers.get('oleander-request-id')).to.equal('r1');
    }
    expect(engine.stats()).to.deep.include({runs_by_request: {r1: 2}});
  });
});
