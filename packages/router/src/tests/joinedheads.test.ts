/**
 * Guards against bytes that belong to no request and are taken for a part of the
 * answer to the next one: a copy of an earlier answer that is cut off makes one
 * head with the next answer, with the copy's status and the request's id.
 */
import * as timers from 'node:timers/promises';
import * as chai from 'chai';
import * as fc from 'fast-check';
import type * as standins from '@oleanderrock/standins';
import * as answerTexts from './answertexts.js';
import * as support from './directfleet.js';

const {expect} = chai;

const PROPERTY_PARAMETERS = {seed: 20_261_205, endOnFailure: true};

/** Statuses that promise that a request did not and will not run. */
const PROMISES = [408, 421, 429, 503];

/** Calls at the same time, each over a connection of its own. */
const PARALLEL_CALLS = 8;

/** How long a first request holds its connection, so that each opens one. */
const WARM_MS = 10;

/** Pause between bytes that belong to no request and the answer. */
const PAUSE_MS = 3;

/** Number of breaches that a failed test shows. */
const SHOWN_BREACHES = 5;

const LARGE_BODY_BYTES = 900_000;

/** Turns of the event loop after which a call has reached its endpoint. */
const MAX_TURNS = 7;

/** How long a router stands still. */
const BLOCK_MS = 50;

type Path =
  /** Streams that may not be resumed. */
  | '/once/a'
  /** Calls that must run at most once, each over a new connection. */
  | '/book/a'
  /** Calls that may be repeated, and streams that may be resumed. */
  | '/read/a'
  | '/chat/a';

/** How endpoints answer after bytes that are no part of their answer. */
type Outcome = 'success' | 'failure';

/** Bytes before the answer to a request. */
interface Prelude {
  readonly text: string;
  readonly pauseMs?: number;
}

/** What a caller received, and the runs of its request. */
interface Probe {
  readonly id: string;
  readonly response: support.ReceivedResponse;
  readonly runs: readonly standins.RecordedRun[];
}

const RUN_EXAMPLES = answerTexts.RUN_STATUSES.flatMap(
  (status): Array<[string, Path, Outcome]> => [
    [
      answerTexts.headText(status, answerTexts.OTHER_LINES),
      '/once/a',
      'failure',
    ],
    [
      answerTexts.headText(status, answerTexts.OTHER_LINES),
      '/once/a',
      'success',
    ],
  ],
);

const PAUSES_MS = fc.constantFrom(undefined, PAUSE_MS);
const REPEAT_PATHS = fc.constantFrom<Path>('/once/a', '/read/a', '/chat/a');
const OUTCOMES = fc.constantFrom<Outcome>('success', 'failure');

function isStream(path: Path): boolean {
  return path === '/once/a' || path === '/chat/a';
}

function successBehaviour(path: Path, id: string): standins.Behaviour {
  return isStream(path)
    ? {type: 'stream', events: 2, intervalMs: 0, label: id}
    : {type: 'answer', body: `answer to ${id}`};
}

function successBody(path: Path, id: string): string {
  return isStream(path)
    ? support.events(2).replaceAll('event', id)
    : `answer to ${id}`;
}

/** The users' rules that the request's runs and its response break. */
function breachesOf(
  {id, response, runs}: Probe,
  path: Path,
  outcome: Outcome = 'success',
): string[] {
  const {status, headers, body, isComplete} = response;
  const sentStatus = outcome === 'success' ? 200 : 500;
  const isSuccess = status >= 200 && status < 300;
  const mayRepeat = path === '/read/a' || path === '/chat/a';
  const answeredId = headers['attempt-id'];
  const breaches: string[] = [];
  if (!mayRepeat && runs.length > 1) breaches.push('ran twice');
  if (!mayRepeat && runs.length > 0 && PROMISES.includes(status)) {
    breaches.push(`answered ${status} and ran`);
  }
  if (isSuccess && outcome === 'failure') {
    breaches.push(`answered ${status}, and its endpoint failed`);
  }
  if (isSuccess && isComplete && body !== successBody(path, id)) {
    breaches.push(`answered ${status} with the body ${JSON.stringify(body)}`);
  }
  if ('response-seal' in headers && status !== sentStatus) {
    breaches.push(`answered ${status} with the seal of a ${sentStatus}`);
  }
  if (answeredId !== undefined && answeredId !== id) {
    breaches.push(`answered with the id ${String(answeredId)}`);
  }
  return breaches;
}

