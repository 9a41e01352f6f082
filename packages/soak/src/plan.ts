/** The fault schedule of a soak, determined by its seed. */
import * as core from '@oleanderrock/core';
import * as v from 'valibot';

const STORE_MODES = ['refusing', 'resetting', 'silent'] as const;
const LINK_FAULTS = ['delay', 'reset', 'one_way', 'silent'] as const;
const SPOIL_MODES = [
  'fail',
  'shed',
  'reset',
  'foreign',
  'truncate',
  'break',
] as const;
const COPY_MODES = ['copy', 'cut_copy'] as const;

const numberSchema = v.number();

/** Schema of a fault; routers and endpoints are given by index, times in ms. */
export const faultSchema = v.variant('type', [
  v.object({
    type: v.literal('kill'),
    router: numberSchema,
    forMs: numberSchema,
  }),
  v.object({
    type: v.literal('pause'),
    router: numberSchema,
    forMs: numberSchema,
  }),
  v.object({type: v.literal('terminate'), router: numberSchema}),
  v.object({type: v.literal('settings'), router: numberSchema}),
  v.object({
    type: v.literal('store'),
    mode: v.picklist(STORE_MODES),
    forMs: numberSchema,
  }),
  v.object({
    type: v.literal('refuse'),
    router: numberSchema,
    forMs: numberSchema,
  }),
  v.object({type: v.literal('compact')}),
  v.object({
    type: v.literal('crash'),
    endpoint: numberSchema,
    forMs: numberSchema,
  }),
  v.object({type: v.literal('leave'), endpoint: numberSchema}),
  v.object({
    type: v.literal('spoil'),
    endpoint: numberSchema,
    how: v.picklist(SPOIL_MODES),
    /** Share of the requests that the endpoint answers wrongly, from 0 to 1. */
    share: numberSchema,
    forMs: numberSchema,
  }),
  v.object({
    type: v.literal('overload'),
    /** Which late copies follow the refusals of all endpoints. */
    how: v.picklist(COPY_MODES),
    /** Share of the requests that the endpoints refuse, from 0 to 1. */
    share: numberSchema,
    forMs: numberSchema,
  }),
  v.object({
    type: v.literal('link'),
    /** Absent if the fault hits the links to the store. */
    endpoint: v.optional(numberSchema),
    how: v.picklist(LINK_FAULTS),
    forMs: numberSchema,
  }),
  v.object({type: v.literal('tables')}),
]);

/** A fault to inject. */
export type Fault = v.InferOutput<typeof faultSchema>;

/** How an endpoint fails a request or falsifies the answer. */
export type SpoilMode = (typeof SPOIL_MODES | typeof COPY_MODES)[number];

/** A scheduled fault. */
export interface ScheduledFault {
  /** Time since the start of the schedule, in ms. */
  readonly atMs: number;
  readonly fault: Fault;
}

/** Seed and duration of a schedule, and how many targets it can pick from. */
export interface PlanOptions {
  readonly seed: number;
  readonly lengthMs: number;
  readonly routers: number;
  readonly endpoints: number;
}

/** Mean time between fault starts, in ms; short enough that faults overlap. */
const MEAN_GAP_MS = 450;

const MIN_FAULT_MS = 300;
const MAX_FAULT_MS = 3_500;
const MAX_SPOILED_SHARE = 0.5;

/** Spreads the seeds of the overload, whose draws do not change the others. */
const OVERLOAD_FACTOR = 0x9e37_79b1;
const MIN_REFUSED_SHARE = 0.3;
const MAX_REFUSED_SHARE = 0.7;

/** Generates the schedule of a seed, which has one overload. */
export function generatePlan(options: PlanOptions): readonly ScheduledFault[] {
  const steps = [...drawSteps(options), drawOverload(options)];
  return steps.sort((a, b) => a.atMs - b.atMs);
}

function drawOverload({seed, lengthMs}: PlanOptions): ScheduledFault {
  const random = new core.SeededRandom(Math.imul(seed, OVERLOAD_FACTOR));
  // The first number of the generator hardly depends on its seed.
  random.nextFloat();
  const atMs = (random.nextFloat() * lengthMs) / 2;
  const shareRange = MAX_REFUSED_SHARE - MIN_REFUSED_SHARE;
  const share = MIN_REFUSED_SHARE + random.nextFloat() * shareRange;
  const how = COPY_MODES[random.nextInt(COPY_MODES.length)]!;
  return {atMs, fault: {type: 'overload', how, share, forMs: MAX_FAULT_MS}};
}

function drawSteps(options: PlanOptions): ScheduledFault[] {
  const random = new core.SeededRandom(options.seed);
  const steps: ScheduledFault[] = [];
  let atMs = 0;
  for (;;) {
    atMs += random.nextFloat() * 2 * MEAN_GAP_MS;
    if (atMs >= options.lengthMs) return steps;
    steps.push({atMs, fault: drawFault(random, options)});
  }
}

function drawFault(
  random: core.Random,
  {routers, endpoints}: PlanOptions,
): Fault {
  const router = random.nextInt(routers);
  const endpoint = random.nextInt(endpoints);
  const durationRangeMs = MAX_FAULT_MS - MIN_FAULT_MS;
  const forMs = Math.round(MIN_FAULT_MS + random.nextFloat() * durationRangeMs);
  const pick = <T>(items: readonly T[]): T =>
    items[random.nextInt(items.length)]!;
  const share = random.nextFloat() * MAX_SPOILED_SHARE;
  const isStoreLink = random.nextFloat() < 0.3;
  return pick<Fault>([
    {type: 'kill', router, forMs},
    {type: 'pause', router, forMs},
    {type: 'terminate', router},
    {type: 'settings', router},
    {type: 'store', mode: pick(STORE_MODES), forMs},
    {type: 'refuse', router, forMs},
    {type: 'compact'},
    {type: 'crash', endpoint, forMs},
    {type: 'leave', endpoint},
    {type: 'spoil', endpoint, how: pick(SPOIL_MODES), share, forMs},
    {
      type: 'link',
      endpoint: isStoreLink ? undefined : endpoint,
      how: pick(LINK_FAULTS),
      forMs,
    },
    {type: 'tables'},
  ]);
}
