/** Faults that engines and services share, as their callers observe them. */
import * as chai from 'chai';
import * as http from 'node:http';
import type * as httpCall from '../httpcall.js';
import * as servers from '../servers.js';
import * as support from './support.js';

const {expect} = chai;
const LONG_PROMPT = {output_tokens: 1_000_000, stream: true};
const SHORT_PROMPT = {output_tokens: 5, stream: true};

describe('faults of endpoints', () => {
  let engine: servers.EngineServer;
  let agent: http.Agent;

  beforeEach(async () => {
    agent = new http.Agent({keepAlive: true});
    engine = new servers.EngineServer({tokenMs: 1});
    await engine.listen();
  });

  afterEach(() => {
    agent.destroy();
    return engine.close();
  });

  const stats = () =>
    engine.stats() as {
      started: number;
      finished: number;
      in_flight: number;
      held: number;
    };

  const answerOf = async (request: Partial<httpCall.CallRequest> = {}) => {
    const outcome = await support.sendRequest(engine, request);
    if (outcome.type !== 'raw') throw new Error(outcome.type);
    return outcome.answer;
  };

  const outcomeType = async (request: Partial<httpCall.CallRequest> = {}) =>
    (await support.sendRequest(engine, request)).type;

  const failureReason = async (request: Partial<httpCall.CallRequest> = {}) => {
    const outcome = await support.sendRequest(engine, request);
    return 'reason' in outcome ? outcome.reason : '';
  };

  it('refuses requests without running them', async () => {
    engine.setFaults({refuse: true});
    const {status, headers} = await answerOf();
    expect(status).to.equal(503);
    expect(headers).to.include({'oleander-ran': 'no'});
    expect(stats().started).to.equal(0);
  });

  it('reports that it is leaving and can refuse requests then', async () => {
    engine.setFaults({leaving: true});
    const {status, headers} = await answerOf();
    expect(status).to.equal(200);
    expect(headers).to.include({'oleander-state': 'leaving'});
    engine.setFaults({refuse_when_leaving: true});
    expect((await answerOf()).headers).to.include({
      'oleander-state': 'leaving',
      'oleander-ran': 'no',
    });
  });

  it('crashes on the marker and breaks all running requests', async () => {
    engine.setFaults({crash_marker: 'boom'});
    const running = outcomeType({body: LONG_PROMPT});
    await support.waitUntil(() => stats().in_flight === 1);
    expect(await outcomeType({body: {text: 'boom'}})).to.equal('broken');
    expect(await running).to.equal('broken');
    expect(await outcomeType()).to.equal('unconnected');
  });

  it('breaks running requests and stops listening when it goes down', async () => {
    const running = outcomeType({body: LONG_PROMPT});
    await support.waitUntil(() => stats().in_flight === 1);
    engine.setFaults({down: true});
    expect(await running).to.equal('broken');
    expect(await outcomeType()).to.equal('unconnected');
  });

  it('permanently silences open connections while new ones work', async () => {
    await support.sendRequest(engine, {}, agent);
    engine.setFaults({silent: true});
    engine.setFaults({silent: false});
    const controller = new AbortController();
    const request = {signal: controller.signal};
    const silent = support.sendRequest(engine, request, agent);
    await support.waitUntil(() => stats().held === 1);
    expect(await outcomeType()).to.equal('raw');
    expect(stats().started).to.equal(2);
    controller.abort();
    expect(await silent).to.include({type: 'broken', reason: 'cancelled'});
  });

  it('stops a running stream on a silenced connection', async () => {
    const controller = new AbortController();
    const body = JSON.stringify(LONG_PROMPT);
    const {signal} = controller;
    const response = await fetch(engine.url, {method: 'POST', body, signal});
    const reader = response.body?.getReader();
    engine.setFaults({silent: true});
    const reading = readUntilAborted(reader);
    await support.waitUntil(() => stats().held === 1);
    expect(await outcomeType({body: SHORT_PROMPT})).to.equal('raw');
    controller.abort();
    await reading;
    expect(stats().in_flight).to.equal(1);
  });

  it('answers nothing while it is frozen and everything afterwards', async () => {
    engine.setFaults({frozen: true});
    const pending = answerOf({body: SHORT_PROMPT});
    await support.waitUntil(() => stats().held === 1);
    expect(stats().started).to.equal(0);
    engine.setFaults({frozen: false});
    expect((await pending).status).to.equal(200);
  });

  it('delays the first byte', async () => {
    engine.setFaults({slow_ms: 40});
    expect((await answerOf()).firstByteMs).to.be.at.least(39);
  });

  it('finishes a late answer although the caller has disconnected', async () => {
    engine.setFaults({late_ms: 30});
    const controller = new AbortController();
    const abandoned = outcomeType({body: {}, signal: controller.signal});
    await support.waitUntil(() => stats().in_flight === 1);
    controller.abort();
    expect(await abandoned).to.equal('broken');
    expect(stats().in_flight).to.equal(1);
    await support.waitUntil(() => stats().in_flight === 0);
  });

  it('cuts off a stream and a JSON answer before the end', async () => {
    engine.setFaults({cut_after_tokens: 2});
    expect(await failureReason({body: SHORT_PROMPT})).to.equal('aborted');
    expect(await failureReason()).to.equal('aborted');
    expect(stats().finished).to.equal(0);
  });

  it('answers with a wrong request id', async () => {
    engine.setFaults({wrong_id: true});
    const headers = {'oleander-request-id': 'r1'};
    const response = await fetch(engine.url, {
      method: 'POST',
      headers,
      body: '{}',
    });
    expect(response.headers.get('oleander-request-id')).to.not.equal('r1');
  });

  it('ends answers without a length by closing the connection', async () => {
    engine.setFaults({no_length: true});
    for (const body of [SHORT_PROMPT, {}]) {
      const {headers, text} = await answerOf({body});
      expect(headers).to.not.have.any.keys(
        'content-length',
        'transfer-encoding',
      );
      expect(text).to.contain('output_tokens');
    }
  });

  it('answers with bytes that are not HTTP', async () => {
    engine.setFaults({malformed: true});
    expect(await failureReason()).to.match(/^Parse Error/);
  });

  it('answers with headers above the size limit', async () => {
    engine.setFaults({oversized_headers: true});
    expect(await failureReason()).to.equal('Parse Error: Header overflow');
  });

  it('accepts faults over HTTP and rejects unknown ones', async () => {
    const address = `${engine.url}/control`;
    const accepted = await support.requestJson('POST', address, {slow_ms: 1});
    expect(accepted.body).to.include({slow_ms: 1, frozen: false});
    const rejected = await support.requestJson('POST', address, {slow: 1});
    expect(rejected.status).to.equal(400);
  });

  async function readUntilAborted(
    reader: ReadableStreamDefaultReader<Uint8Array> | undefined,
  ): Promise<void> {
    try {
      while (!(await reader?.read())?.done);
      throw new Error('the silenced connection was closed');
    } catch (error) {
      expect(error).to.have.property('name', 'AbortError');
    }
  }
});
