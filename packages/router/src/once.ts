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
import * as rooms from './rooms.js';
import * as runner from './runner.js';
import type * as spread from './spread.js';
import * as trails from './trails.js';

const MAX_LEADERS = 3;
const MAX_TRIES = 6;

/** Server of calls that may not be repeated. */
export interface Once {
  /** The task whose leader claims the key. */
  task(key: string): string;
  serve(task: spread.Task): Promise<exchange.Outcome>;
}

/** The contract under which it is registered. */
export const ONCE = core.contract<Once>('once', ['task', 'serve']);

/** How a claimed call ended, and whether the call is sure not to have run. */
interface Dispatch {
  readonly outcome: exchange.Outcome;
  readonly isUndone: boolean;
}

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

  async serve(task: spread.Task): Promise<exchange.Outcome> {
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
    task: spread.Task,
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
    task: spread.Task,
    key: string,
  ): Promise<exchange.Outcome> {
    const book = this.kernel.find(claims.CLAIMS);
    const claim = await book.claim(key);
    this.kernel.find(meters.METERS).claimed(claim);
    const verdict = claim.ok ? 'the key is claimed' : claim.failure.detail;
    const notes = this.kernel.find(trails.TRAILS);
    notes.note(task.request.id, claim.ok ? 'claimed' : 'not_claimed', verdict);
    if (!claim.ok) return exchange.refused(claim.failure);
    const {outcome, isUndone} = await this.dispatch(task, claim.value);
    if (outcome.type === 'answered') book.answered(claim.value);
    // The caller may come again with the same key, so the claim goes back.
    if (isUndone) await book.release(claim.value);
    return outcome;
  }

  private async dispatch(
    task: spread.Task,
    claim: claims.Claim,
  ): Promise<Dispatch> {
    const {request, route, pool, answer} = task;
    const clock = this.kernel.find(core.CLOCK);
    const deadlineMs = clock.nowMs() + route.wait_ms;
    const excluded = new Set<string>();
    let outcome: exchange.Outcome | undefined;
    for (let count = 0; count < MAX_TRIES; count++) {
      const wish = {
        request,
        route,
        pool,
        excluded,
        deadlineMs,
        gone: answer.gone,
      };
      const grant = await this.kernel.find(rooms.ROOMS).reserve(wish);
      if (!grant.ok) {
        const refusal = outcome ?? exchange.refused(grant.failure);
        return {outcome: refusal, isUndone: true};
      }
      outcome = await this.use(task, grant.value, claim);
      if (!hasNotRun(outcome)) return {outcome, isUndone: false};
      excluded.add(grant.value.choice.endpoint);
    }
    outcome ??= exchange.failed('saturated', 'no endpoint took it');
    return {outcome, isUndone: true};
  }

  private use(
    task: spread.Task,
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
  private async serveTarget(
    task: spread.Task,
    target: string,
  ): Promise<exchange.Outcome> {
    const {request, route, pool, answer} = task;
    const known = this.kernel.find(fleet.FLEET);
    if (known.owners(target)[0] !== known.self()) {
      const detail = `${known.self()} does not own ${target}`;
      return exchange.failed('not_owner', detail);
    }
    const wish = {
      request,
      route,
      pool,
      excluded: new Set<string>(),
      deadlineMs: 0,
      gone: answer.gone,
    };
    const grant = this.kernel.find(rooms.ROOMS).reserveAt(wish, target);
    if (!grant.ok) return exchange.refused(grant.failure);
    const {reason} = grant.value.choice;
    const mayDispatch = () => !answer.gone.aborted;
    const run = {...task, endpoint: target, reason, mayDispatch};
    return this.kernel.find(runner.RUNNER).run(run);
  }
}

/** Whether no byte of a passed-on request reached the other router. */
function isUnreached(outcome: exchange.Outcome): boolean {
  if (outcome.type === 'answered') return false;
  const {kind} = outcome.failure;
  return kind === 'peer_unreachable' || kind === 'draining';
}
