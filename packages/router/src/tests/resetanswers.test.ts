/**
 * Guards against answers that an endpoint broke off and a caller takes as whole.
 * Both sides are plain sockets, so that a reset may arrive together with the last
 * bytes, as it does under load: what a caller takes as whole has to be what an
 * endpoint sent as whole.
 */
import * as chai from 'chai';
import * as fc from 'fast-check';
import type * as rawEngine from './rawengine.js';
import * as rawFleet from './rawfleet.js';

const {expect} = chai;

const ENGINES = 3;
const CALLS_AT_ONCE = 20;
const CALLS = 60;

/** Below the limit for a request of the configuration. */
const UPLOAD = 'x'.repeat(1_000_000);

const ROUTES = ['/read/', '/book/', '/chat/', '/once/'] as const;
type Route = (typeof ROUTES)[number];

/** How the end of an answer is marked. */
const FRAMINGS = ['none', 'length', 'chunks', 'extended', 'trailers'] as const;
type Framing = (typeof FRAMINGS)[number];

const CUTS = ['head', 'body', 'end'] as const;

/** An answer, and where and how its connection ends. */
interface Plan {
  readonly framing: Framing;
  readonly cut: (typeof CUTS)[number];
  readonly ending: 'fin' | 'reset';
  readonly delayMs: number;
  readonly isUpload: boolean;
  readonly isOnKeptConnection: boolean;
}

const PLANS: fc.Arbitrary<Plan> = fc.record({
  framing: fc.constantFrom(...FRAMINGS),
  cut: fc.constantFrom(...CUTS),
  ending: fc.constantFrom('fin', 'reset'),
  delayMs: fc.constantFrom(0, 1, 5),
  isUpload: fc.boolean(),
  isOnKeptConnection: fc.boolean(),
});

const PROPERTY_PARAMETERS = {seed: 20_261_208, numRuns: 100};

/** A run of a request at an endpoint: what was sent, and whether as a whole. */
interface Run {
  readonly body: string;
  readonly isWhole: boolean;
}

const TRAILERS = 'x-sum: 1\r\nx-note: 0\r\n';

function chunk(text: string, extension = ''): string {
  return `${text.length.toString(16)}${extension}\r\n${text}\r\n`;
}

/** The body in its framing, in two pieces. */
function framed(framing: Framing, [first, second]: [string, string]): string {
  switch (framing) {
    case 'none':
    case 'length':
      return first + second;
    case 'chunks':
      return `${chunk(first)}${chunk(second)}0\r\n\r\n`;
    case 'extended':
      return `${chunk(first, ';a=b')}${chunk(second, ';c')}0;d="e"\r\n\r\n`;
    case 'trailers':
      return `${chunk(first)}${chunk(second)}0\r\n${TRAILERS}\r\n`;
  }
}

function framingLines(framing: Framing, body: string): string {
  if (framing === 'none') return '';
  if (framing === 'length') return `content-length: ${body.length}\r\n`;
  const trailer = framing === 'trailers' ? 'trailer: x-sum, x-note\r\n' : '';
  return `transfer-encoding: chunked\r\n${trailer}`;
}

/** The answer to a run that is not the first, and to those that keep. */
const WHOLE: Pick<Plan, 'framing' | 'cut'> = {framing: 'length', cut: 'end'};

