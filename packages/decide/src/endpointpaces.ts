/**
 * Pace of each endpoint: how long its work takes relative to its pool, from its
 * answers, and for a moment from what it tells itself.
 */
import * as boundedMap from './boundedmap.js';
import * as forgettingRatio from './forgettingratio.js';
import type * as startEstimates from './startestimates.js';

const MAX_ENDPOINTS = 1_024;

/** An endpoint's own word on its pace is true for so long, in ms. */
const TOLD_PACE_VALID_MS = 100;

/** Bounds of the pace that an endpoint tells, relative to its mean. */
const MIN_TOLD_PACE = 0.5;
const MAX_TOLD_PACE = 6;

/** Few observations count, so that a pace that changes is soon known. */
const PACE_RATIO = {priorCount: 0.7, maxCount: 5, halfLifeMs: 30_000};

interface KnownEndpoint {
  /** Pace by answers, the mean of what the endpoint tells included. */
  readonly pace: forgettingRatio.ForgettingRatio;
  /** Mean of the paces that the endpoint told. */
  readonly told: forgettingRatio.ForgettingRatio;
  load?: startEstimates.EndpointLoad;
  loadAtMs: number;
}

/** Paces and slots by endpoint. */
export class EndpointPaces {
  private readonly endpoints = new boundedMap.BoundedMap<KnownEndpoint>(
    MAX_ENDPOINTS,
  );

  recordLoad(
    endpoint: string,
    load: startEstimates.EndpointLoad,
    nowMs: number,
  ): void {
    const known = this.entryOf(endpoint);
    known.load = load;
    known.loadAtMs = nowMs;
    const {pacePercent} = load;
    if (pacePercent !== undefined) known.told.observe(pacePercent / 100, nowMs);
  }

  /** Records how long work took, relative to an endpoint of the usual pace. */
  observe(endpoint: string, ratio: number, nowMs: number): void {
    this.entryOf(endpoint).pace.observe(ratio, nowMs);
  }

  /** Learned pace; above 1 is slower than usual. */
  learnedPace(endpoint: string, nowMs: number): number {
    return this.endpoints.get(endpoint)?.pace.value(nowMs) ?? 1;
  }

  /** Pace that the endpoint told relative to its mean, while true; else 1. */
  toldPace(endpoint: string, nowMs: number): number {
    const known = this.endpoints.get(endpoint);
    const percent = known?.load?.pacePercent;
    if (!known || percent === undefined) return 1;
    if (nowMs - known.loadAtMs > TOLD_PACE_VALID_MS) return 1;
    const ratio = percent / 100 / known.told.value(nowMs);
    return Math.max(MIN_TOLD_PACE, Math.min(MAX_TOLD_PACE, ratio));
  }

  tellsLoad(endpoint: string): boolean {
    return this.endpoints.get(endpoint)?.load !== undefined;
  }

  /** Slots that the endpoint told. */
  slots(endpoint: string): number | undefined {
    return this.endpoints.get(endpoint)?.load?.slots;
  }

  private entryOf(endpoint: string): KnownEndpoint {
    const known = this.endpoints.get(endpoint);
    if (known) return known;
    const entry: KnownEndpoint = {
      pace: new forgettingRatio.ForgettingRatio(PACE_RATIO),
      told: new forgettingRatio.ForgettingRatio(PACE_RATIO),
      loadAtMs: Number.NEGATIVE_INFINITY,
    };
    this.endpoints.set(endpoint, entry);
    return entry;
  }
}
