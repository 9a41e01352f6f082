/**
 * Walks a request along its endpoints until one takes it: waits for a place,
 * goes on where an endpoint has no room or views differ, and retries faults
 * within the budget. What a fault allows differs between calls that may be
 * repeated and calls that may not; the caller of the walk says so.
 */
import * as core from '@oleanderrock/core';
import type * as decide from '@oleanderrock/decide';
import * as exchange from './exchange.js';
import * as fleet from './fleet.js';
import * as meters from './meters.js';
import type * as places from './places.js';
import * as rooms from './rooms.js';
import * as tasks from './task.js';

/** Most tries that reached an endpoint or its owner and failed. */
const MAX_FAULTS = 5;
/** Most refusals for want of room, which come within one wait. */
const MAX_REFUSALS = 64;

/** One walk. */
export interface Journey {
  readonly task: tasks.Task;
  /** Monotonic time after which the request must not be dispatched. */
  readonly untilMs?: number;
  /** Uses a place that was reserved. */
  use(grant: places.Grant): Promise<exchange.Outcome>;
  /** Whether a failed try may be followed by one elsewhere. */
  mayRepeat(failure: core.Failure): boolean;
}

/** Walker of requests. */
export interface Walk {
  /** Places the request wherever there is room. */
  run(journey: Journey): Promise<exchange.Outcome>;
  /** Places the request at one owned endpoint, or nowhere. */
  runAt(journey: Journey, endpoint: string): Promise<exchange.Outcome>;
}

/** The contract under which the walk is registered. */
export const WALK = core.contract<Walk>('walk', ['run', 'runAt']);

/** The contract under which the retry policy is registered. */
export const RETRY = core.contract<decide.RetryPolicy>('retry', [
  'tried',
  'spend',
  'backoffMs',
]);

/** Refusals for want of room or because views differ: the next may do. */
const ELSEWHERE: readonly core.Kind[] = [
  'saturated',
  'not_owner',
  'queue_full',
  'draining',
  'not_ready',
];

/** Walks over the rooms' places. */
export class RoomWalk implements Walk {
  constructor(private readonly kernel: core.Kernel) {}

  async run(journey: Journey): Promise<exchange.Outcome> {
    const {task, untilMs = Number.POSITIVE_INFINITY} = journey;
    const clock = this.kernel.find(core.CLOCK);
    const waitUntilMs = clock.nowMs() + task.route.wait_ms;
    const deadlineMs = Math.min(waitUntilMs, untilMs);
    const excluded = new Set<string>();
    let told: exchange.Outcome | undefined;
    let faults = 0;
    this.kernel.find(RETRY).tried();
    for (let refusals = 0; refusals < MAX_REFUSALS;) {
      const wish = tasks.wish(task, {deadlineMs, excluded});
      const grant = await this.kernel.find(rooms.ROOMS).reserve(wish);
      if (!grant.ok) return told ?? exchange.refused(grant.failure);
      const outcome = await journey.use(grant.value);
      told = exchange.worse(told, outcome);
      if (outcome.type === 'answered' || task.answer.hasBegun) return told;
      if (isElsewhere(outcome.failure)) {
        this.noteRefusal(grant.value);
        refusals++;
        continue;
      }
      excluded.add(grant.value.choice.endpoint);
      faults++;
      const isOver = faults > MAX_FAULTS || task.answer.gone.aborted;
      if (isOver || !journey.mayRepeat(outcome.failure)) return told;
      if (!(await this.mayRetry(task, faults))) return told;
    }
    return told ?? exchange.failed('saturated', 'no endpoint took it');
  }

  async runAt(journey: Journey, endpoint: string): Promise<exchange.Outcome> {
    const known = this.kernel.find(fleet.FLEET);
    if (known.owners(endpoint)[0] !== known.self()) {
      const detail = `${known.self()} does not own ${endpoint}`;
      return exchange.failed('not_owner', detail);
    }
    const wish = tasks.wish(journey.task, {deadlineMs: 0});
    const grant = this.kernel.find(rooms.ROOMS).reserveAt(wish, endpoint);
    if (!grant.ok) return exchange.refused(grant.failure);
    return journey.use(grant.value);
  }

  private noteRefusal(grant: places.Grant): void {
    if (grant.type === 'local') return;
    this.kernel.find(rooms.ROOMS).noteFull(grant.choice.endpoint);
  }

  /** Spends a retry and waits its time; false where the budget is used up. */
  private async mayRetry(task: tasks.Task, retry: number): Promise<boolean> {
    const policy = this.kernel.find(RETRY);
    if (!policy.spend()) return false;
    this.kernel.find(meters.METERS).retried(task.pool.name);
    const clock = this.kernel.find(core.CLOCK);
    await clock.sleep(policy.backoffMs(retry), task.answer.gone);
    return true;
  }
}

function isElsewhere(failure: core.Failure): boolean {
  return ELSEWHERE.includes(failure.kind);
}