describe('an answer that its endpoint breaks off', () => {
  let fleet: rawFleet.RawFleet;
  /** Runs by id of the attempt. */
  let runs: Map<string, Run[]>;
  let plan: Plan | undefined;

  beforeEach(async () => {
    plan = undefined;
    runs = new Map();
    fleet = new rawFleet.RawFleet(ENGINES, answer);
    await fleet.start();
  });

  afterEach(() => fleet.stop());

  /** Answers the first run of a request as planned, further ones as a whole. */
  function answer(request: rawEngine.RawRequest): rawEngine.RawAnswer {
    const id = request.headers['attempt-id'] ?? '';
    const earlierRuns = runs.get(id) ?? [];
    const isPlanned = plan !== undefined && earlierRuns.length === 0;
    const {framing, cut} = isPlanned ? plan! : WHOLE;
    const pieces = rawFleet.bodyOf(request, `${id}/${earlierRuns.length}`);
    const body = pieces.join('');
    const head =
      `HTTP/1.1 200 OK\r\n${rawFleet.acceptedLines(request)}` +
      framingLines(framing, body);
    const ending = isPlanned ? plan!.ending : 'keep';
    const whole = `${head}\r\n${framed(framing, pieces)}`;
    const cutBody = framing === 'none' ? pieces[0] : '';
    const texts = {
      head: head.slice(0, -10),
      body: `${head}\r\n${framed(framing, pieces).slice(0, pieces[0].length)}`,
      end: whole,
    };
    const isUnframed = framing === 'none';
    runs.set(id, [
      ...earlierRuns,
      {
        body: cut === 'end' ? body : cutBody,
        isWhole:
          cut === 'end'
            ? !isUnframed || ending === 'fin'
            : cut === 'body' && isUnframed && ending === 'fin',
      },
    ]);
    return {
      text: texts[cut],
      ending,
      delayMs: isPlanned ? plan!.delayMs : 0,
      isEarly: isPlanned && plan!.isUpload,
    };
  }

  /** Makes calls at once on a route; returns their answers. */
  function callAtOnce(route: Route): Promise<rawFleet.CallResult[]> {
    const body = plan?.isUpload ? UPLOAD : rawFleet.SMALL_BODY;
    return fleet.callAtOnce(route, CALLS_AT_ONCE, body);
  }

  /** Whether an endpoint sent as whole what the caller takes as whole. */
  function isSentAsWhole(
    route: Route,
    {id, body}: {readonly id: string; readonly body: string},
  ): boolean {
    const requestRuns = runs.get(id) ?? [];
    if (!rawFleet.isStreaming(route)) {
      return requestRuns.some(run => run.isWhole && run.body === body);
    }
    // A resumed stream has pieces of several runs; the last one ends it.
    const last = requestRuns.at(-1);
    return (
      last?.isWhole === true &&
      rawFleet.isUnbroken(body) &&
      body.endsWith(last.body)
    );
  }

  for (const isUpload of [false, true]) {
    const situation = isUpload ? 'during an upload' : 'after its request';
    for (const route of ROUTES) {
      it(`without a length, by a reset ${situation}, is not whole: ${route}`, async () => {
        plan = {
          framing: 'none',
          cut: 'body',
          ending: 'reset',
          delayMs: 0,
          isUpload,
          isOnKeptConnection: false,
        };
        const wrong: string[] = [];
        let brokenRuns = 0;
        for (let made = 0; made < CALLS; made += CALLS_AT_ONCE) {
          for (const taken of await callAtOnce(route)) {
            const requestRuns = runs.get(taken.id) ?? [];
            brokenRuns += requestRuns.filter(run => !run.isWhole).length;
            if (taken.status === 200 && taken.isWhole) {
              if (!isSentAsWhole(route, taken)) wrong.push(taken.body);
            }
          }
        }
        expect(brokenRuns, 'runs broken off').to.be.at.least(CALLS / 2);
        expect(wrong.length, `taken as whole of ${CALLS}`).to.equal(0);
      });

      it(`without a length, that ends in order ${situation}, is whole: ${route}`, async () => {
        plan = {
          framing: 'none',
          cut: 'end',
          ending: 'fin',
          delayMs: 0,
          isUpload,
          isOnKeptConnection: false,
        };
        for (const taken of await callAtOnce(route)) {
          expect(taken).to.include({status: 200, isWhole: true});
          expect(isSentAsWhole(route, taken)).to.equal(true);
          expect(runs.get(taken.id)).to.have.length(1);
        }
      });
    }
  }

  it('is whole for a caller only if an endpoint sent it as whole', async () => {
    await fc.assert(
      fc.asyncProperty(
        PLANS,
        fc.constantFrom(...ROUTES),
        async (planned, route) => {
          plan = undefined;
          if (planned.isOnKeptConnection) await callAtOnce('/read/');
          plan = planned;
          for (const taken of await callAtOnce(route)) {
            if (taken.status !== 200 || !taken.isWhole) continue;
            expect(isSentAsWhole(route, taken), taken.body).to.equal(true);
          }
        },
      ),
      PROPERTY_PARAMETERS,
    );
  });
});
