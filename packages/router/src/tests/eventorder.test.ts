/**
 * Guards against streams in which an id goes back: such an event never reaches
 * the caller, and the stream goes on at another endpoint or is broken off.
 */
import * as chai from 'chai';
import type * as standins from '@oleanderrock/standins';
import * as support from './directfleet.js';

const {expect} = chai;

const ENDPOINTS = 3;
const EVENTS = 9;

/** How an endpoint marks the end of its answer. */
const FRAMINGS = ['chunks', 'length', 'connection'] as const;
type Framing = (typeof FRAMINGS)[number];

function headOf(framing: Framing, body: string): string {
  const type = 'content-type: text/event-stream\r\nconnection: close\r\n';
  if (framing === 'connection') return `${type}\r\n`;
  return framing === 'length'
    ? `${type}content-length: ${body.length}\r\n\r\n`
    : `${type}transfer-encoding: chunked\r\n\r\n`;
}

/** Answers with the body as it is. */
function write(
  bodyAfter: (lastId: number) => string,
  framing: Framing = 'chunks',
): standins.Behaviour {
  return {
    type: 'raw',
    isReset: false,
    text: ({headers}) => {
      const id = String(headers['attempt-id']);
      const body = bodyAfter(Number(headers['last-event-id'] ?? 0));
      const chunks = `${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`;
      return (
        `HTTP/1.1 200 OK\r\nattempt-id: ${id}\r\nresponse-seal: s.${id}\r\n` +
        headOf(framing, body) +
        (framing === 'chunks' ? chunks : body)
      );
    },
  };
}

/** Ends in the middle of the event after these. */
const BROKEN = write(() => `${support.events(4)}id: 5\nda`);

/** Ways in which the answer to a take-up doesn't go on after the last id. */
const WRONG_TAKE_UPS: Readonly<Record<string, (lastId: number) => string>> = {
  'begins anew': () => support.events(EVENTS),
  'begins at the last id': lastId => support.events(EVENTS, lastId),
  'begins before the last id': lastId => support.events(EVENTS, lastId - 1),
};

/** Ways in which ids go back within an answer after the first four events. */
const WRONG_ANSWERS: Readonly<Record<string, string>> = {
  'an id comes twice': support.events(4) + support.events(EVENTS, 4),
  'ids begin again': support.events(4) + support.events(EVENTS),
  'an id goes back': support.events(4) + support.events(2, 2),
};

