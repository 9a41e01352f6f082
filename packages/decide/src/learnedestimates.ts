/**
 * Estimates that are learned from the requests that this router sends. The time
 * until the first event is what an endpoint takes to read what it lacks of the
 * prompt, after what it still has to read for others, at its pace and fill, and
 * the wait for a slot. They apply to pools whose endpoints tell their load.
 */
import type * as fleetLoad from './fleetload.js';
import * as endpointPaces from './endpointpaces.js';
import type * as startEstimates from './startestimates.js';
import * as unansweredSends from './unansweredsends.js';
import * as workTimes from './worktimes.js';
import type * as workLeft from './workleft.js';

/** Kinds of work that are told apart; more are not estimated. */
const MAX_KINDS = 512;

/** Options of `LearnedStartEstimates`. */
export interface LearnedStartEstimatesOptions {
  readonly load: Pick<fleetLoad.FleetLoad, 'inFlight'>;
  readonly workLeft: workLeft.WorkLeft;
}

/** The state of an endpoint, as it was when a request was sent. */
interface EndpointState {
  readonly unreadTokens: number;
  readonly features: workTimes.StartFeatures;
  readonly learnedPace: number;
  /** Time until a slot is free, in ms. */
  readonly slotMs: number;
}

interface ObservedWork extends startEstimates.SentWork {
  readonly times: workTimes.WorkTimes;
  readonly state: EndpointState;
  /** Work that delays the first events of others, in ms. */
  readonly readMs: number;
  readonly unanswered?: unansweredSends.UnansweredSend;
  firstEventAtMs?: number;
  isEnded: boolean;
}

