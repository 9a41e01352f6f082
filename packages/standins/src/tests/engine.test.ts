/** Engines: answers, cache, slots, lagging reports and events. */
import * as chai from 'chai';
import type * as runs from '../runs.js';
import * as servers from '../servers.js';
import * as support from './support.js';

const {expect} = chai;
const LONG = {output_tokens: 1_000_000, stream: true};

interface Counts {
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

  async function open(options: servers.EngineOptions): Promise<void> {
    engine = new servers.EngineServer({tokenMs: 1, ...options});
    await engine.listen();
  }

  afterEach(() => engine.close());

  const stats = () => engine.stats() as Counts;

  const page = async (path: string) =>
    (await support.json('GET', `${engine.url}${path}`)).body;

  const chat = async (body: object, id = 'c') => {
    const outcome = await support.post(engine, {chat: id, body});
    if (outcome.type !== 'raw') throw new Error(outcome.type);
    return outcome.answer;
  };

  const cached = async (body: object, id?: string) =>
    (JSON.parse((await chat(body, id)).text) as {cached_tokens: number})
      .cached_tokens;

  it('streams each token and then what it found in its cache', async () => {
    await open({});
    const {text, headers} = await chat({
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

  it('keeps prompt and output of a chat, within its bound', async () => {
    await open({cacheTokens: 100});
    const body = {prompt_tokens: 50, output_tokens: 10};
    expect(await cached(body)).to.equal(0);
    expect(await cached({...body, prompt_tokens: 90})).to.equal(60);
    expect(await cached(body, 'other')).to.equal(0);
    expect(await cached(body)).to.equal(0);
  });

  it('answers 400 to what is no prompt', async () => {
    await open({});
    expect((await chat({prompt_tokens: -1})).status).to.equal(400);
  });

  it('queues above its slots and drops callers that leave', async () => {
    await open({slots: 1});
    const [first, second] = [new AbortController(), new AbortController()];
    const running = support.post(engine, {body: LONG, signal: first.signal});
    await support.until(() => stats().in_flight === 1);
    const waiting = support.post(engine, {body: LONG, signal: second.signal});
    await support.until(() => stats().queued === 1);
    second.abort();
    expect((await waiting).type).to.equal('broken');
    await support.until(() => stats().abandoned === 1);
    const third = chat({});
    await support.until(() => stats().queued === 1);
    first.abort();
    expect((await running).type).to.equal('broken');
    expect((await third).status).to.equal(200);
    await support.until(() => stats().in_flight === 0);
    expect(stats()).to.include({
      started: 2,
      finished: 1,
      cut: 1,
      max_in_flight: 1,
      max_carried: 2,
    });
    const inFlight = stats().admissions.map(start => start.in_flight);
    expect(inFlight).to.deep.equal([1, 1]);
  });

  it('waits for a caller that does not read', async () => {
    await open({tokenMs: 0});
    const given = new AbortController();
    const answer = await fetch(engine.url, {
      method: 'POST',
      body: JSON.stringify({...LONG, nonce: 'x'.repeat(10_000)}),
      signal: given.signal,
    });
    const reader = answer.body?.getReader();
    const first = (await reader?.read()) as {value: Uint8Array};
    expect(first.value.length).to.be.greaterThan(0);
    expect(stats().in_flight).to.equal(1);
    given.abort();
    await support.until(() => stats().cut === 1);
  });

  it('reports its load as it was before the lag', async () => {
    await open({faults: {report_lag_ms: 60_000}});
    const given = new AbortController();
    const running = support.post(engine, {body: LONG, signal: given.signal});
    await support.until(() => stats().in_flight === 1);
    expect(await page('/load')).to.include({in_flight: 0, age_ms: 60_000});
    engine.control({report_lag_ms: 0, leaving: true});
    expect(await page('/load')).to.include({
      in_flight: 1,
      age_ms: 0,
      state: 'leaving',
    });
    given.abort();
    expect((await running).type).to.equal('broken');
  });

  it('publishes cache events late and with gaps', async () => {
    await open({faults: {events_lag_ms: 60_000, events_gap_every: 3}});
    for (const id of ['a', 'b', 'c', 'd']) await chat({prompt_tokens: 1}, id);
    expect(await page('/events')).to.deep.equal({next: 0, events: []});
    engine.control({events_lag_ms: 0});
    const {next, events} = (await page('/events?from=1')) as {
      next: number;
      events: Array<{type: string; chat: string}>;
    };
    const seen = events.map(event => `${event.type} ${event.chat}`);
    expect(seen).to.deep.equal(['stored b', 'stored d']);
    expect(next).to.equal(4);
  });

  it('gives each start an id of its own', async () => {
    await open({});
    const before = (await page('/load')) as {start_id: string};
    engine.crash();
    const {port} = engine;
    await engine.close();
    await open({port});
    const after = (await page('/load')) as {start_id: string};
    expect(after.start_id).to.not.equal(before.start_id);
  });

  it('counts the runs of each request', async () => {
    await open({});
    const headers = {'oleander-request-id': 'r1'};
    for (let i = 0; i < 2; i++) {
      const answer = await fetch(engine.url, {
        method: 'POST',
        headers,
        body: '{}',
      });
      expect(answer.headers.get('oleander-request-id')).to.equal('r1');
    }
    expect(engine.stats()).to.deep.include({runs_by_request: {r1: 2}});
  });
});
