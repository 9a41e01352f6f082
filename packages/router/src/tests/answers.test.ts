/**
 * Guards against callers that receive a truncated answer, or the answer to
 * another request, and cannot tell, while endpoints send invalid answers or a
 * router dies.
 */
import * as http from 'node:http';
import * as net from 'node:net';
import * as chai from 'chai';
import * as fc from 'fast-check';
import * as core from '@oleanderrock/core';
import type * as standins from '@oleanderrock/standins';
import * as rawEndpoint from './rawendpoint.js';
import * as faultSupport from './faultsupport.js';

const {expect} = chai;

const SEED = 20_261;
const RUNS = 12;
const TIMEOUT_MS = 250;
const VALID = Object.keys(rawEndpoint.VALID_BEHAVIOURS);
const INVALID = Object.keys(rawEndpoint.INVALID_BEHAVIOURS);

/** One request of a generated plan. */
interface PlannedRequest {
  readonly behaviour: string;
  readonly router: number;
  readonly chat: string;
}

/**
 * What a caller concludes from an HTTP response: the expected answer, another
 * request's answer, an error, or a truncated answer.
 */
type Observation = 'expected' | 'foreign' | 'problem' | 'truncated';

function classify(answer: faultSupport.RawAnswer, nonce: string): Observation {
  if (!answer.isComplete) return 'truncated';
  const type = answer.headers['content-type'] ?? '';
  if (type.startsWith('application/problem+json')) return 'problem';
  return answer.text.includes(nonce) ? 'expected' : 'foreign';
}

