/**
 * Guards against a stream that is cut because its endpoint pauses, although no
 * other endpoint can go on with it.
 */
import * as chai from 'chai';
import type * as standins from '@oleanderrock/standins';
import * as support from './directfleet.js';
import * as polling from './polling.js';

const {expect} = chai;

/** A pause after which a stream is resumed elsewhere, but not yet abandoned. */
const PAUSE_MS = 1_800;

/** Time that callers wait, in ms. */
const DEADLINE_MS = '15000';

const PAUSING: standins.Behaviour = {
  type: 'stream',
  events: 3,
  intervalMs: PAUSE_MS,
};

describe('a stream that pauses for longer than the time until it is resumed elsewhere', () => {
  let fleet: support.DirectFleet;

  /** Starts a router with the flags, and a route for streams. */
  const startFleet = async (
    endpoints: number,
    maxAttempts: number,
    flags: Record<string, string> = {},
  ) => {
    fleet = new support.DirectFleet();
    await fleet.start(endpoints, 0);
    await fleet.addRouter(flags);
    fleet.setBehaviour(PAUSING);
    const route = {timeoutMs: 15_000, resumable: true, maxAttempts};
    const routes = [support.route('/chat/', 'streaming', route)];
    fleet.store.putConfig(support.config(2, {routes}));
    await polling.until(
      'the router is ready',
      () => fleet.version(0) === 2 && fleet.phase(0) === 'ready',
    );
  };

  afterEach(() => fleet.stop());

  const expectWhole = async () => {
    const headers = {'deadline-ms': DEADLINE_MS};
    const response = await fleet.call('/chat/a', {headers});
    expect(response).to.include({body: support.events(3), isComplete: true});
  };

  it('is whole if no send is left', async () => {
    await startFleet(3, 2);
    await expectWhole();
    expect(fleet.runs()).to.have.length(2);
  });

  it('is whole if there is no other endpoint', async () => {
    await startFleet(1, 3);
    await expectWhole();
    expect(fleet.runs()).to.have.length(1);
  });

  it('is whole if the budget of retries is used up', async () => {
    await startFleet(3, 3, {retryRatio: '0', retrySlack: '0'});
    await expectWhole();
    expect(fleet.runs()).to.have.length(1);
  });
});
