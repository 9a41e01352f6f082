/**
 * The dispatcher: takes a request to an endpoint, and to others while that is
 * allowed: by what may have run, by the route's limit, by the time that is left
 * and by the budget of repeats that all routers share.
 */
import * as core from '@oleanderrock/core';
import * as tsPattern from 'ts-pattern';
import type * as asks from './ask.js';
import * as ask from './ask.js';
import * as attempts from './attempt.js';
import * as chooser from './chooser.js';
import * as decisions from './decisions.js';
import * as delivery from './delivery.js';
import * as fleetBook from './fleetbook.js';
import type * as model from './model.js';

/** Most endpoints that one request is sent to, refusals included. */
const MAX_SENDS = 4;

/** Time below which another send cannot end well, in ms. */
const MIN_LEFT_MS = 15;

/** When a refused caller should come back, in ms: a queue moves on by then. */
const RETRY_AFTER_MS = 300;

/**
 * Time after which a plain call that may be repeated is tried elsewhere, as a
 * multiple of the goal of its route.
 */
const HEDGE_GOALS = 1.5;

/** Dispatcher of requests. */
export interface Dispatcher {
  serve(ask: asks.Ask, answer: asks.CallerAnswer): Promise<asks.Outcome>;
}

/** The contract under which the dispatcher is registered. */
export const DISPATCHER = core.contract<Dispatcher>('dispatcher', ['serve']);

/** What is known after some sends. */
interface Progress {
  sends: number;
  /** Sends after which the request may have run. */
  runs: number;
  readonly tried: Set<string>;
  /** The event after which a stream goes on. */
  lastEventId?: string;
  last: core.Failure;
  /** What decided the last choice of an endpoint. */
  placed?: asks.Placed;
}

/** Dispatcher over the kernel's services. */
export class EndpointDispatcher implements Dispatcher {
  constructor(private readonly kernel: core.Kernel) {}

  async serve(
    asked: asks.Ask,
    answer: asks.CallerAnswer,
  ): Promise<asks.Outcome> {
    this.kernel.find(decisions.REPEATS).sent(asked.pool, this.nowMs());
    const passage = new delivery.Delivery(this.kernel, asked, answer);
    const progress: Progress = {
      sends: 0,
      runs: 0,
      tried: new Set(),
      last: {kind: 'pool_empty', detail: `${asked.pool} has no endpoint`},
    };
    while (this.mayTry(asked, passage, progress)) {
      const chosen = this.kernel
        .find(chooser.CHOOSER)
        .choose(asked, progress.tried);
      if (!chosen || !this.mayRepeat(asked, progress)) break;
      const outcome = await this.attempt(asked, passage, chosen, progress);
      if (outcome) return outcome;
    }
    return this.giveUp(asked, passage, progress);
  }

  /** One send; an outcome where it ended the request. */
  private async attempt(
    asked: asks.Ask,
    passage: delivery.Delivery,
    {endpoint, placed, source}: chooser.Chosen,
    progress: Progress,
  ): Promise<asks.Outcome | undefined> {
    progress.placed = {...placed, source: source?.id};
    progress.sends += 1;
    progress.tried.add(endpoint.id);
    const result = await this.kernel.find(attempts.ATTEMPTS).send({
      ask: asked,
      endpoint,
      leftMs: this.limitMs(asked, progress),
      lastEventId: passage.lastEventId,
      gone: passage.gone,
      source,
    });
    const delivered =
      result.type === 'answer'
        ? await passage.take(result.answer, endpoint, this.isLast(progress))
        : result;
    this.judge(asked, endpoint, delivered);
    return this.conclude(endpoint, delivered, progress);
  }

  private conclude(
    endpoint: model.Endpoint,
    result: delivery.Delivered,
    progress: Progress,
  ): asks.Outcome | undefined {
    const {sends, placed} = progress;
    return tsPattern
      .match(result)
      .with({type: 'delivered'}, ({status}) => ({
        type: 'answered' as const,
        status,
        endpoint: endpoint.id,
        sends,
        placed,
      }))
      .with({type: 'caller_gone'}, () =>
        failed('caller_gone', 'the caller left', progress),
      )
      .with({type: 'not_sent'}, ({detail}) => {
        progress.last = refusal(`${endpoint.id}: ${detail}`);
        return undefined;
      })
      .with({type: 'not_run'}, ({status}) => {
        progress.last = refusal(`${endpoint.id} answered ${status}, not run`);
        return undefined;
      })
      .with({type: 'failed_run'}, ({status}) => {
        progress.runs += 1;
        const detail = `${endpoint.id} answered ${status}`;
        progress.last = {kind: 'endpoint_broke', detail};
        return undefined;
      })
      .with({type: 'broken'}, ({cause, detail}) => {
        // What ran at a dead endpoint has ended there.
        if (cause !== 'dead') progress.runs += 1;
        progress.last = broken(`${endpoint.id}: ${detail}`, cause);
        return undefined;
      })
      .exhaustive();
  }

