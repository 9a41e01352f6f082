/**
 * Guards against a single request that crashes several engines in turn, and
 * against refusals of the requests that run at the same time.
 */
import * as chai from 'chai';
import type * as standins from '@oleanderrock/standins';
import * as faultSupport from './faultsupport.js';

const {expect} = chai;

const ENGINES = 6;
const HARMLESS_REQUESTS = 200;
const CONCURRENCY = 20;
const POISON_ATTEMPTS = 12;
const MAX_CRASHES = 3;
const RESTART_MS = 400;
const MARKER = 'crash-marker';

describe('a request that crashes endpoints', function () {
  this.timeout(40_000);
  let fleet: standins.Fleet;
  let crashes = 0;
  let isEnded = false;

  /** Restarts an engine each time it exits, as a process supervisor would. */
  const supervise = async (name: string) => {
    while (!isEnded) {
      const {process, instance} = fleet.member(name);
      await fleet.setFaults(name, {crash_marker: MARKER});
      await process.exited;
      if (isEnded) return;
      crashes++;
      await faultSupport.pause(RESTART_MS);
      const flags = ['--port', String(instance.port)];
      await fleet.addEngine({name, flags, labels: instance.labels});
    }
  };

  before(async () => {
    fleet = await faultSupport.startFleet({
      routers: 3,
      engines: ENGINES,
      route: {wait_ms: 3_000},
      pool: {load_multiple: 2},
    });
    for (const {name} of fleet.instances('endpoint')) void supervise(name);
  });

  after(async () => {
    isEnded = true;
    await fleet.stop();
  });

  const sendPoison = async (router: string) =>
    faultSupport.call(router, '/chat', {
      headers: {'oleander-customer': 'bad', 'oleander-chat': 'bad'},
      body: JSON.stringify({output_tokens: 1, nonce: MARKER}),
    });

  it('is refused after at most 3 crashes; no other request is refused', async () => {
    const caller = faultSupport.createCaller(fleet);
    const results: standins.CallResult[] = [];
    const sendHarmless = async (callerIndex: number) => {
      for (let count = 0; count < HARMLESS_REQUESTS / CONCURRENCY; count++) {
        const chat = `chat-${callerIndex}`;
        const request = {method: 'POST', path: '/chat', customer: 'good', chat};
        const body = {prompt_tokens: 100, output_tokens: 100};
        results.push(await caller.send({...request, body}));
      }
    };
    const harmless = [...Array(CONCURRENCY).keys()].map(sendHarmless);
    await faultSupport.until(() => results.length > 0);
    const kinds: string[] = [];
    const routers = fleet.entryAddresses();
    for (let count = 0; count < POISON_ATTEMPTS; count++) {
      const answer = await sendPoison(routers[count % routers.length]!);
      kinds.push((JSON.parse(answer.text) as {kind: string}).kind);
      await faultSupport.pause(150);
    }
    await Promise.all(harmless);
    caller.close();
    const unanswered = results.filter(result => result.type !== 'answered');
    expect(crashes, kinds.join()).to.be.within(1, MAX_CRASHES);
    expect(
      kinds.slice(-routers.length),
      'last answer of each router',
    ).to.deep.equal(routers.map(() => 'poison'));
    expect(unanswered, 'harmless requests without an answer').to.deep.equal([]);
    expect(results.length).to.equal(HARMLESS_REQUESTS);
  });
});
