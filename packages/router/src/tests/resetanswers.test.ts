/**
 * Guards against answers that an endpoint broke off and a caller takes as whole.
 * Both sides are plain sockets, so that a reset may arrive together with the last
 * bytes, as it does under load: what a caller takes as whole has to be what an
 * endpoint sent as whole.
 */
import * as chai from 'chai';
import * as fc from 'fast-check';
import * as standins from '@oleanderrock/standins';
import * as support from './directfleet.js';
import * as rawCaller from './rawcaller.js';
import * as rawEngine from './rawengine.js';

const {expect} = chai;

const ADDRESS = '127.0.0.1';
const ENGINES = 3;
const CALLS_AT_ONCE = 20;
const CALLS = 60;
const DEADLINE_MS = 3_000;

const SMALL_BODY = 'x';
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

const EVENTS = 6;

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
  let fleet: support.DirectFleet;
  let engines: rawEngine.RawEngine[];
  /** Runs by id of the attempt. */
  let runs: Map<string, Run[]>;
  let plan: Plan | undefined;
  let callCount = 0;

  beforeEach(async () => {
    plan = undefined;
    runs = new Map();
    fleet = new support.DirectFleet();
    engines = Array.from(
      {length: ENGINES},
      (unused, index) =>
        new rawEngine.RawEngine(`raw${index}`, ADDRESS, answer),
    );
    for (const engine of engines) {
      await engine.start();
      fleet.store.put('keyed.servers', engine.id, engine.entry());
    }
    await fleet.start(0, 1);
  });

  afterEach(async () => {
    await fleet.stop();
    await Promise.all(engines.map(engine => engine.stop()));
  });

  /** Answers the first run of a request as planned, further ones as a whole. */
  function answer(request: rawEngine.RawRequest): rawEngine.RawAnswer {
    const id = request.headers['attempt-id'] ?? '';
    const earlierRuns = runs.get(id) ?? [];
    const isPlanned = plan !== undefined && earlierRuns.length === 0;
    const {framing, cut} = isPlanned ? plan! : WHOLE;
    const pieces = bodyOf(request, `${id}/${earlierRuns.length}`);
    const body = pieces.join('');
    const isStream = isStreaming(request.path);
    const head =
      `HTTP/1.1 200 OK\r\nattempt-id: ${id}\r\nresponse-seal: s.${id}\r\n` +
      (isStream ? 'content-type: text/event-stream\r\n' : '') +
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

  async function call(
    route: Route,
    body: string,
  ): Promise<rawCaller.TakenAnswer & {readonly id: string}> {
    callCount += 1;
    const id = `attempt-${callCount}`;
    const taken = await rawCaller.call({
      address: fleet.address(0),
      port: fleet.entryPort,
      path: `${route}a`,
      headers: standins.callerHeaders({
        host: support.HOST,
        attemptId: id,
        apiKey: support.API_KEY,
        deadlineMs: DEADLINE_MS,
      }),
      body,
    });
    return {...taken, id};
  }

  /** Makes calls at once on a route; returns their answers. */
  async function callAtOnce(route: Route, count = CALLS_AT_ONCE) {
    const body = plan?.isUpload ? UPLOAD : SMALL_BODY;
    return Promise.all(Array.from({length: count}, () => call(route, body)));
  }

  /** Whether an endpoint sent as whole what the caller takes as whole. */
  function isSentAsWhole(
    route: Route,
    {id, body}: {readonly id: string; readonly body: string},
  ): boolean {
    const requestRuns = runs.get(id) ?? [];
    if (!isStreaming(route)) {
      return requestRuns.some(run => run.isWhole && run.body === body);
    }
    // A resumed stream has pieces of several runs; the last one ends it.
    const last = requestRuns.at(-1);
    return (
      last?.isWhole === true && isUnbroken(body) && body.endsWith(last.body)
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

function isStreaming(path: string): boolean {
  return path.startsWith('/chat/') || path.startsWith('/once/');
}

/** The body of a run, in two pieces; that of a stream is cut between events. */
function bodyOf(
  {path, headers}: rawEngine.RawRequest,
  runId: string,
): [string, string] {
  if (!isStreaming(path)) return [`${runId} begins`, `, ${runId} ends`];
  const first = Number(headers['last-event-id'] ?? 0) + 1;
  const middle = Math.max(first - 1, EVENTS / 2);
  return [support.events(middle, first), support.events(EVENTS, middle + 1)];
}

/** Whether the body consists of events in their order, from the first on. */
function isUnbroken(body: string): boolean {
  return support.events(EVENTS).startsWith(body);
}
