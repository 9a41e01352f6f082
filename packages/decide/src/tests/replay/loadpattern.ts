/**
 * The format of load patterns: what callers ask of a pool over time, and the
 * pool's endpoints. A pattern and its seed give the same requests each time.
 */
import * as core from '@oleanderrock/core';
import * as v from 'valibot';

const positive = v.pipe(v.number(), v.finite(), v.gtValue(0));
const notNegative = v.pipe(v.number(), v.finite(), v.minValue(0));
const count = v.pipe(v.number(), v.integer(), v.minValue(1));

/** Schema of one kind of requests. */
const kindSchema = v.strictObject({
  route: v.string(),
  perS: positive,
  /** Tokens that the requests of a prefix share, and of the request alone. */
  sharedTokens: notNegative,
  ownTokens: positive,
  outputTokens: count,
  /** Sizes vary by up to this factor, either way. */
  spread: v.pipe(v.number(), v.minValue(1)),
  /** Number of prefixes, and the share of requests with the first of them. */
  prefixes: count,
  hotShare: v.pipe(v.number(), v.minValue(0), v.maxValue(1)),
  /** Time within which the first event is wanted. */
  goalMs: positive,
  /** Times at which more requests come. */
  bursts: v.array(
    v.strictObject({fromMs: notNegative, toMs: positive, multiple: positive}),
  ),
});

/** Schema of a group of endpoints of one pace. */
const endpointsSchema = v.strictObject({
  count,
  slots: count,
  /** Time that work takes, 1 being as usual, from a time on. */
  paces: v.pipe(
    v.array(v.strictObject({fromMs: notNegative, pace: positive})),
    v.minLength(1),
  ),
});

/** Schema of a load pattern. */
export const patternSchema = v.strictObject({
  seed: v.pipe(v.number(), v.integer()),
  lengthMs: positive,
  routers: count,
  /** Time to copy a token of a context; absent: contexts are not copied. */
  copyUsPerToken: v.optional(positive),
  endpoints: v.array(endpointsSchema),
  kinds: v.array(kindSchema),
});

/** A load pattern. */
export type LoadPattern = v.InferOutput<typeof patternSchema>;
type Kind = LoadPattern['kinds'][number];

/** One request of a pattern. */
export interface Arrival {
  readonly atMs: number;
  readonly router: number;
  readonly route: string;
  readonly prefix: string;
  readonly sharedTokens: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** What the caller expects; right only on average. */
  readonly expectedOutputTokens: number;
  readonly goalMs: number;
}

/** The requests of a pattern, by time. */
export function arrivalsOf(pattern: LoadPattern): readonly Arrival[] {
  const random = new core.SeededRandom(pattern.seed);
  const arrivals = pattern.kinds.flatMap(kind =>
    arrivalsOfKind(kind, pattern, random),
  );
  return arrivals.sort((a, b) => a.atMs - b.atMs);
}

function arrivalsOfKind(
  kind: Kind,
  {lengthMs, routers}: LoadPattern,
  random: core.Random,
): Arrival[] {
  const sharedTokens = Array.from({length: kind.prefixes}, () =>
    Math.round(kind.sharedTokens * spreadBy(kind.spread, random)),
  );
  const arrivals: Arrival[] = [];
  let atMs = 0;
  for (;;) {
    const pauseMs = -Math.log(1 - random.nextFloat()) * (1_000 / kind.perS);
    atMs += pauseMs / burstMultiple(kind, atMs);
    if (atMs >= lengthMs) return arrivals;
    const isHot = random.nextFloat() < kind.hotShare;
    const thing = isHot ? 0 : random.nextInt(kind.prefixes);
    const shared = sharedTokens[thing]!;
    const own = Math.ceil(kind.ownTokens * spreadBy(kind.spread, random));
    const output = Math.ceil(kind.outputTokens * spreadBy(kind.spread, random));
    arrivals.push({
      atMs,
      router: random.nextInt(routers),
      route: kind.route,
      prefix: `${kind.route}-${thing}`,
      sharedTokens: shared,
      promptTokens: shared + own,
      outputTokens: output,
      expectedOutputTokens: Math.ceil(output * spreadBy(1.5, random)),
      goalMs: kind.goalMs,
    });
  }
}

function burstMultiple({bursts}: Kind, atMs: number): number {
  const burst = bursts.find(({fromMs, toMs}) => atMs >= fromMs && atMs < toMs);
  return burst?.multiple ?? 1;
}

/** A factor from 1/spread to spread. */
function spreadBy(spread: number, random: core.Random): number {
  return spread ** (random.nextFloat() * 2 - 1);
}
