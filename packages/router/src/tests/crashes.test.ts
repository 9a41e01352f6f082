/**
 * Guards against a part of prompts that crashes engine after engine because no
 * two requests with it are alike, and against refusals of sound requests that
 * share their customer and their other parts.
 */
import * as timers from 'node:timers/promises';
import * as chai from 'chai';
import * as directFleet from './directfleet.js';
import * as polling from './polling.js';

const {expect} = chai;

const ENDPOINTS = 6;
const ROUTERS = 2;
const RESTART_MS = 300;
/** Pause between two deadly requests, in ms. */
const PACE_MS = 250;
/** Crashes until the part is known: two of each request, with room. */
const MAX_CRASHES = 16;
const DEADLY_PART = 'deadbeef';

describe('a part of prompts that crashes endpoints', function () {
  this.timeout(60_000);
  let fleet: directFleet.DirectFleet;
  let crashCount = 0;
  let isEnded = false;

  const restartLater = (index: number) => {
    crashCount += 1;
    setTimeout(() => {
      if (isEnded) return;
      const endpoint = fleet.endpoints[index]!;
      const born = 1_700_000_000_000 + crashCount;
      void endpoint.start().then(() => {
        const entry = {...endpoint.entry(), born};
        fleet.store.put('keyed.servers', endpoint.id, entry);
      });
    }, RESTART_MS);
  };

  before(async () => {
    fleet = new directFleet.DirectFleet();
    await fleet.start(ENDPOINTS, ROUTERS);
    for (const [index, endpoint] of fleet.endpoints.entries()) {
      endpoint.chooseBehaviour = ({headers}) => {
        const prompt = String(headers['prompt-prefix']);
        if (!prompt.includes(DEADLY_PART)) return {type: 'stream', events: 3};
        restartLater(index);
        return {type: 'crash'};
      };
    }
  });

  after(async () => {
    isEnded = true;
    await fleet.stop();
  });

  let requestCount = 0;
  const send = (parts: string, router: number) => {
    requestCount += 1;
    const headers = {'prompt-prefix': `${parts},own${requestCount}:9`};
    const body = `request ${requestCount}`;
    return fleet.call('/chat/a', {headers, body}, router);
  };
  const sendSound = (router: number) => send('aa:500,bb:900', router);
  const sendDeadly = (router: number) =>
    send(`aa:500,${DEADLY_PART}:70,bb:900`, router);

  it('is refused at all routers as not run, while sound requests with the same first part are served', async () => {
    let refusalsInARow = 0;
    let tries = 0;
    await polling.until('both routers refuse', async () => {
      tries += 1;
      const {body} = await sendDeadly(tries % ROUTERS);
      refusalsInARow = body.includes('quarantined') ? refusalsInARow + 1 : 0;
      await sendSound(tries % ROUTERS);
      await timers.setTimeout(PACE_MS);
      return refusalsInARow >= ROUTERS;
    });
    const crashesBefore = crashCount;
    expect(crashesBefore).to.be.at.most(MAX_CRASHES);
    await timers.setTimeout(2 * RESTART_MS);
    for (let count = 0; count < 10; count++) {
      const deadly = await sendDeadly(count % ROUTERS);
      expect(deadly.status).to.equal(503);
      expect(deadly.body).to.include('quarantined');
      const sound = await sendSound(count % ROUTERS);
      expect(sound.status).to.equal(200);
      expect(sound.isComplete).to.equal(true);
    }
    expect(crashCount, 'no further crash').to.equal(crashesBefore);
  });

  it('is refused by a router that starts later, after one request at most', async () => {
    const crashesBefore = crashCount;
    await fleet.addRouter();
    await polling.until('the router is ready', () =>
      Promise.resolve(fleet.phase(ROUTERS) === 'ready'),
    );
    await sendDeadly(ROUTERS);
    await timers.setTimeout(2 * RESTART_MS);
    const {status, body} = await sendDeadly(ROUTERS);
    expect(status).to.equal(503);
    expect(body).to.include('quarantined');
    expect(crashCount - crashesBefore).to.be.at.most(2);
  });
});