/** Learns times by kind of work, and the pace of each endpoint. */
export class LearnedStartEstimates
  implements startEstimates.StartEstimates, startEstimates.WorkObserver
{
  readonly isOn = true;
  private readonly timesByKind = new Map<string, workTimes.WorkTimes>();
  private readonly paces = new endpointPaces.EndpointPaces();
  private readonly unanswered = new unansweredSends.UnansweredSends();

  constructor(private readonly options: LearnedStartEstimatesOptions) {}

  estimate(
    work: startEstimates.RequestWork,
    endpoint: startEstimates.EstimatedEndpoint,
    nowMs: number,
  ): startEstimates.StartEstimate | undefined {
    const times = this.timesByKind.get(kindOf(work));
    if (!times?.isKnown) return undefined;
    const state = this.stateOf(work, endpoint, times, nowMs);
    return this.estimateIn(work, endpoint, times, state, nowMs);
  }

  recordSend(
    work: startEstimates.RequestWork,
    endpoint: startEstimates.EstimatedEndpoint,
    nowMs: number,
  ): startEstimates.SentWork {
    const times = this.timesOf(work);
    const state = this.stateOf(work, endpoint, times, nowMs);
    const estimate = times.isKnown
      ? this.estimateIn(work, endpoint, times, state, nowMs)
      : undefined;
    const readMs = times.readMs(state.unreadTokens) * state.learnedPace;
    if (readMs > 0) {
      this.options.workLeft.recordStart(endpoint.id, readMs, nowMs);
    }
    const unanswered = estimate && {
      sentAtMs: nowMs,
      expectedMs: estimate.firstEventMs,
    };
    if (unanswered) this.unanswered.add(endpoint.id, unanswered);
    const sent: ObservedWork = {
      work,
      endpoint,
      sentAtMs: nowMs,
      estimate,
      times,
      state,
      readMs,
      unanswered,
      isEnded: false,
    };
    return sent;
  }

  recordFirstEvent(sent: startEstimates.SentWork, nowMs: number): void {
    if (!isObserved(sent) || sent.firstEventAtMs !== undefined) return;
    sent.firstEventAtMs = nowMs;
    this.recordAnswered(sent, nowMs);
    const {id} = sent.endpoint;
    if (!this.paces.tellsLoad(id)) return;
    const {times, work, state} = sent;
    times.slots = this.slotsOf(id, times);
    const ownMs = Math.max(1, nowMs - sent.sentAtMs - state.slotMs);
    const toldPace = this.paces.toldPace(id, nowMs);
    const usualMs = times.startMs(work.route, state.features, nowMs);
    times.observeStart(
      work.route,
      state.features,
      ownMs / (state.learnedPace * toldPace),
      nowMs,
    );
    this.paces.observe(id, ownMs / (usualMs * toldPace), nowMs);
  }

  recordEnd(
    sent: startEstimates.SentWork,
    nowMs: number,
    isComplete: boolean,
  ): void {
    if (!isObserved(sent) || sent.isEnded) return;
    sent.isEnded = true;
    if (sent.firstEventAtMs === undefined) this.recordAnswered(sent, nowMs);
    if (!isComplete || sent.firstEventAtMs === undefined) return;
    const {times, work, state} = sent;
    const streamMs = (nowMs - sent.firstEventAtMs) / state.learnedPace;
    const features = streamFeatures(work, state);
    times.observeStream(work.route, features, streamMs, nowMs);
  }

  recordLoad(
    endpoint: string,
    load: startEstimates.EndpointLoad,
    nowMs: number,
  ): void {
    this.paces.recordLoad(endpoint, load, nowMs);
  }

  private recordAnswered(
    {endpoint: {id}, readMs, unanswered}: ObservedWork,
    nowMs: number,
  ): void {
    if (readMs > 0) this.options.workLeft.recordDone(id, readMs, nowMs);
    if (unanswered) this.unanswered.remove(id, unanswered);
  }

  private estimateIn(
    work: startEstimates.RequestWork,
    {id}: startEstimates.EstimatedEndpoint,
    times: workTimes.WorkTimes,
    state: EndpointState,
    nowMs: number,
  ): startEstimates.StartEstimate {
    const {route} = work;
    const {unreadTokens, features, learnedPace, slotMs} = state;
    const pace =
      learnedPace *
      Math.max(
        this.paces.toldPace(id, nowMs),
        this.unanswered.overdueRatio(id, nowMs),
      );
    const startMs = times.startMs(route, features, nowMs);
    const firstEventMs = startMs * pace + slotMs;
    const streamMs =
      times.streamMs(route, streamFeatures(work, state), nowMs) * learnedPace;
    const others = {...features, tokens: features.tokens - unreadTokens};
    const idleMs = startMs - times.startDelayMs(route, others, nowMs);
    const readMs = times.readMs(unreadTokens) * learnedPace;
    const slotTimeMs = work.promptTokens > 0 ? streamMs : firstEventMs;
    return {
      firstEventMs,
      completeMs: firstEventMs + streamMs,
      workMs: readMs + slotTimeMs / this.slotsOf(id, times),
      delayMs: firstEventMs - idleMs,
    };
  }

  private stateOf(
    work: startEstimates.RequestWork,
    {id, holdsPrefix}: startEstimates.EstimatedEndpoint,
    times: workTimes.WorkTimes,
    nowMs: number,
  ): EndpointState {
    const {promptTokens, sharedTokens} = work;
    const inFlight = this.options.load.inFlight(id, nowMs);
    const heldTokens = holdsPrefix ? sharedTokens : 0;
    const unreadTokens = Math.max(0, promptTokens - heldTokens);
    const learnedPace = this.paces.learnedPace(id, nowMs);
    const backlogMs =
      promptTokens > 0 ? this.options.workLeft.remainingMs(id, nowMs) : 0;
    const tokens = unreadTokens + times.tokensIn(backlogMs / learnedPace);
    const features = {tokens, inFlight};
    const slots = this.slotsOf(id, times);
    const excess = inFlight + 1 - slots;
    const slotMs =
      excess > 0
        ? (excess / slots) * learnedPace * this.slotTimeMs(work, times, nowMs)
        : 0;
    return {unreadTokens, features, learnedPace, slotMs};
  }

  /** Endpoints of one pool usually have the same number of slots. */
  private slotsOf(endpoint: string, times: workTimes.WorkTimes): number {
    return this.paces.slots(endpoint) ?? times.slots;
  }

  /** Time for which a request like this keeps a slot, in ms. */
  private slotTimeMs(
    work: startEstimates.RequestWork,
    times: workTimes.WorkTimes,
    nowMs: number,
  ): number {
    const {route, expectedOutputTokens: outputTokens} = work;
    const start = {tokens: work.promptTokens - work.sharedTokens, inFlight: 0};
    const stream = {outputTokens, inFlight: 0};
    return (
      times.startMs(route, start, nowMs) + times.streamMs(route, stream, nowMs)
    );
  }

  private timesOf(work: startEstimates.RequestWork): workTimes.WorkTimes {
    const kind = kindOf(work);
    const known = this.timesByKind.get(kind);
    if (known) return known;
    const times = new workTimes.WorkTimes();
    if (this.timesByKind.size < MAX_KINDS) this.timesByKind.set(kind, times);
    return times;
  }
}

function kindOf({
  pool,
  route,
  promptTokens,
}: startEstimates.RequestWork): string {
  return promptTokens > 0 ? pool : `${pool} ${route}`;
}

function streamFeatures(
  {expectedOutputTokens: outputTokens}: startEstimates.RequestWork,
  {features: {inFlight}}: EndpointState,
): workTimes.StreamFeatures {
  return {outputTokens, inFlight};
}

function isObserved(sent: startEstimates.SentWork): sent is ObservedWork {
  return 'times' in sent;
}
