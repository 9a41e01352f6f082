/**
 * Learned times of one kind of work: how long an endpoint takes until the first
 * event and from there to the end. Requests with a prompt are of one kind in
 * each pool; others are of one kind in each route. Times are those of an endpoint
 * at the usual pace that begins with the request at once.
 */
import * as forgettingFit from './forgettingfit.js';
import * as forgettingRatio from './forgettingratio.js';

/** What the time until the first event depends on. */
export interface StartFeatures {
  /** Tokens to read until then, those of earlier requests included. */
  readonly tokens: number;
  /** Other requests at the endpoint. */
  readonly inFlight: number;
}

/** What the time from the first event to the end depends on. */
export interface StreamFeatures {
  /** Absent if the caller does not say. */
  readonly outputTokens?: number;
  readonly inFlight: number;
}

/** Observations of a kind of work before its times are used. */
const MIN_OBSERVED = 8;

/** Routes of one kind that are told apart. */
const MAX_ROUTES = 256;

const ROUTE_RATIO = {priorCount: 4, maxCount: 60, halfLifeMs: 60_000};

/**
 * What slows all endpoints down, such as a lack of processor time of this router,
 * has to be known sooner than the fit learns it, or single endpoints would seem
 * slow.
 */
const RECENT_RATIO = {priorCount: 4, maxCount: 16, halfLifeMs: 3_000};

/** Indexes of the times of tokens and fill in the fit of the first event. */
const TOKENS = 1;
const FILL = 2;

/** A route's ratios to the times of its kind. */
interface RouteRatios {
  readonly start: forgettingRatio.ForgettingRatio;
  readonly stream: forgettingRatio.ForgettingRatio;
  /** Time from the first event to the end if the output's length is unknown. */
  readonly streamTime: forgettingFit.ForgettingFit;
}

/** Slots of an endpoint as long as none has told any. */
const DEFAULT_SLOTS = 16;

/** Times that are learned from the answers that pass this router. */
export class WorkTimes {
  /** Slots of an endpoint that has not told its own. */
  slots = DEFAULT_SLOTS;
  private readonly start = new forgettingFit.ForgettingFit([
    {unit: 1, priorMs: 50, minMs: 0.1, maxMs: 60_000},
    {unit: 1_000, priorMs: 10, minMs: 0.1, maxMs: 1_000},
    {unit: 10, priorMs: 5, minMs: 0, maxMs: 10_000},
  ]);
  private readonly stream = new forgettingFit.ForgettingFit([
    {unit: 1, priorMs: 5, minMs: 0, maxMs: 60_000},
    {unit: 100, priorMs: 500, minMs: 1, maxMs: 100_000},
    {unit: 1_000, priorMs: 100, minMs: 0, maxMs: 100_000},
  ]);
  /** Recent times at all endpoints, relative to the fit. */
  private readonly recent = new forgettingRatio.ForgettingRatio(RECENT_RATIO);
  private readonly ratiosByRoute = new Map<string, RouteRatios>();

  get isKnown(): boolean {
    return this.start.count >= MIN_OBSERVED;
  }

  /** Time to read so many tokens, in ms. */
  readMs(tokens: number): number {
    return this.start.timeOf(TOKENS, tokens);
  }

  /** Tokens that are read in the time. */
  tokensIn(timeMs: number): number {
    return (timeMs / this.start.timeOf(TOKENS, 1_000)) * 1_000;
  }

  startMs(route: string, features: StartFeatures, nowMs: number): number {
    return (
      this.start.predict(startValues(features)) * this.startRatio(route, nowMs)
    );
  }

  /** Part of the time until the first event that others cause, in ms. */
  startDelayMs(
    route: string,
    {tokens, inFlight}: StartFeatures,
    nowMs: number,
  ): number {
    const delayMs =
      this.start.timeOf(TOKENS, tokens) + this.start.timeOf(FILL, inFlight);
    return delayMs * this.startRatio(route, nowMs);
  }

  private startRatio(route: string, nowMs: number): number {
    const routeRatio = this.ratiosByRoute.get(route)?.start.value(nowMs) ?? 1;
    return routeRatio * this.recent.value(nowMs);
  }

  streamMs(route: string, features: StreamFeatures, nowMs: number): number {
    const ratios = this.ratiosByRoute.get(route);
    if (features.outputTokens === undefined) {
      return ratios?.streamTime.predict([1]) ?? 0;
    }
    const ratio = ratios?.stream.value(nowMs) ?? 1;
    return this.stream.predict(streamValues(features)) * ratio;
  }

  observeStart(
    route: string,
    features: StartFeatures,
    timeMs: number,
    nowMs: number,
  ): void {
    const {start: routeRatio} = this.ratiosOf(route);
    const values = startValues(features);
    const kindMs = this.start.predict(values);
    this.start.observe(values, timeMs / routeRatio.value(nowMs));
    this.recent.observe(timeMs / (kindMs * routeRatio.value(nowMs)), nowMs);
    routeRatio.observe(timeMs / kindMs, nowMs);
  }

  observeStream(
    route: string,
    features: StreamFeatures,
    timeMs: number,
    nowMs: number,
  ): void {
    const {stream: routeRatio, streamTime} = this.ratiosOf(route);
    if (features.outputTokens === undefined) {
      streamTime.observe([1], timeMs);
      return;
    }
    const values = streamValues(features);
    const kindMs = this.stream.predict(values);
    this.stream.observe(values, timeMs / routeRatio.value(nowMs));
    routeRatio.observe(Math.max(1, timeMs) / kindMs, nowMs);
  }

  private ratiosOf(route: string): RouteRatios {
    const known = this.ratiosByRoute.get(route);
    if (known) return known;
    const ratios: RouteRatios = {
      start: new forgettingRatio.ForgettingRatio(ROUTE_RATIO),
      stream: new forgettingRatio.ForgettingRatio(ROUTE_RATIO),
      streamTime: new forgettingFit.ForgettingFit([
        {unit: 1, priorMs: 50, minMs: 0, maxMs: 600_000},
      ]),
    };
    // Routes of earlier tables are forgotten when there are too many.
    if (this.ratiosByRoute.size >= MAX_ROUTES) this.ratiosByRoute.clear();
    this.ratiosByRoute.set(route, ratios);
    return ratios;
  }
}

function startValues({tokens, inFlight}: StartFeatures): readonly number[] {
  return [1, tokens, inFlight];
}

function streamValues({
  outputTokens = 0,
  inFlight,
}: StreamFeatures): readonly number[] {
  return [1, outputTokens, outputTokens * inFlight];
}
