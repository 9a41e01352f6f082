/** Callers: kept addresses, and answers that are whole and their own. */
import * as chai from 'chai';
import * as events from 'node:events';
import * as http from 'node:http';
import type * as net from 'node:net';
import * as answers from '../answers.js';
import * as caller from '../caller.js';
import * as servers from '../servers.js';

const {expect} = chai;
const CLOSED = {name: 'closed', address: '127.0.0.1', port: 1};
const PROMPT = {prompt_tokens: 10, output_tokens: 3};
const CHAT = {method: 'POST', path: '/chat', customer: 'a', chat: 'c'};

function raw(type: string, text: string): answers.RawAnswer {
  const headers = {'content-type': type};
  return {status: 200, headers, text, firstByteMs: 1, totalMs: 2};
}

describe('caller', () => {
  let engine: servers.EngineServer;
  let router: http.Server;
  let asked: number;
  let client: caller.Caller;

  beforeEach(async () => {
    engine = new servers.EngineServer({tokenMs: 1});
    await engine.listen();
    asked = 0;
    router = http.createServer((request, response) => {
      asked += 1;
      const live = {name: 'e1', address: '127.0.0.1', port: engine.port};
      const where = {addresses: [CLOSED, live], keep_ms: 60_000};
      response.end(JSON.stringify(where));
    });
    router.listen(0, '127.0.0.1');
    await events.EventEmitter.once(router, 'listening');
    const {port} = router.address() as net.AddressInfo;
    const routers = [CLOSED, {address: '127.0.0.1', port}];
    client = new caller.Caller({routers});
  });

  afterEach(async () => {
    client.close();
    router.closeAllConnections();
    router.close();
    await engine.close();
  });

  const send = (body: object) => client.send({...CHAT, body});

  it('goes on to the next address where it cannot connect', async () => {
    const streamed = await send({...PROMPT, stream: true});
    expect(streamed).to.include({type: 'answered', cachedTokens: 0});
    const whole = await send(PROMPT);
    expect(whole).to.include({type: 'answered', cachedTokens: 10});
  });

  it('keeps where to go until an address fails', async () => {
    await client.where('c', '/chat');
    await client.where('c', '/chat');
    expect(asked).to.equal(1);
    await send(PROMPT);
    await client.where('c', '/chat');
    expect(asked).to.equal(2);
  });

  it('tells of an answer that was cut', async () => {
    engine.control({cut_after_tokens: 1});
    const result = await send({...PROMPT, stream: true});
    expect(result).to.deep.equal({type: 'broken', reason: 'aborted'});
  });

  it('refuses answers that are not whole or not its own', () => {
    const type = 'text/event-stream';
    const token = 'data: {"token":0,"nonce":"n"}\n\n';
    const last =
      'data: {"done":true,"nonce":"n","cached_tokens":0,"output_tokens":1}\n\n';
    const verdict = (text: string, nonce = 'n') => {
      const result = answers.check(raw(type, text), nonce);
      return result.type === 'broken' ? result.reason : result.type;
    };
    expect(verdict(token + last)).to.equal('answered');
    expect(verdict(token)).to.equal('the last event is missing');
    expect(verdict(last)).to.equal('tokens are missing or out of order');
    expect(verdict(token + last.trim())).to.equal('the last event is cut');
    expect(verdict(token + last, 'm')).to.equal('an event is not ours');
    const body = raw('application/json', '{"nonce":"n"}');
    expect(answers.check(body, 'm').type).to.equal('broken');
  });

  it('passes on problems', () => {
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
    const result = answers.check(raw('application/problem+json', text), 'n');
    expect(result).to.deep.equal({type: 'problem', problem});
  });
});
