/**
 * Guards against answers that look complete to callers although the endpoint
 * broke them off, in particular answers whose end only their connection marks.
 */
import * as chai from 'chai';
import * as fc from 'fast-check';
import type * as standins from '@oleanderrock/standins';
import * as support from './directfleet.js';

const {expect} = chai;

const PROPERTY_PARAMETERS = {seed: 20_261_205, numRuns: 60};

/** How an endpoint marks the end of its answer. */
type Framing = 'length' | 'chunks' | 'connection';
const FRAMINGS: readonly Framing[] = ['length', 'chunks', 'connection'];

/** An answer as the endpoint writes it. */
interface WrittenAnswer {
  readonly body: string;
  readonly framing: Framing;
  readonly isReset?: boolean;
  /** Further header lines, each with its line end. */
  readonly headers?: string;
}

function framedBody(body: string, framing: Framing): string {
  if (framing === 'connection') return `\r\n${body}`;
  // The endpoint closes its connection after these answers too.
  const close = 'connection: close\r\n';
  if (framing === 'length') {
    return `${close}content-length: ${body.length}\r\n\r\n${body}`;
  }
  const size = body.length.toString(16);
  const chunk = body.length > 0 ? `${size}\r\n${body}\r\n` : '';
  return `${close}transfer-encoding: chunked\r\n\r\n${chunk}0\r\n\r\n`;
}

function write({
  body,
  framing,
  isReset = false,
  headers = '',
}: WrittenAnswer): standins.Behaviour {
  return {
    type: 'raw',
    isReset,
    text: run => {
      const id = String(run.headers['attempt-id']);
      const head = `attempt-id: ${id}\r\nresponse-seal: s.${id}\r\n${headers}`;
      return `HTTP/1.1 200 OK\r\n${head}${framedBody(body, framing)}`;
    },
  };
}

/** The first `count` events and half of the next one. */
function eventsAndHalf(count: number): string {
  const next = support.events(count + 1, count + 1);
  return support.events(count) + next.slice(0, next.length / 2);
}

describe('the end of an answer', () => {
  let fleet: support.DirectFleet;

  beforeEach(async () => {
    fleet = new support.DirectFleet();
    await fleet.start();
  });

  afterEach(() => fleet.stop());

  /** The first request gets one behaviour, all further ones another. */
  const setFirst = (
    first: standins.Behaviour,
    others: standins.Behaviour,
  ): void => {
    const behaviours = [first];
    for (const endpoint of fleet.endpoints) {
      endpoint.chooseBehaviour = () => behaviours.shift() ?? others;
    }
  };

  for (const framing of FRAMINGS) {
    it(`is not in the middle of an event: such a stream with ${framing} is resumed at another endpoint`, async () => {
      const half = write({body: eventsAndHalf(4), framing});
      setFirst(half, {type: 'stream', events: 9});
      const response = await fleet.call('/chat/a');
      expect(response).to.include({body: support.events(9), isComplete: true});
      const endpoints = fleet.endpoints.filter(({runs}) => runs.length === 1);
      expect(endpoints, 'one run each').to.have.length(2);
    });

    it(`is not in the middle of an event: such a stream with ${framing} that may not be resumed is cut off`, async () => {
      fleet.setBehaviour(write({body: eventsAndHalf(4), framing}));
      const response = await fleet.call('/once/a');
      expect(response.isComplete).to.equal(false);
      expect(support.events(4).startsWith(response.body)).to.equal(true);
      expect(fleet.runs()).to.have.length(1);
    });
  }

  it('of a stream is visible to callers only where the endpoint ended it after an event', async () => {
    const text = support.events(3);
    const written = fc.record({
      body: fc.nat(text.length).map(length => text.slice(0, length)),
      framing: fc.constantFrom(...FRAMINGS),
      isReset: fc.boolean(),
    });
    await fc.assert(
      fc.asyncProperty(written, async answer => {
        // A reset only breaks an answer whose end is not marked otherwise.
        const isCut = answer.isReset && answer.framing === 'connection';
        const isAtEvent = answer.body === '' || answer.body.endsWith('\n\n');
        fleet.setBehaviour(write(answer));
        const response = await fleet.call('/once/a');
        expect(response.isComplete).to.equal(isAtEvent && !isCut);
        if (response.isComplete) expect(response.body).to.equal(answer.body);
        expect(answer.body.startsWith(response.body)).to.equal(true);
      }),
      PROPERTY_PARAMETERS,
    );
  });

  it('of a stream without length and chunks is that of its connection, unless it is reset', async () => {
    const body = support.events(5);
    fleet.setBehaviour(write({body, framing: 'connection'}));
    const whole = await fleet.call('/chat/a');
    expect(whole).to.include({body, isComplete: true});
    expect(fleet.runs()).to.have.length(1);
    const reset = write({body, framing: 'connection', isReset: true});
    setFirst(reset, {type: 'stream', events: 9});
    const resumed = await fleet.call('/chat/a');
    expect(resumed).to.include({body: support.events(9), isComplete: true});
    expect(fleet.runs(), 'the second request is resumed').to.have.length(3);
  });

  it('may be followed by blank lines, which are no event', async () => {
    const body = `${support.events(2)}\n`;
    for (const blank of ['\n', '\r\n']) {
      fleet.setBehaviour(write({body: body + blank, framing: 'chunks'}));
      const response = await fleet.call('/once/a');
      expect(response.isComplete).to.equal(true);
    }
  });

  it('of an answer without a length is not its reset, whatever its size, and its connection is not reused', async () => {
    const framing = 'connection';
    const sizes = [0, 1, 5_000, 1_500_000];
    for (const size of sizes) {
      for (const isReset of [true, false]) {
        const body = 'x'.repeat(size);
        // The endpoint claims that its connection may be reused.
        const headers = 'connection: keep-alive\r\n';
        fleet.setBehaviour(write({body, framing, isReset, headers}));
        for (const path of ['/read/a', '/book/a']) {
          const response = await fleet.call(path);
          const isWhole = response.status === 200 && response.isComplete;
          expect(isWhole, `${path} ${size} ${isReset}`).to.equal(!isReset);
          if (isWhole) expect(response.body.length).to.equal(size);
        }
        fleet.setBehaviour({type: 'answer'});
        const next = await fleet.call('/read/a');
        expect(next.status).to.equal(200);
        expect(next.body).to.match(/^by e/);
      }
    }
  });
});
