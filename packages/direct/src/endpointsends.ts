/**
 * Sends a request to an endpoint, and beside it to a second one if the answer of
 * the first takes unusually long and the request may be repeated. The first of
 * the two that answers wins; the connection of the other is closed.
 */
import * as core from '@oleanderrock/core';
import * as attempt from './attempt.js';
import type * as attemptRecorder from './attemptrecorder.js';
import * as decisions from './decisions.js';
import * as dispatchProgress from './dispatchprogress.js';
import * as endpointSelector from './endpointselector.js';
import type * as model from './model.js';
import type * as sendAllowance from './sendallowance.js';
import * as waitingRoom from './waitingroom.js';

/** The result of a send, and the endpoint that gave it. */
export interface SendResult {
  readonly endpoint: model.Endpoint;
  readonly result: attempt.AttemptResult;
}

/** A send whose result is awaited. */
interface OpenSend {
  readonly endpoint: model.Endpoint;
  readonly startedMs: number;
  readonly result: Promise<attempt.AttemptResult>;
  /** Closes the connection; no effect once the caller has left. */
  abort(): void;
}

/** Sends with the services registered with the kernel. */
export class EndpointSends {
  constructor(
    private readonly kernel: core.Kernel,
    private readonly allowance: sendAllowance.SendAllowance,
    private readonly recorder: attemptRecorder.AttemptRecorder,
  ) {}

  /** Sends to the chosen endpoint; the caller records the end of the run. */
  async send(
    dispatch: dispatchProgress.Dispatch,
    choice: endpointSelector.EndpointChoice,
  ): Promise<SendResult> {
    const {progress} = dispatch;
    recordChoice(progress, choice);
    progress.runs.begin();
    if (!this.couldSendSecond(dispatch)) {
      const {callerGone} = dispatch.delivery;
      const result = await this.startAttempt(dispatch, choice, callerGone);
      this.recordRoom(dispatch, choice.endpoint, result);
      return {endpoint: choice.endpoint, result};
    }
    this.secondSends.recordSend(dispatch.request.pool);
    const first = this.open(dispatch, choice);
    const second = await this.openSecondIfSlow(dispatch, choice, first);
    const winner = second
      ? await this.firstToAnswer(dispatch, first, second)
      : first;
    const result = await winner.result;
    this.recordRoom(dispatch, winner.endpoint, result);
    if (result.type === 'response') this.recordTime(dispatch, winner);
    return {endpoint: winner.endpoint, result};
  }

  private couldSendSecond({
    delivery,
    progress,
  }: dispatchProgress.Dispatch): boolean {
    if (!this.secondSends.isOn || delivery.hasBegun) return false;
    return progress.runs.maySendAfterOpen();
  }

  /** Opens the second send once it is due; undefined if there is none. */
  private async openSecondIfSlow(
    dispatch: dispatchProgress.Dispatch,
    {estimate}: endpointSelector.EndpointChoice,
    first: OpenSend,
  ): Promise<OpenSend | undefined> {
    const {request, progress} = dispatch;
    const delayMs = this.secondSends.delayMs(kindOf(dispatch), estimate);
    if (delayMs === undefined) return undefined;
    if (await this.settlesWithin(first.result, delayMs)) return undefined;
    if (!this.mayOpenSecond(dispatch)) return undefined;
    const selection = await this.kernel
      .find(endpointSelector.ENDPOINT_SELECTOR)
      .select(request, progress);
    // The selection may have taken time, in which the first may have ended.
    if (await this.settlesWithin(first.result, 0)) return undefined;
    if (selection.type !== 'selected' || !this.mayOpenSecond(dispatch)) {
      return undefined;
    }
    if (!this.secondSends.trySpend(request.pool)) return undefined;
    if (!this.allowance.spendRetryBudget(dispatch)) return undefined;
    recordChoice(progress, selection.choice);
    progress.runs.beginSecond();
    return this.open(dispatch, selection.choice);
  }

  /** While requests wait for room, there is none for second sends. */
  private mayOpenSecond(dispatch: dispatchProgress.Dispatch): boolean {
    const {pool} = dispatch.request;
    const isCrowded = this.waitingRoom.hasWaiting(pool);
    return !isCrowded && this.allowance.maySendSecond(dispatch);
  }

  /**
   * The send that answered first, or the one that is left if the other failed;
   * the run of the other is recorded.
   */
  private async firstToAnswer(
    dispatch: dispatchProgress.Dispatch,
    first: OpenSend,
    second: OpenSend,
  ): Promise<OpenSend> {
    const {request, progress} = dispatch;
    const settled = await Promise.race(
      [first, second].map(async send => {
        await send.result;
        return send;
      }),
    );
    const other = settled === first ? second : first;
    const result = await settled.result;
    const hasAnswered =
      result.type === 'response' || result.type === 'caller_gone';
    const winner = hasAnswered ? settled : other;
    progress.secondSend = winner === second ? 'won' : 'lost';
    if (hasAnswered) {
      progress.runs.end('may_run');
      this.recordTime(dispatch, other);
      this.discard(other);
    } else {
      progress.runs.end(dispatchProgress.runOf(result));
      this.recordRoom(dispatch, settled.endpoint, result);
      this.recorder.record(request, settled.endpoint, result);
    }
    return winner;
  }

