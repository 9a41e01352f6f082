/** A request that crashes endpoints is found out; innocents are served. */
import * as chai from 'chai';
import type * as standins from '@oleanderrock/standins';
import * as support from './faultsupport.js';

const {expect} = chai;

const ENGINES = 6;
const INNOCENTS = 200;
const AT_A_TIME = 20;
const POISON_TRIES = 12;
const MAX_CRASHES = 3;
const RESTART_MS = 400;
const MARKER = 'crash-marker';

describe('poison', function () {
  this.timeout(40_000);
  let fleet: standins.Fleet;
  let crashes = 0;
  let isOver = false;

  /** Starts an engine again whenever it ends, as a supervisor would. */
  const supervise = async (name: string) => {
    while (!isOver) {
      const {process, instance} = fleet.member(name);
      await fleet.control(name, {crash_marker: MARKER});
      await process.exited;
      if (isOver) return;
      crashes++;
      await support.pause(RESTART_MS);
      const flags = ['--port', String(instance.port)];
      await fleet.addEngine({name, flags, labels: instance.labels});
    }
  };

  before(async () => {
    fleet = await support.startFleet({
      routers: 3,
      engines: ENGINES,
      route: {wait_ms: 3_000},
      pool: {load_multiple: 2},
    });
    for (const {name} of fleet.instances('endpoint')) void supervise(name);
  });

  after(async () => {
    isOver = true;
    await fleet.stop();
  });

  const poison = async (router: string) =>
    support.call(router, '/chat', {
      headers: {'oleander-customer': 'bad', 'oleander-chat': 'bad'},
      body: JSON.stringify({output_tokens: 1, nonce: MARKER}),
    });

  it('refuses it after few crashes and no innocent ever', async () => {
    const caller = support.caller(fleet);
    const results: standins.CallResult[] = [];
    const ask = async (lane: number) => {
      for (let count = 0; count < INNOCENTS / AT_A_TIME; count++) {
        const chat = `chat-${lane}`;
        const request = {method: 'POST', path: '/chat', customer: 'good', chat};
        const body = {prompt_tokens: 100, output_tokens: 100};
        results.push(await caller.send({...request, body}));
      }
    };
    const innocents = [...Array(AT_A_TIME).keys()].map(ask);
    await support.until(() => results.length > 0);
    const kinds: string[] = [];
    const routers = fleet.addresses();
    for (let count = 0; count < POISON_TRIES; count++) {
      const answer = await poison(routers[count % routers.length]!);
      kinds.push((JSON.parse(answer.text) as {kind: string}).kind);
      await support.pause(150);
    }
    await Promise.all(innocents);
    caller.close();
    const refused = results.filter(result => result.type !== 'answered');
    expect(crashes, kinds.join()).to.be.within(1, MAX_CRASHES);
    expect(kinds.slice(-routers.length), 'each router').to.deep.equal(
      routers.map(() => 'poison'),
    );
    expect(refused, 'innocents without an answer').to.deep.equal([]);
    expect(results.length).to.equal(INNOCENTS);
  });
});
