/** Callers get the whole and right answer, or see that it is neither. */
import * as http from 'node:http';
import * as net from 'node:net';
import * as chai from 'chai';
import * as fc from 'fast-check';
import * as core from '@oleanderrock/core';
import type * as standins from '@oleanderrock/standins';
import * as raw from './rawendpoint.js';
import * as support from './faultsupport.js';

const {expect} = chai;

const SEED = 20_261;
const RUNS = 12;
const LIMIT_MS = 250;
const SOUND = Object.keys(raw.SOUND);
const UNSOUND = Object.keys(raw.UNSOUND);

/** One request of a plan. */
interface Item {
  readonly behaviour: string;
  readonly router: number;
  readonly chat: string;
}

/** What a caller makes of an answer by what HTTP tells it. */
type Sight = 'own' | 'foreign' | 'problem' | 'cut';

function see(answer: support.Raw, nonce: string): Sight {
  if (!answer.isWhole) return 'cut';
  const type = answer.headers['content-type'] ?? '';
  if (type.startsWith('application/problem+json')) return 'problem';
  return answer.text.includes(nonce) ? 'own' : 'foreign';
}

describe('answers', function () {
  this.timeout(60_000);
  let fleet: standins.Fleet;
  const engines = ['e1', 'e2'];
  const agent = new http.Agent({keepAlive: true, timeout: 5_000});
  const endpoints = ['raw1', 'raw2'].map(
    name => new raw.RawEndpoint(name, LIMIT_MS + 100),
  );

  before(async () => {
    fleet = await support.startFleet({
      routers: 2,
      engines: 2,
      route: {wait_ms: 1_000, first_byte_timeout_ms: 600, idle_timeout_ms: 600},
    });
    await Promise.all(endpoints.map(endpoint => endpoint.join(fleet)));
    const limits = {first_byte_timeout_ms: LIMIT_MS, idle_timeout_ms: LIMIT_MS};
    await support.edit(fleet, [
      ['pools', {name: 'raw', endpoint_label: 'kind=raw', load_multiple: 4}],
      [
        'routes',
        {
          name: 'raw',
          match: {path_prefix: '/raw'},
          pool: 'raw',
          wait_ms: 2_000,
          ...limits,
        },
      ],
    ]);
    await support.ready(fleet, '/raw');
  });

  after(async () => {
    agent.destroy();
    for (const endpoint of endpoints) endpoint.close();
    await fleet.stop();
  });

  const ask = async (behaviour: string, router: number, chat = '') => {
    const nonce = core.createId();
    const headers = {[raw.BEHAVIOUR]: behaviour, [raw.NONCE]: nonce};
    const address = fleet.addresses()[router]!;
    const answer = await support.call(address, '/raw', {
      agent,
      body: 'x',
      headers: {...headers, ...(chat && {[core.headers.CHAT]: chat})},
    });
    return see(answer, nonce);
  };

  it('asks again where an answer ends after its head', async () => {
    for (const router of [0, 1, 0, 1]) {
      expect(await ask('breakOnce', router)).to.equal('own');
    }
  });

  it('gives each caller its own answer, whatever endpoints send', async () => {
    const one = fc.record({
      behaviour: fc.oneof(
        {weight: 3, arbitrary: fc.constantFrom(...SOUND)},
        {weight: 1, arbitrary: fc.constantFrom(...UNSOUND)},
      ),
      router: fc.nat(1),
      chat: fc.constantFrom('a', 'b', 'c'),
    });
    const batches = fc.array(fc.array(one, {minLength: 1, maxLength: 4}), {
      minLength: 1,
      maxLength: 6,
    });
    const seen = {sound: 0, own: 0};
    const check = async (plan: Array<Array<Item>>) => {
      for (const batch of plan) {
        const sights = await Promise.all(
          batch.map(item => ask(item.behaviour, item.router, item.chat)),
        );
        for (const [index, sight] of sights.entries()) {
          const {behaviour} = batch[index]!;
          const isSound = SOUND.includes(behaviour);
          expect(sight, behaviour).to.be.oneOf(
            isSound ? ['own', 'problem'] : ['problem', 'cut'],
          );
          seen.sound += Number(isSound);
          seen.own += Number(sight === 'own');
        }
      }
    };
    const options = {seed: SEED, numRuns: RUNS, endOnFailure: true};
    await fc.assert(fc.asyncProperty(batches, check), options);
    expect(seen.own / seen.sound, 'sound answers seen').to.be.above(0.5);
  });

  it('serves on after each odd answer', async () => {
    for (const behaviour of UNSOUND) {
      const sights = await Promise.all([ask(behaviour, 0), ask(behaviour, 1)]);
      expect(sights, behaviour).to.not.include.oneOf(['own', 'foreign']);
      await support.until(async () => (await ask('length', 0)) === 'own');
      await support.until(async () => (await ask('chunks', 1)) === 'own');
    }
  });

  const FAULTS = [
    {on: {late_ms: 900}, off: {late_ms: 0}},
    {on: {wrong_id: true}, off: {wrong_id: false}},
    {on: {cut_after_tokens: 2}, off: {cut_after_tokens: null}},
    {on: {no_length: true}, off: {no_length: false}},
    {on: {malformed: true}, off: {malformed: false}},
    {on: {oversized_headers: true}, off: {oversized_headers: false}},
  ];

  it('shows no fault of an endpoint as a whole answer', async () => {
    const caller = support.caller(fleet);
    const prompt = {prompt_tokens: 1, output_tokens: 5};
    const send = (chat: string, stream: boolean) => {
      const request = {method: 'POST', path: '/chat', customer: 'c', chat};
      return caller.send({...request, body: {...prompt, stream}});
    };
    const sendAll = () =>
      Promise.all([send('a', true), send('a', false), send('b', true)]);
    for (const {on, off} of FAULTS) {
      await Promise.all(engines.map(engine => fleet.control(engine, on)));
      for (const {type} of await sendAll()) {
        expect(type, JSON.stringify(on)).to.be.oneOf(['problem', 'broken']);
      }
      await Promise.all(engines.map(engine => fleet.control(engine, off)));
      await support.until(async () =>
        (await sendAll()).every(({type}) => type === 'answered'),
      );
    }
    caller.close();
  });

  /** The text of a whole exchange over HTTP/1.0, or the error that cut it. */
  const askOld = (address: string, body: string) => {
    const [host, port] = address.split(':');
    const socket = net.connect(Number(port), host);
    const head = `POST /chat HTTP/1.0\r\ncontent-length: ${body.length}\r\n\r\n`;
    socket.write(head + body);
    return new Promise<string>(resolve => {
      let text = '';
      socket.on('data', data => (text += data.toString()));
      socket.once('end', () => resolve(text));
      socket.once('error', (error: Error) => resolve(error.message));
    });
  };

  it('shows a cut to callers of HTTP/1.0, which knows no chunks', async () => {
    const body = JSON.stringify({output_tokens: 9, stream: true});
    const [address = ''] = fleet.addresses();
    expect(await askOld(address, body)).to.contain('"done":true');
    const cut = {cut_after_tokens: 2};
    await Promise.all(engines.map(engine => fleet.control(engine, cut)));
    expect(await askOld(address, body)).to.contain('ECONNRESET');
    const uncut = {cut_after_tokens: null};
    await Promise.all(engines.map(engine => fleet.control(engine, uncut)));
  });

  it('shows a cut where a router dies while it passes a stream on', async () => {
    const body = JSON.stringify({output_tokens: 400, stream: true});
    const ask = (chat: string) =>
      support.call(fleet.addresses()[0]!, '/chat', {
        body,
        headers: {[core.headers.CHAT]: chat},
      });
    const calls: Array<Promise<support.Raw>> = [];
    // Each router owns one of the two engines; one may be ejected as yet.
    await support.until(async () => {
      calls.push(...['a', 'b', 'c', 'd'].map(ask));
      await support.pause(200);
      const all = engines.map(engine => support.running(fleet, [engine]));
      return (await Promise.all(all)).every(count => count > 0);
    });
    await fleet.kill('r2');
    const answers = await Promise.all(calls);
    const cut = answers.filter(({isWhole}) => !isWhole);
    const whole = answers.filter(({isWhole}) => isWhole);
    expect(cut.length, 'passed through r2').to.be.above(0);
    for (const {text} of whole) expect(text).to.match(/"done":true|"kind"/);
  });
});