describe('answers under endpoint and router faults', function () {
  this.timeout(60_000);
  let fleet: standins.Fleet;
  const engines = ['e1', 'e2'];
  const agent = new http.Agent({keepAlive: true, timeout: 5_000});
  const endpoints = ['raw1', 'raw2'].map(
    name => new rawEndpoint.RawEndpoint(name, TIMEOUT_MS + 100),
  );

  before(async () => {
    fleet = await faultSupport.startFleet({
      routers: 2,
      engines: 2,
      route: {wait_ms: 1_000, first_byte_timeout_ms: 600, idle_timeout_ms: 600},
    });
    await Promise.all(endpoints.map(endpoint => endpoint.join(fleet)));
    const timeouts = {
      first_byte_timeout_ms: TIMEOUT_MS,
      idle_timeout_ms: TIMEOUT_MS,
    };
    await faultSupport.createRows(fleet, [
      ['pools', {name: 'raw', endpoint_label: 'kind=raw', load_multiple: 4}],
      [
        'routes',
        {
          name: 'raw',
          match: {path_prefix: '/raw'},
          pool: 'raw',
          wait_ms: 2_000,
          ...timeouts,
        },
      ],
    ]);
    await faultSupport.waitForRoute(fleet, '/raw');
  });

  after(async () => {
    agent.destroy();
    for (const endpoint of endpoints) endpoint.close();
    await fleet.stop();
  });

  const send = async (behaviour: string, router: number, chat = '') => {
    const nonce = core.createId();
    const headers = {
      [rawEndpoint.BEHAVIOUR]: behaviour,
      [rawEndpoint.NONCE]: nonce,
    };
    const address = fleet.entryAddresses()[router]!;
    const answer = await faultSupport.call(address, '/raw', {
      agent,
      body: 'x',
      headers: {...headers, ...(chat && {[core.headers.CHAT]: chat})},
    });
    return classify(answer, nonce);
  };

  it('retries a request whose answer is cut off after its head', async () => {
    for (const router of [0, 1, 0, 1]) {
      expect(await send('breakOnce', router)).to.equal('expected');
    }
  });

  it("never returns another request's answer, or a truncated one as complete", async () => {
    const plannedRequest = fc.record({
      behaviour: fc.oneof(
        {weight: 3, arbitrary: fc.constantFrom(...VALID)},
        {weight: 1, arbitrary: fc.constantFrom(...INVALID)},
      ),
      router: fc.nat(1),
      chat: fc.constantFrom('a', 'b', 'c'),
    });
    const batches = fc.array(
      fc.array(plannedRequest, {minLength: 1, maxLength: 4}),
      {
        minLength: 1,
        maxLength: 6,
      },
    );
    const counts = {valid: 0, expected: 0};
    const checkPlan = async (plan: Array<Array<PlannedRequest>>) => {
      for (const batch of plan) {
        const observations = await Promise.all(
          batch.map(item => send(item.behaviour, item.router, item.chat)),
        );
        for (const [index, observation] of observations.entries()) {
          const {behaviour} = batch[index]!;
          const isValid = VALID.includes(behaviour);
          expect(observation, behaviour).to.be.oneOf(
            isValid ? ['expected', 'problem'] : ['problem', 'truncated'],
          );
          counts.valid += Number(isValid);
          counts.expected += Number(observation === 'expected');
        }
      }
    };
    const options = {seed: SEED, numRuns: RUNS, endOnFailure: true};
    await fc.assert(fc.asyncProperty(batches, checkPlan), options);
    expect(
      counts.expected / counts.valid,
      'share of valid answers received',
    ).to.be.above(0.5);
  });

  it('serves further requests after each invalid answer', async () => {
    for (const behaviour of INVALID) {
      const observations = await Promise.all([
        send(behaviour, 0),
        send(behaviour, 1),
      ]);
      expect(observations, behaviour).to.not.include.oneOf([
        'expected',
        'foreign',
      ]);
      await faultSupport.until(
        async () => (await send('length', 0)) === 'expected',
      );
      await faultSupport.until(
        async () => (await send('chunks', 1)) === 'expected',
      );
    }
  });

  const FAULTS = [
    {fault: {late_ms: 900}, reset: {late_ms: 0}},
    {fault: {wrong_id: true}, reset: {wrong_id: false}},
    {fault: {cut_after_tokens: 2}, reset: {cut_after_tokens: null}},
    {fault: {no_length: true}, reset: {no_length: false}},
    {fault: {malformed: true}, reset: {malformed: false}},
    {fault: {oversized_headers: true}, reset: {oversized_headers: false}},
  ];

  it('never presents a faulty answer of an engine as complete', async () => {
    const caller = faultSupport.createCaller(fleet);
    const prompt = {prompt_tokens: 1, output_tokens: 5};
    const send = (chat: string, stream: boolean) => {
      const request = {method: 'POST', path: '/chat', customer: 'c', chat};
      return caller.send({...request, body: {...prompt, stream}});
    };
    const sendAll = () =>
      Promise.all([send('a', true), send('a', false), send('b', true)]);
    for (const {fault, reset} of FAULTS) {
      await Promise.all(engines.map(engine => fleet.setFaults(engine, fault)));
      for (const {type} of await sendAll()) {
        expect(type, JSON.stringify(fault)).to.be.oneOf(['problem', 'broken']);
      }
      await Promise.all(engines.map(engine => fleet.setFaults(engine, reset)));
      await faultSupport.until(async () =>
        (await sendAll()).every(({type}) => type === 'answered'),
      );
    }
    caller.close();
  });

  /** Sends an HTTP/1.0 request; resolves with the raw response or an error. */
  const sendHttp10 = (address: string, body: string) => {
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

  it('resets the connection of an HTTP/1.0 caller when a stream is cut off', async () => {
    const body = JSON.stringify({output_tokens: 9, stream: true});
    const [address = ''] = fleet.entryAddresses();
    expect(await sendHttp10(address, body)).to.contain('"done":true');
    const cutFault = {cut_after_tokens: 2};
    await Promise.all(engines.map(engine => fleet.setFaults(engine, cutFault)));
    expect(await sendHttp10(address, body)).to.contain('ECONNRESET');
    const noFault = {cut_after_tokens: null};
    await Promise.all(engines.map(engine => fleet.setFaults(engine, noFault)));
  });

  it('lets callers detect the truncation when a router that forwards a stream dies', async () => {
    const body = JSON.stringify({output_tokens: 400, stream: true});
    const openStream = (chat: string) =>
      faultSupport.call(fleet.entryAddresses()[0]!, '/chat', {
        body,
        headers: {[core.headers.CHAT]: chat},
      });
    const calls: Array<Promise<faultSupport.RawAnswer>> = [];
    // Each router owns one of the two engines. One may still be ejected after
    // the faults of earlier tests, so more streams are opened until both run.
    await faultSupport.until(async () => {
      calls.push(...['a', 'b', 'c', 'd'].map(openStream));
      await faultSupport.pause(200);
      const counts = engines.map(engine =>
        faultSupport.countInFlight(fleet, [engine]),
      );
      return (await Promise.all(counts)).every(count => count > 0);
    });
    await fleet.kill('r2');
    const answers = await Promise.all(calls);
    const truncated = answers.filter(({isComplete}) => !isComplete);
    const complete = answers.filter(({isComplete}) => isComplete);
    expect(truncated.length, 'forwarded through r2').to.be.above(0);
    for (const {text} of complete) expect(text).to.match(/"done":true|"kind"/);
  });
});