  /** Records whether the endpoint had room for the request. */
  private recordRoom(
    {request, progress}: dispatchProgress.Dispatch,
    {id}: model.Endpoint,
    result: attempt.AttemptResult,
  ): void {
    const room = this.kernel.find(decisions.ENDPOINT_ROOM);
    if (result.type === 'response') {
      room.recordAccepted(id);
      if (progress.waitSpan) {
        this.waitingRoom.recordAccepted(request.pool, progress.version);
      }
      return;
    }
    if (!isWithoutRoom(result)) return;
    progress.refusedIds.add(id);
    if (result.type !== 'not_run' || mayReturn(request.route)) {
      progress.returnableIds.add(id);
    }
    // The request did not reach the endpoint, so it costs no retry.
    if (result.type === 'withheld') progress.sendCount -= 1;
    else room.recordRefusal(id, this.nowMs());
  }

  /** Ends a send whose answer is not needed. */
  private discard(send: OpenSend): void {
    send.abort();
    const log = this.kernel.find(core.LOGGER);
    core.detach(log, 'second-send', async () => {
      const result = await send.result;
      if (result.type !== 'response') return;
      result.response.response.destroy();
      result.response.release();
    });
  }

  private open(
    dispatch: dispatchProgress.Dispatch,
    choice: endpointSelector.EndpointChoice,
  ): OpenSend {
    const {callerGone} = dispatch.delivery;
    const controller = new AbortController();
    const abort = () => controller.abort();
    callerGone.addEventListener('abort', abort, {once: true});
    if (callerGone.aborted) abort();
    return {
      endpoint: choice.endpoint,
      startedMs: this.nowMs(),
      result: this.startAttempt(dispatch, choice, controller.signal),
      abort,
    };
  }

  private startAttempt(
    dispatch: dispatchProgress.Dispatch,
    choice: endpointSelector.EndpointChoice,
    callerGone: AbortSignal,
  ): Promise<attempt.AttemptResult> {
    const {request, delivery} = dispatch;
    const {endpoint, contextSource, holdsPrefix, permitUntilMs} = choice;
    return this.kernel.find(attempt.ATTEMPT_SENDER).send({
      request,
      endpoint,
      timeoutMs: this.allowance.sendTimeoutMs(dispatch),
      lastEventId: delivery.lastEventId,
      callerGone,
      mayRetry: () => this.allowance.mayRetry(dispatch),
      contextSource,
      holdsPrefix,
      permitUntilMs,
    });
  }

  /**
   * Whether the result comes within the time. The timer is not cancelled, which
   * would cost more than its end.
   */
  private settlesWithin(
    result: Promise<unknown>,
    delayMs: number,
  ): Promise<boolean> {
    const clock = this.kernel.find(core.CLOCK);
    return Promise.race([
      result.then(() => true),
      clock.sleep(delayMs).then(() => false),
    ]);
  }

  /** Records for how long a send was, or would have been, awaited. */
  private recordTime(
    dispatch: dispatchProgress.Dispatch,
    {startedMs}: OpenSend,
  ): void {
    const elapsedMs = this.nowMs() - startedMs;
    this.secondSends.recordAnswer(kindOf(dispatch), elapsedMs);
  }

  private get waitingRoom() {
    return this.kernel.find(waitingRoom.WAITING_ROOM);
  }

  private get secondSends() {
    return this.kernel.find(decisions.SECOND_SENDS);
  }

  private nowMs(): number {
    return this.kernel.find(core.CLOCK).nowMs();
  }
}

function kindOf({request}: dispatchProgress.Dispatch) {
  return {pool: request.pool, route: request.route.name};
}

function recordChoice(
  progress: dispatchProgress.DispatchProgress,
  {endpoint, placement, contextSource}: endpointSelector.EndpointChoice,
): void {
  const {softwareVersion} = endpoint;
  progress.placement = {
    ...placement,
    contextSource: contextSource?.id,
    softwareVersion,
  };
  progress.sendCount += 1;
  progress.triedIds.add(endpoint.id);
}

/** Whether the endpoint did not take the request, but may take it later. */
function isWithoutRoom(result: attempt.AttemptResult): boolean {
  if (result.type === 'withheld') return true;
  if (result.type === 'not_run') return result.isFull;
  return result.type === 'not_sent' && result.isUnreachable;
}

/**
 * Whether a request of the route may be sent again to an endpoint that refused
 * it. Only one that uses a new connection for each send may: on a kept one, a
 * late copy of the refusal would pass for the answer to the second send.
 */
function mayReturn({repeat}: model.Route): boolean {
  return repeat === 'once';
}
