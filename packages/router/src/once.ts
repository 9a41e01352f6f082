/**
 * Calls that may not be repeated: each runs at most once. A claim goes onto
 * the log before the first byte goes to an endpoint; the call is dispatched
 * once, over a connection of its own, and never again after a byte may have
 * left. Nothing here leans on who owns an endpoint or leads a stream.
 */
import * as core from '@oleanderrock/core';
import * as claims from './claims.js';
import * as exchange from './exchange.js';
import * as fleet from './fleet.js';
import * as meters from './meters.js';
import * as passer from './passer.js';
import type * as places from './places.js';
import * as runner from './runner.js';
import type * as tasks from './task.js';
import * as trails from './trails.js';
import * as walk from './walk.js';

const MAX_LEADERS = 3;

/** Faults that leave it sure that the call was not taken. */
const NOT_TAKEN: readonly core.Kind[] = [
  'endpoint_refused',
  'endpoint_unreachable',
  'peer_unreachable',
];

/** Server of calls that may not be repeated. */
export interface Once {
  /** The task whose leader claims the key. */
  task(key: string): string;
  serve(task: tasks.Task): Promise<exchange.Outcome>;
}

/** The contract under which it is registered. */
export const ONCE = core.contract<Once>('once', ['task', 'serve']);

function hasNotRun(outcome: exchange.Outcome): boolean {
  if (outcome.type === 'answered') return false;
  return core.ANSWERS[outcome.failure.kind].ran === 'no';
}

/** Serves under claims on the log. */
export class ClaimedOnce implements Once {
  constructor(private readonly kernel: core.Kernel) {}

  task(key: string): string {
    return this.kernel.find(claims.CLAIMS).stream(key);
  }

  async serve(task: tasks.Task): Promise<exchange.Outcome> {
    const {key, hops, target, attempt} = task.request;
    if (key === undefined) {
      const detail = `route ${task.route.name} runs at most once`;
      return exchange.failed('key_required', detail);
    }
    if (target !== undefined && attempt !== undefined) {
      return this.serveTarget(task, target);
    }
    const verdict = this.kernel.find(claims.CLAIMS).check(key);
    if (!verdict.ok) return exchange.refused(verdict.failure);
    if (hops > 0) return this.claim(task, key);
    return this.enter(task, key);
  }

  /** At the first router: passes on to the leader of the key's stream. */
  private async enter(
    task: tasks.Task,
    key: string,
  ): Promise<exchange.Outcome> {
    const known = this.kernel.find(fleet.FLEET);
    const stream = this.task(key);
    for (let count = 0; count < MAX_LEADERS; count++) {
      const [leader] = known.leaders(stream);
      if (leader === undefined || leader === known.self()) break;
      const outcome = await this.kernel.find(passer.PASSER).pass({
        ...task,
        router: leader,
        reason: `leader of ${stream}`,
      });
      if (!isUnreached(outcome)) return outcome;
    }
    return this.claim(task, key);
  }

  /** At the leader: claims the key, then dispatches under the claim. */
  private async claim(
    task: tasks.Task,
    key: string,
  ): Promise<exchange.Outcome> {
    const book = this.kernel.find(claims.CLAIMS);
    const claim = await book.claim(key);
    this.kernel.find(meters.METERS).claimed(claim);
    const verdict = claim.ok ? 'the key is claimed' : claim.failure.detail;
    const notes = this.kernel.find(trails.TRAILS);
    notes.note(task.request.id, claim.ok ? 'claimed' : 'not_claimed', verdict);
    if (!claim.ok) return exchange.refused(claim.failure);
    const outcome = await this.kernel
      .find(walk.WALK)
      .run(this.journey(task, claim.value));
    if (outcome.type === 'answered') book.answered(claim.value);
    // The caller may come again with the same key, so the claim goes back.
    if (hasNotRun(outcome)) await book.release(claim.value);
    return outcome;
  }

  private journey(task: tasks.Task, claim: claims.Claim): walk.Journey {
    return {
      task,
      untilMs: claim.untilMs,
      use: grant => this.use(task, grant, claim),
      mayRepeat: failure => NOT_TAKEN.includes(failure.kind),
    };
  }

  private use(
    task: tasks.Task,
    grant: places.Grant,
    claim: claims.Claim,
  ): Promise<exchange.Outcome> {
    const {endpoint, reason} = grant.choice;
    const book = this.kernel.find(claims.CLAIMS);
    const mayDispatch = () => book.isValid(claim);
    if (grant.type === 'local') {
      const run = {...task, endpoint, reason, mayDispatch};
      return this.kernel.find(runner.RUNNER).run(run);
    }
    return this.kernel.find(passer.PASSER).pass({
      ...task,
      router: grant.owner,
      target: endpoint,
      attempt: claim.attempt,
      reason,
      mayDispatch,
    });
  }

  /** At the endpoint's owner, under a claim of the router that passed it. */
  private serveTarget(
    task: tasks.Task,
    target: string,
  ): Promise<exchange.Outcome> {
    const use = (grant: places.Grant) => {
      const {reason} = grant.choice;
      const mayDispatch = () => !task.answer.gone.aborted;
      const run = {...task, endpoint: target, reason, mayDispatch};
      return this.kernel.find(runner.RUNNER).run(run);
    };
    const journey = {task, use, mayRepeat: () => false};
    return this.kernel.find(walk.WALK).runAt(journey, target);
  }
}

/** Whether no byte of a passed-on request reached the other router. */
function isUnreached(outcome: exchange.Outcome): boolean {
  if (outcome.type === 'answered') return false;
  const {kind} = outcome.failure;
  return kind === 'peer_unreachable' || kind === 'draining';
}
