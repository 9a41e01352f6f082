/** The plan of a soak: faults at set times, the same for the same seed. */
import * as core from '@oleanderrock/core';
import * as v from 'valibot';

const MODES = ['refusing', 'resetting', 'silent'] as const;
const LINK_FAULTS = ['delay', 'reset', 'one_way', 'silent'] as const;
const SPOILS = [
  'fail',
  'shed',
  'reset',
  'foreign',
  'truncate',
  'break',
] as const;

const numberSchema = v.number();

/** Schema of a fault. */
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
    mode: v.picklist(MODES),
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
    how: v.picklist(SPOILS),
    /** Share of the requests that are spoiled. */
    share: numberSchema,
    forMs: numberSchema,
  }),
  v.object({
    type: v.literal('link'),
    /** The store's link where it is absent. */
    endpoint: v.optional(numberSchema),
    how: v.picklist(LINK_FAULTS),
    forMs: numberSchema,
  }),
  v.object({type: v.literal('tables')}),
]);

/** A fault. */
export type Fault = v.InferOutput<typeof faultSchema>;

/** How an endpoint spoils requests. */
export type Spoil = (typeof SPOILS)[number];

/** A fault at its time. */
export interface Step {
  /** Time from the start of the traffic. */
  readonly atMs: number;
  readonly fault: Fault;
}

/** Size of the world that is planned for. */
export interface PlanOptions {
  readonly seed: number;
  readonly lengthMs: number;
  readonly routers: number;
  readonly endpoints: number;
}

/** Mean time between two faults, in ms: several overlap at most moments. */
const MEAN_GAP_MS = 450;

const MIN_FAULT_MS = 300;
const MAX_FAULT_MS = 3_500;
const MAX_SPOILED_SHARE = 0.5;

/** Draws the steps of a seed. */
export function plan(options: PlanOptions): readonly Step[] {
  const random = new core.SeededRandom(options.seed);
  const steps: Step[] = [];
  let atMs = 0;
  for (;;) {
    atMs += random.nextFloat() * 2 * MEAN_GAP_MS;
    if (atMs >= options.lengthMs) return steps;
    steps.push({atMs, fault: draw(random, options)});
  }
}

function draw(random: core.Random, {routers, endpoints}: PlanOptions): Fault {
  const router = random.nextInt(routers);
  const endpoint = random.nextInt(endpoints);
  const span = MAX_FAULT_MS - MIN_FAULT_MS;
  const forMs = Math.round(MIN_FAULT_MS + random.nextFloat() * span);
  const pick = <T>(items: readonly T[]): T =>
    items[random.nextInt(items.length)]!;
  const share = random.nextFloat() * MAX_SPOILED_SHARE;
  const isStore = random.nextFloat() < 0.3;
  return pick<Fault>([
    {type: 'kill', router, forMs},
    {type: 'pause', router, forMs},
    {type: 'terminate', router},
    {type: 'settings', router},
    {type: 'store', mode: pick(MODES), forMs},
    {type: 'refuse', router, forMs},
    {type: 'compact'},
    {type: 'crash', endpoint, forMs},
    {type: 'leave', endpoint},
    {type: 'spoil', endpoint, how: pick(SPOILS), share, forMs},
    {
      type: 'link',
      endpoint: isStore ? undefined : endpoint,
      how: pick(LINK_FAULTS),
      forMs,
    },
    {type: 'tables'},
  ]);
}