function expectNone(breaches: readonly string[]): void {
  const shown = breaches.slice(0, SHOWN_BREACHES).join('\n');
  expect(breaches.length, `breaches, such as\n${shown}\n`).to.equal(0);
}

describe('bytes that join the head of the next answer', function () {
  this.timeout(60_000);
  let fleet: support.DirectFleet;
  let callCount = 0;

  beforeEach(async () => {
    fleet = new support.DirectFleet();
    await fleet.start();
  });

  afterEach(() => fleet.stop());

  const nextId = () => `probe-${(callCount += 1)}`;

  const runsOf = (id: string) =>
    fleet.runs().filter(({headers}) => headers['attempt-id'] === id);

  /** Lets each endpoint answer as `choose` says for the request's id. */
  const chooseById = (
    choose: (id: string) => standins.Behaviour | undefined,
  ) => {
    for (const endpoint of fleet.endpoints) {
      endpoint.chooseBehaviour = run =>
        choose(String(run.headers['attempt-id'])) ?? {
          type: 'precede',
          text: '',
          pauseMs: WARM_MS,
          next: {type: 'answer'},
        };
    }
  };

  const probe = async (path: Path, id: string, body = ''): Promise<Probe> => {
    const headers = {'attempt-id': id};
    const response = await fleet.call(path, {headers, body});
    return {id, response, runs: runsOf(id)};
  };

  /** Opens connections to endpoints, which stay open. */
  const openConnections = () =>
    Promise.all(
      Array.from({length: PARALLEL_CALLS}, () => fleet.call('/read/warm')),
    );

  /** Sends one request for each prelude, which precedes its answer. */
  const expectNoBreachAfter = async (
    preludes: readonly Prelude[],
    path: Path,
    outcome: Outcome = 'success',
  ) => {
    const breaches: string[] = [];
    let runCount = 0;
    let keptCount = 0;
    for (let index = 0; index < preludes.length; index += PARALLEL_CALLS) {
      const preludesById = new Map<string, Prelude>();
      chooseById(id => {
        const prelude = preludesById.get(id);
        if (!prelude) return undefined;
        const next: standins.Behaviour =
          outcome === 'failure' ? {type: 'fail'} : successBehaviour(path, id);
        return {type: 'precede', ...prelude, next};
      });
      await openConnections();
      for (const prelude of preludes.slice(index, index + PARALLEL_CALLS)) {
        preludesById.set(nextId(), prelude);
      }
      const probes = await Promise.all(
        [...preludesById.keys()].map(id => probe(path, id)),
      );
      for (const result of probes) {
        const text = JSON.stringify(preludesById.get(result.id)?.text);
        for (const breach of breachesOf(result, path, outcome)) {
          breaches.push(`${breach}, after ${text}`);
        }
        if (result.runs.length > 0) runCount += 1;
        if (result.runs[0]?.isOnKeptConnection) keptCount += 1;
      }
    }
    expectNone(breaches);
    // Otherwise the test would show nothing.
    expect(runCount, 'requests that ran').to.equal(preludes.length);
    if (path === '/book/a') {
      expect(keptCount, 'on kept connections').to.equal(0);
    } else {
      expect(keptCount, 'on kept connections').to.be.above(preludes.length / 4);
    }
  };

  const cutRefusals = async (path: Path) => {
    await fc.assert(
      fc.asyncProperty(
        answerTexts.REFUSAL_TEXTS,
        PAUSES_MS,
        async (text, pauseMs) => {
          // A head that lacks only its last byte is read as a whole one.
          const cuts = answerTexts.cutsOf(text).slice(0, -1);
          await expectNoBreachAfter(
            cuts.map(cut => ({text: cut, pauseMs})),
            path,
          );
        },
      ),
      {
        ...PROPERTY_PARAMETERS,
        numRuns: answerTexts.REFUSAL_EXAMPLES.length + 3,
        examples: answerTexts.REFUSAL_EXAMPLES.map(
          (text): [string, undefined] => [text, undefined],
        ),
      },
    );
  };

  it('a cut refusal makes no stream that may not be resumed run twice, and promises nothing', () =>
    cutRefusals('/once/a'));

  it('a cut refusal makes no call that must run once run twice, and promises nothing', () =>
    cutRefusals('/book/a'));

  it('a refusal without id is none of the first request of a connection', async () => {
    const preludes = answerTexts.REFUSAL_STATUSES.map(status =>
      answerTexts.headText(status, [
        answerTexts.MARK_LINE,
        'content-length: 0',
      ]),
    ).flatMap(text => [
      {text},
      {text, pauseMs: PAUSE_MS},
      {text: text.slice(0, -1)},
    ]);
    await expectNoBreachAfter(preludes, '/book/a');
  });

  it('a cut failure or success lends its status to no other answer', async () => {
    await fc.assert(
      fc.asyncProperty(
        answerTexts.RUN_TEXTS,
        REPEAT_PATHS,
        OUTCOMES,
        async (text, path, outcome) => {
          const cuts = answerTexts.cutsOf(text).map(cut => ({text: cut}));
          await expectNoBreachAfter(cuts, path, outcome);
        },
      ),
      {
        ...PROPERTY_PARAMETERS,
        numRuns: RUN_EXAMPLES.length + 3,
        examples: RUN_EXAMPLES,
      },
    );
  });

  it('an informational head, whole or cut, changes nothing of the answer', async () => {
    await fc.assert(
      fc.asyncProperty(
        answerTexts.INFORMATION_TEXTS,
        REPEAT_PATHS,
        OUTCOMES,
        async (text, path, outcome) => {
          const texts = [...answerTexts.cutsOf(text), text];
          const preludes = texts.map(cut => ({text: cut}));
          await expectNoBreachAfter(preludes, path, outcome);
        },
      ),
      {...PROPERTY_PARAMETERS, numRuns: 4},
    );
  });

  it('bytes in one segment with the end of an answer belong to no request', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.oneof(answerTexts.REFUSAL_TEXTS, answerTexts.RUN_TEXTS),
        async text => {
          const texts = [...answerTexts.cutsOf(text), text];
          for (let index = 0; index < texts.length; index += PARALLEL_CALLS) {
            const surplusById = new Map<string, string>();
            for (const cut of texts.slice(index, index + PARALLEL_CALLS)) {
              surplusById.set(nextId(), cut);
            }
            chooseById(id => {
              const next = successBehaviour('/once/a', id);
              const surplus = surplusById.get(id);
              if (surplus === undefined) return next;
              return {type: 'exceed', text: surplus, next};
            });
            const nextIds = [...surplusById.keys()].map(nextId);
            for (const ids of [[...surplusById.keys()], nextIds]) {
              const probes = await Promise.all(
                ids.map(id => probe('/once/a', id)),
              );
              expectNone(
                probes.flatMap(result => breachesOf(result, '/once/a')),
              );
            }
          }
        },
      ),
      {...PROPERTY_PARAMETERS, numRuns: 4},
    );
  });

  it('an answer before the request was read lets no later one be mistaken', async () => {
    let headCount = 0;
    for (const endpoint of fleet.endpoints) {
      endpoint.refusesEarly = () => (headCount += 1) % 3 === 0;
    }
    for (const path of ['/once/a', '/book/a', '/read/a'] as const) {
      chooseById(id => successBehaviour(path, id));
      for (let round = 0; round < 6; round++) {
        const ids = Array.from({length: PARALLEL_CALLS / 2}, nextId);
        const bodyOf = (id: string) => id.padEnd(LARGE_BODY_BYTES, '.');
        const probes = await Promise.all(
          ids.map(id => probe(path, id, bodyOf(id))),
        );
        expectNone(probes.flatMap(result => breachesOf(result, path)));
        for (const {id, runs} of probes) {
          for (const {body} of runs) expect(body === bodyOf(id)).to.equal(true);
        }
      }
    }
  });

  for (const isEnd of [false, true]) {
    const what = isEnd ? 'the end of an idle connection' : 'late bytes';

    it(`${what} that a router reads after its next request, since it stood still, are no answer`, async () => {
      chooseById(id =>
        id.startsWith('probe') ? successBehaviour('/once/a', id) : undefined,
      );
      await fc.assert(
        fc.asyncProperty(
          answerTexts.REFUSAL_TEXTS,
          fc.nat(),
          fc.nat(MAX_TURNS),
          async (text, cutIndex, turns) => {
            const cuts = answerTexts.cutsOf(text);
            await openConnections();
            const call = probe('/once/a', nextId());
            for (let turn = 0; turn < turns; turn++) {
              await timers.setImmediate();
            }
            for (const endpoint of fleet.endpoints) {
              endpoint.inject(cuts[cutIndex % cuts.length]!, isEnd);
            }
            block(BLOCK_MS);
            expectNone(breachesOf(await call, '/once/a'));
          },
        ),
        {...PROPERTY_PARAMETERS, numRuns: 120},
      );
    });
  }
});

/** Holds up the event loop. */
function block(durationMs: number): void {
  const endMs = performance.now() + durationMs;
  while (performance.now() < endMs);
}
