/** Callers: cached addresses, fail-over, and checks of answers. */
import * as chai from 'chai';
import * as events from 'node:events';
import * as http from 'node:http';
import type * as net from 'node:net';
import * as answers from '../answers.js';
import * as caller from '../caller.js';
import * as servers from '../servers.js';

const {expect} = chai;
const UNREACHABLE = {name: 'closed', address: '127.0.0.1', port: 1};
const PROMPT = {prompt_tokens: 10, output_tokens: 3};
const CHAT = {method: 'POST', path: '/chat', customer: 'a', chat: 'c'};

function rawAnswer(type: string, text: string): answers.RawAnswer {
  const headers = {'content-type': type};
  return {status: 200, headers, text, firstByteMs: 1, totalMs: 2};
}

describe('caller', () => {
  let engine: servers.EngineServer;
  let router: http.Server;
  let lookupCount: number;
  let client: caller.Caller;

  beforeEach(async () => {
    engine = new servers.EngineServer({tokenMs: 1});
    await engine.listen();
    lookupCount = 0;
    router = http.createServer((request, response) => {
      lookupCount += 1;
      const reachable = {name: 'e1', address: '127.0.0.1', port: engine.port};
      const where = {addresses: [UNREACHABLE, reachable], keep_ms: 60_000};
      response.end(JSON.stringify(where));
    });
    router.listen(0, '127.0.0.1');
    await events.EventEmitter.once(router, 'listening');
    const {port} = router.address() as net.AddressInfo;
    const routers = [UNREACHABLE, {address: '127.0.0.1', port}];
    client = new caller.Caller({routers});
  });

  afterEach(async () => {
    client.close();
    router.closeAllConnections();
    router.close();
    await engine.close();
  });

  const send = (body: object) => client.send({...CHAT, body});

  it('tries the next address if it cannot connect', async () => {
    const streamed = await send({...PROMPT, stream: true});
    expect(streamed).to.include({type: 'answered', cachedTokens: 0});
    const json = await send(PROMPT);
    expect(json).to.include({type: 'answered', cachedTokens: 10});
  });

  it('caches the addresses until one of them fails', async () => {
    await client.lookUpAddresses('c', '/chat');
    await client.lookUpAddresses('c', '/chat');
    expect(lookupCount).to.equal(1);
    await send(PROMPT);
    await client.lookUpAddresses('c', '/chat');
    expect(lookupCount).to.equal(2);
  });

  it('reports an answer that was cut off', async () => {
    engine.setFaults({cut_after_tokens: 1});
    const result = await send({...PROMPT, stream: true});
    expect(result).to.deep.equal({type: 'broken', reason: 'aborted'});
  });

  it('rejects answers that are incomplete or carry another nonce', () => {
    const type = 'text/event-stream';
    const tokenEvent = 'data: {"token":0,"nonce":"n"}\n\n';
    const finalEvent =
      'data: {"done":true,"nonce":"n","cached_tokens":0,"output_tokens":1}\n\n';
    const resultOf = (text: string, nonce = 'n') => {
      const result = answers.check(rawAnswer(type, text), nonce);
      return result.type === 'broken' ? result.reason : result.type;
    };
    expect(resultOf(tokenEvent + finalEvent)).to.equal('answered');
    expect(resultOf(tokenEvent)).to.equal('the final event is missing');
    expect(resultOf(finalEvent)).to.equal('tokens are missing or out of order');
    expect(resultOf(tokenEvent + finalEvent.trim())).to.equal(
      'the last event is incomplete',
    );
    expect(resultOf(tokenEvent + finalEvent, 'm')).to.equal(
      'wrong nonce in an event',
    );
    const body = rawAnswer('application/json', '{"nonce":"n"}');
    expect(answers.check(body, 'm').type).to.equal('broken');
  });

  it('returns an error response as a problem', () => {
    const problem = {
      title: 'The queue is full',
      status: 503,
      kind: 'queue_full',
      ran: 'no',
      retryable: true,
      detail: '',
      request_id: 'r1',
    };
    const text = JSON.stringify(problem);
    const result = answers.check(
      rawAnswer('application/problem+json', text),
      'n',
    );
    expect(result).to.deep.equal({type: 'problem', problem});
  });
});