describe('the events of a stream', () => {
  let fleet: support.DirectFleet;

  beforeEach(async () => {
    fleet = new support.DirectFleet();
    const routes = [
      support.route('/chat/', 'streaming', {maxAttempts: ENDPOINTS}),
      support.route('/once/', 'streaming', {resumable: false, maxAttempts: 1}),
    ];
    await fleet.start(ENDPOINTS, 1, {routes}, {isFirstStart: 'true'});
  });

  afterEach(() => fleet.stop());

  /** The first requests get these behaviours, all further ones a sound stream. */
  const setFirst = (...first: standins.Behaviour[]): void => {
    const behaviours = [...first];
    const sound: standins.Behaviour = {type: 'stream', events: EVENTS};
    for (const endpoint of fleet.endpoints) {
      endpoint.chooseBehaviour = () => behaviours.shift() ?? sound;
    }
  };

  const metricOf = async (name: string): Promise<number> => {
    const {body} = await fleet.getReadiness(0, '/metrics');
    const line = body.split('\n').find(each => each.startsWith(`${name} `));
    return Number(line?.slice(name.length) ?? 0);
  };

  for (const [how, bodyAfter] of Object.entries(WRONG_TAKE_UPS)) {
    it(`are in order after a take-up whose answer ${how}`, async () => {
      for (const framing of FRAMINGS) {
        setFirst(BROKEN, write(bodyAfter, framing));
        const response = await fleet.call('/chat/a');
        expect(response.body, framing).to.equal(support.events(EVENTS));
        expect(response.isComplete, framing).to.equal(true);
      }
      expect(fleet.runs()).to.have.length(3 * FRAMINGS.length);
      const name = 'oleander_odd_events_total{fault="back"}';
      expect(await metricOf(name)).to.equal(FRAMINGS.length);
    });

    it(`are in order after the take-up of a caller whose answer ${how}`, async () => {
      setFirst(write(bodyAfter));
      const headers = {'last-event-id': '6'};
      const response = await fleet.call('/chat/a', {headers});
      expect(response.body).to.equal(support.events(EVENTS, 7));
      expect(response.isComplete).to.equal(true);
    });
  }

  for (const [how, body] of Object.entries(WRONG_ANSWERS)) {
    it(`are in order where ${how}`, async () => {
      for (const framing of FRAMINGS) {
        setFirst(write(() => body, framing));
        const response = await fleet.call('/chat/a');
        expect(response.body, framing).to.equal(support.events(EVENTS));
        expect(response.isComplete, framing).to.equal(true);
      }
    });

    it(`are broken off where ${how} if they may not be resumed`, async () => {
      for (const framing of FRAMINGS) {
        setFirst(write(() => body, framing));
        const response = await fleet.call('/once/a');
        expect(response.isComplete, framing).to.equal(false);
        expect(support.events(4).startsWith(response.body)).to.equal(true);
      }
      expect(fleet.runs()).to.have.length(FRAMINGS.length);
    });
  }

  it('are broken off by a reset where nothing else marks their end', async () => {
    const id = 'attempt-reset';
    const head = `HTTP/1.1 200 OK\r\nattempt-id: ${id}\r\nresponse-seal: s\r\n`;
    fleet.setBehaviour({
      type: 'precede',
      text: `${head}\r\n${support.events(4)}`,
      pauseMs: 50,
      next: {type: 'raw', text: () => support.events(4), isReset: false},
    });
    const headers = {'attempt-id': id};
    const response = await fleet.call('/once/a', {headers});
    expect(response.isComplete).to.equal(false);
    expect(response.body).to.equal(support.events(4));
  });

  it('are broken off if no endpoint goes on in order', async () => {
    fleet.setBehaviour(write(() => WRONG_ANSWERS['ids begin again']!));
    const response = await fleet.call('/chat/a');
    expect(response.isComplete).to.equal(false);
    expect(response.body).to.equal(support.events(4));
  });

  for (const last of [EVENTS, EVENTS - 2, 4]) {
    it(`are whole at the end of an answer with chunks that goes on without a length to event ${last}`, async () => {
      const goOn = write(
        lastId => support.events(last, lastId + 1),
        'connection',
      );
      setFirst(BROKEN, goOn);
      const response = await fleet.call('/chat/a');
      expect(response.body).to.equal(support.events(EVENTS));
      expect(response.isComplete).to.equal(true);
      expect(fleet.runs()).to.have.length(3);
    });
  }

  it('do not look whole where nothing tells whether they are', async () => {
    const goOn = write(lastId => support.events(6, lastId + 1), 'connection');
    setFirst(BROKEN, goOn, goOn);
    const response = await fleet.call('/chat/a');
    expect(response.isComplete).to.equal(false);
    expect(response.body).to.equal(support.events(6));
  });

  it('are not resumed after one without an id, which would come twice', async () => {
    const unnumbered = 'data: unnumbered\n\n';
    const body = support.events(4) + unnumbered;
    const rest = unnumbered + support.events(EVENTS, 5);
    setFirst(
      write(() => `${body}id: 5\nda`),
      write(() => rest),
    );
    const response = await fleet.call('/chat/a');
    expect(response).to.include({body, isComplete: false});
    expect(fleet.runs()).to.have.length(1);
  });

  it('may have ids that are no whole numbers, none, or greater steps', async () => {
    const bodies = [
      'id: b\ndata: 1\n\nid: a\ndata: 2\n\nid: a\ndata: 3\n\n',
      'data: 1\n\ndata: 2\n\n',
      'id: 2-0\ndata: 1\n\nid: 1-9\ndata: 2\n\n',
      `id: ${'9'.repeat(20)}\ndata: 1\n\nid: 1\ndata: 2\n\n`,
      'id: 7\ndata: 1\n\nid: 700\ndata: 2\n\nid: 701\ndata: 3\n\n',
      'id: 0\ndata: 1\n\nid: 1\ndata: 2\n\n',
    ];
    for (const path of ['/chat/a', '/once/a']) {
      for (const body of bodies) {
        setFirst(write(() => body));
        const response = await fleet.call(path);
        expect(response, body).to.include({body, isComplete: true});
      }
    }
    const gaps = await metricOf('oleander_odd_events_total{fault="gap"}');
    expect(gaps).to.equal(2);
  });

  it('go on after the last one that was passed on, not the one that the caller names', async () => {
    const half = (lastId: number) =>
      `${support.events(8, lastId + 1)}id: 9\nda`;
    setFirst(write(half));
    const headers = {'last-event-id': '6'};
    const response = await fleet.call('/chat/a', {headers});
    expect(response).to.include({
      body: support.events(EVENTS, 7),
      isComplete: true,
    });
    const asked = fleet.runs().map(run => run.headers['last-event-id']);
    expect(asked.sort()).to.deep.equal(['6', '8']);
  });

  it('are not compared with the last id of a caller whose stream may not be resumed', async () => {
    setFirst(write(() => support.events(EVENTS)));
    const headers = {'last-event-id': '6'};
    const response = await fleet.call('/once/a', {headers});
    expect(response).to.include({
      body: support.events(EVENTS),
      isComplete: true,
    });
  });
});
