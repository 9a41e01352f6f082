/** Faults that engines and services share, seen by their callers. */
import * as chai from 'chai';
import * as http from 'node:http';
import type * as onecall from '../onecall.js';
import * as servers from '../servers.js';
import * as support from './support.js';

const {expect} = chai;
const LONG = {output_tokens: 1_000_000, stream: true};
const SHORT = {output_tokens: 5, stream: true};

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

  const answer = async (request: Partial<onecall.CallRequest> = {}) => {
    const outcome = await support.post(engine, request);
    if (outcome.type !== 'raw') throw new Error(outcome.type);
    return outcome.answer;
  };

  const type = async (request: Partial<onecall.CallRequest> = {}) =>
    (await support.post(engine, request)).type;

  const reason = async (request: Partial<onecall.CallRequest> = {}) => {
    const outcome = await support.post(engine, request);
    return 'reason' in outcome ? outcome.reason : '';
  };

  it('refuses as not run', async () => {
    engine.control({refuse: true});
    const {status, headers} = await answer();
    expect(status).to.equal(503);
    expect(headers).to.include({'oleander-ran': 'no'});
    expect(stats().started).to.equal(0);
  });

  it('says that it is leaving, and may refuse then', async () => {
    engine.control({leaving: true});
    const {status, headers} = await answer();
    expect(status).to.equal(200);
    expect(headers).to.include({'oleander-state': 'leaving'});
    engine.control({refuse_when_leaving: true});
    expect((await answer()).headers).to.include({
      'oleander-state': 'leaving',
      'oleander-ran': 'no',
    });
  });

  it('crashes at a marker, with all requests that run', async () => {
    engine.control({crash_marker: 'boom'});
    const running = type({body: LONG});
    await support.until(() => stats().in_flight === 1);
    expect(await type({body: {text: 'boom'}})).to.equal('broken');
    expect(await running).to.equal('broken');
    expect(await type()).to.equal('unconnected');
  });

  it('goes down', async () => {
    const running = type({body: LONG});
    await support.until(() => stats().in_flight === 1);
    engine.control({down: true});
    expect(await running).to.equal('broken');
    expect(await type()).to.equal('unconnected');
  });

  it('silences connections for good while new ones work', async () => {
    await support.post(engine, {}, agent);
    engine.control({silent: true});
    engine.control({silent: false});
    const given = new AbortController();
    const request = {signal: given.signal};
    const silent = support.post(engine, request, agent);
    await support.until(() => stats().held === 1);
    expect(await type()).to.equal('raw');
    expect(stats().started).to.equal(2);
    given.abort();
    expect(await silent).to.include({type: 'broken', reason: 'given up'});
  });

  it('sends nothing more on a silent connection', async () => {
    const given = new AbortController();
    const body = JSON.stringify(LONG);
    const {signal} = given;
    const got = await fetch(engine.url, {method: 'POST', body, signal});
    const reader = got.body?.getReader();
    engine.control({silent: true});
    const drained = drain(reader);
    await support.until(() => stats().held === 1);
    expect(await type({body: SHORT})).to.equal('raw');
    given.abort();
    await drained;
    expect(stats().in_flight).to.equal(1);
  });

  it('answers nothing while it is frozen, and all of it after', async () => {
    engine.control({frozen: true});
    const held = answer({body: SHORT});
    await support.until(() => stats().held === 1);
    expect(stats().started).to.equal(0);
    engine.control({frozen: false});
    expect((await held).status).to.equal(200);
  });

  it('waits before the first byte', async () => {
    engine.control({slow_ms: 40});
    expect((await answer()).firstByteMs).to.be.at.least(39);
  });

  it('finishes late though the caller has left', async () => {
    engine.control({late_ms: 30});
    const given = new AbortController();
    const left = type({body: {}, signal: given.signal});
    await support.until(() => stats().in_flight === 1);
    given.abort();
    expect(await left).to.equal('broken');
    expect(stats().in_flight).to.equal(1);
    await support.until(() => stats().in_flight === 0);
  });

  it('cuts a stream, and a JSON answer, before its end', async () => {
    engine.control({cut_after_tokens: 2});
    expect(await reason({body: SHORT})).to.equal('aborted');
    expect(await reason()).to.equal('aborted');
    expect(stats().finished).to.equal(0);
  });

  it('answers with another id', async () => {
    engine.control({wrong_id: true});
    const headers = {'oleander-request-id': 'r1'};
    const got = await fetch(engine.url, {method: 'POST', headers, body: '{}'});
    expect(got.headers.get('oleander-request-id')).to.not.equal('r1');
  });

  it('ends answers with the connection', async () => {
    engine.control({no_length: true});
    for (const body of [SHORT, {}]) {
      const {headers, text} = await answer({body});
      expect(headers).to.not.have.any.keys(
        'content-length',
        'transfer-encoding',
      );
      expect(text).to.contain('output_tokens');
    }
  });

  it('answers with what is not HTTP', async () => {
    engine.control({malformed: true});
    expect(await reason()).to.match(/^Parse Error/);
  });

  it('answers with headers above the limit', async () => {
    engine.control({oversized_headers: true});
    expect(await reason()).to.equal('Parse Error: Header overflow');
  });

  it('takes faults over HTTP and refuses unknown ones', async () => {
    const address = `${engine.url}/control`;
    const set = await support.json('POST', address, {slow_ms: 1});
    expect(set.body).to.include({slow_ms: 1, frozen: false});
    const bad = await support.json('POST', address, {slow: 1});
    expect(bad.status).to.equal(400);
  });

  async function drain(
    reader: ReadableStreamDefaultReader<Uint8Array> | undefined,
  ): Promise<void> {
    try {
      while (!(await reader?.read())?.done);
      throw new Error('a silent connection ended');
    } catch (error) {
      expect(error).to.have.property('name', 'AbortError');
    }
  }
});