  private judge(
    asked: asks.Ask,
    {id}: model.Endpoint,
    result: delivery.Delivered,
  ): void {
    const health = this.kernel.find(decisions.HEALTH);
    const nowMs = this.nowMs();
    if (result.type === 'delivered' && result.status < 500) {
      health.succeeded(id, nowMs);
    } else if (result.type !== 'caller_gone' && result.type !== 'not_sent') {
      health.failed(id, nowMs);
      this.kernel.find(core.LOGGER).info('attempt_failed', {
        request: asked.head.requestId,
        endpoint: id,
        result: result.type,
        detail: 'detail' in result ? result.detail : result.status,
      });
    }
  }

  private mayTry(
    asked: asks.Ask,
    passage: delivery.Delivery,
    progress: Progress,
  ): boolean {
    // Only a stream may go on with another endpoint's answer.
    if (passage.hasBegun && asked.route.repeat !== 'stream') return false;
    if (progress.sends >= MAX_SENDS) return false;
    if (this.leftMs(asked) < MIN_LEFT_MS) return false;
    const mayHaveRun =
      progress.runs > 0 || progress.last.kind === 'endpoint_broke';
    if (!mayHaveRun) return true;
    return ask.mayRepeat(asked.route) && progress.runs < asked.route.maxRuns;
  }

  /** Spends from the shared budget where this is not the first send. */
  private mayRepeat(asked: asks.Ask, progress: Progress): boolean {
    if (progress.sends === 0) return true;
    const nowMs = this.nowMs();
    const fleet = this.kernel.find(fleetBook.FLEET_BOOK);
    const routers = fleet.live(nowMs).length + 1;
    const budget = this.kernel.find(decisions.REPEATS);
    return budget.spend(asked.pool, routers, nowMs);
  }

  private isLast({sends, runs}: Progress): boolean {
    return sends >= MAX_SENDS || runs + 1 >= MAX_SENDS;
  }

  private giveUp(
    asked: asks.Ask,
    passage: delivery.Delivery,
    progress: Progress,
  ): asks.Outcome {
    if (passage.hasBegun) {
      passage.cut();
      return failed(progress.last.kind, progress.last.detail, progress);
    }
    const status = passage.deliverKept();
    if (status !== undefined) {
      const {sends, placed} = progress;
      return {type: 'answered', status, endpoint: 'kept', sends, placed};
    }
    const isNotRun = core.ANSWERS[progress.last.kind].ran === 'no';
    const hasRun = progress.runs > 0 && isNotRun;
    const failure: core.Failure = hasRun
      ? {kind: 'endpoint_broke', detail: progress.last.detail}
      : progress.last;
    const retryAfterMs = isNotRun && !hasRun ? RETRY_AFTER_MS : undefined;
    return {
      type: 'failed',
      failure: {...failure, retryAfterMs},
      sends: progress.sends,
      placed: progress.placed,
    };
  }

  /** How long the next send may take. */
  private limitMs(asked: asks.Ask, progress: Progress): number {
    const leftMs = this.leftMs(asked);
    const {repeat, goalMs, maxRuns} = asked.route;
    const mayTryAgain = progress.runs + 1 < maxRuns;
    if (repeat !== 'idempotent' || !mayTryAgain) return leftMs;
    return Math.min(leftMs, goalMs * HEDGE_GOALS);
  }

  private leftMs({deadlineMs}: asks.Ask): number {
    return deadlineMs - this.nowMs();
  }

  private nowMs(): number {
    return this.kernel.find(core.CLOCK).nowMs();
  }
}

function refusal(detail: string): core.Failure {
  return {kind: 'endpoint_refused', detail};
}

function broken(detail: string, cause: attempts.BreakCause): core.Failure {
  const kind = cause === 'timeout' ? 'endpoint_timeout' : 'endpoint_broke';
  return {kind, detail};
}

function failed(
  kind: core.Kind,
  detail: string,
  {sends, placed}: Progress,
): asks.Outcome {
  return {type: 'failed', failure: {kind, detail}, sends, placed};
}
