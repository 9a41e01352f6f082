/**
 * Guards against an answer that goes on without end taking the router's time from
 * other requests, or holding its endpoint's connection for good.
 */
import * as perfHooks from 'node:perf_hooks';
import * as timers from 'node:timers/promises';
import * as chai from 'chai';
import * as direct from '@oleanderrock/direct';
import type * as standins from '@oleanderrock/standins';
import * as support from './directfleet.js';
import * as polling from './polling.js';

const {expect} = chai;

const STREAMS = 10;

/**
 * Time after which a request that a caller has left is off its endpoint, and
 * longest time for which the event loop may stand still, in ms.
 */
const SLACK_MS = 500;

const GARBAGE = Buffer.alloc(65_536, 'x');

function head(status: string, {headers}: standins.RecordedRun): string {
  const id = String(headers['attempt-id']);
  return `HTTP/1.1 ${status}\r\nattempt-id: ${id}\r\nresponse-seal: s\r\n`;
}

function endless(status: string, fields = ''): standins.Behaviour {
  return {
    type: 'endless',
    text: run => `${head(status, run)}${fields}\r\n`,
    bytes: GARBAGE,
  };
}

describe('an answer without end', () => {
  let fleet: support.DirectFleet;

  beforeEach(async () => {
    fleet = new support.DirectFleet();
    await fleet.start();
  });

  afterEach(() => fleet.stop());

  /** Resolves once no endpoint has a connection on which it writes. */
  const awaitCutOff = () =>
    polling.until('the connections close', () =>
      fleet.runs().every(({isCutOff}) => isCutOff),
    );

  it('whose bytes are no events is given up, and stops nothing else', async () => {
    const stream = endless('200 OK', 'content-type: text/event-stream\r\n');
    for (const endpoint of fleet.endpoints) {
      endpoint.chooseBehaviour = ({path}) =>
        path.startsWith('/once/') ? stream : {type: 'answer'};
    }
    const delay = perfHooks.monitorEventLoopDelay({resolution: 10});
    delay.enable();
    const streams = Promise.all(
      Array.from({length: STREAMS}, () => fleet.call('/once/a')),
    );
    const slowestMs = await slowestOf(20, () => fleet.call('/book/a'));
    for (const {isComplete} of await streams) {
      expect(isComplete).to.equal(false);
    }
    delay.disable();
    expect(slowestMs, 'slowest call of another route').to.be.below(SLACK_MS);
    expect(delay.max / 1e6, 'delay of the event loop').to.be.below(SLACK_MS);
    const started = performance.now();
    await polling.until('the connections close', () =>
      fleet.runs().every(({path, isCutOff}) => path === '/book/a' || isCutOff),
    );
    expect(performance.now() - started).to.be.below(SLACK_MS);
  });

  it('of events is let go once its caller has left', async () => {
    const event = Buffer.from('data: x\n\n'.repeat(5_000));
    const behaviour: standins.Behaviour = {
      type: 'endless',
      text: run => `${head('200 OK', run)}\r\n`,
      bytes: event,
    };
    fleet.setBehaviour(behaviour);
    const controller = new AbortController();
    const call = fleet.call('/once/a', {signal: controller.signal});
    await timers.setTimeout(SLACK_MS);
    controller.abort();
    await call.catch(() => undefined);
    const started = performance.now();
    await awaitCutOff();
    expect(performance.now() - started).to.be.below(SLACK_MS);
  });

  it('closes its connection if it is a refusal', async () => {
    const [refusing, other] = fleet.endpoints as [
      standins.HostedEndpoint,
      standins.HostedEndpoint,
    ];
    refusing.defaultBehaviour = endless(
      '503 Service Unavailable',
      'not-executed: 1\r\n',
    );
    other.defaultBehaviour = {type: 'answer'};
    await polling.until('it refuses', async () => {
      const {status} = await fleet.call('/book/a');
      expect(status).to.equal(200);
      return refusing.runs.length > 0;
    });
    const started = performance.now();
    await polling.until('its connections close', () =>
      refusing.runs.every(({isCutOff}) => isCutOff),
    );
    expect(performance.now() - started).to.be.below(SLACK_MS);
  });

  it('closes its connection if it is the failure of a stream to be resumed', async () => {
    const [first, second] = fleet.endpoints;
    const cut: standins.Behaviour = {type: 'stream', events: 9, cutInEvent: 4};
    const behaviours = [cut, endless('500 Internal Server Error')];
    for (const endpoint of [first, second]) {
      endpoint!.chooseBehaviour = () => behaviours.shift() ?? cut;
    }
    const {isComplete} = await fleet.call('/chat/a');
    expect(isComplete).to.equal(false);
    const started = performance.now();
    await awaitCutOff();
    expect(performance.now() - started).to.be.below(SLACK_MS);
    const counts = fleet.kernels[0]!.find(direct.FLEET_LOAD).localCounts();
    expect([...counts]).to.deep.equal([]);
  });
});

/** Makes calls in sequence; returns the duration of the slowest one, in ms. */
async function slowestOf(
  count: number,
  call: () => Promise<support.ReceivedResponse>,
): Promise<number> {
  let slowestMs = 0;
  for (let index = 0; index < count; index++) {
    const startMs = performance.now();
    expect((await call()).status).to.equal(200);
    slowestMs = Math.max(slowestMs, performance.now() - startMs);
  }
  return slowestMs;
}
