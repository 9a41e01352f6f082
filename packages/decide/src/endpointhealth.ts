/**
 * Health of endpoints, according to the outcomes of requests at all routers. An
 * endpoint whose failure rate is well above that of its pool, or that cannot be
 * reached, gets no new requests for a while. In a small fleet the routers tell
 * each other the outcomes that they counted. In a large one they pass on
 * failures only, and the successes of others follow from this router's own
 * rate of requests.
 */
import type * as core from '@oleanderrock/core';
import * as expiringSums from './expiringsums.js';

/** Outcomes of requests to one endpoint, as counts that decay with time. */
export interface Outcomes {
  readonly good: number;
  readonly failed: number;
}

/** A failure at an endpoint, as passed on between routers. */
export interface FailureNote {
  /** Random 32-bit number that identifies the note. */
  readonly id: number;
  readonly endpoint: string;
  readonly isUnreachable: boolean;
  /** Monotonic time of the failure, in ms. */
  readonly observedAtMs: number;
}

/** Tracks the health of endpoints. */
export interface EndpointHealth {
  recordSuccess(endpoint: string, nowMs: number): void;
  recordFailure(endpoint: string, nowMs: number): void;
  /** Records that this router cannot connect to the endpoint. */
  recordUnreachable(endpoint: string, nowMs: number): void;
  /** Replaces the outcomes received from another router. */
  applyRemote(
    router: string,
    outcomes: ReadonlyMap<string, Outcomes>,
    nowMs: number,
  ): void;
  /** Outcomes that this router observed recently, for its digests. */
  localCounts(nowMs: number): ReadonlyMap<string, Outcomes>;
  /** Failures that this router observed since the last call. */
  takeFailures(): readonly FailureNote[];
  /** Applies a note from another router; returns false if it is not new. */
  applyFailure(note: FailureNote, nowMs: number): boolean;
  /**
   * The endpoints of one pool that may get new requests. If most would be
   * excluded, the fault is more likely the router's own, and only those that it
   * cannot reach are excluded.
   */
  filterUsable(pool: readonly string[], nowMs: number): readonly string[];
  /** False for a while after a failed connection to the endpoint. */
  isReachable(endpoint: string, nowMs: number): boolean;
  /** Whether any endpoint may have come back a short time ago. */
  areAnyReturning(): boolean;
  /**
   * Whether the endpoint could not be reached a short time ago, so that it may
   * have started anew without having said so. False if most could not be: then
   * it was rather this router that was cut off.
   */
  isReturning(endpoint: string, nowMs: number): boolean;
  /** Drops the records of an endpoint that has been removed. */
  forget(endpoint: string): void;
}

/** Half-life of the weight of an outcome, in ms. */
const HALF_LIFE_MS = 2_000;

/** Total weight of outcomes below which a failure rate is not evaluated. */
const MIN_WEIGHT = 3;

/** Failure rate, 0 to 1, above which an endpoint may be excluded. */
const FAILURE_RATE_THRESHOLD = 0.3;

/** Multiple of the pool's failure rate that an endpoint must also exceed. */
const POOL_RATE_FACTOR = 1.8;

/** Duration of the first exclusion of an unreachable endpoint, in ms. */
const MIN_EXCLUDED_MS = 500;

/**
 * Maximum duration of the exclusion of an unreachable endpoint, in ms: engines
 * come back within a few seconds.
 */
const MAX_EXCLUDED_MS = 2_000;

/** How long outcomes received from another router stay valid, in ms. */
const REMOTE_VALID_MS = 2_500;

/** Weight of an endpoint's outcomes up to which they are not sent. */
const UNSENT_WEIGHT = 0.2;

/** Age at which a note of a failure is ignored, in ms. */
const MAX_NOTE_AGE_MS = 2_000;

/**
 * How long an endpoint counts as one that has come back after it could not be
 * reached, in ms: until its exclusion ends and the list of endpoints says how it
 * is.
 */
const RETURNING_MS = 4_500;

/** Absences that are believed however few endpoints this router has used. */
const MAX_FEW_ABSENCES = 2;

/**
 * Weight of other routers' notes from which an endpoint counts as unreachable:
 * two recent ones, since a single router may be cut off itself.
 */
const MIN_UNREACHABLE_WEIGHT = 1.4;

/** Exclusion of an endpoint that other routers cannot reach, in ms. */
const NOTED_EXCLUDED_MS = 1_000;

/** Maximum number of own failures that wait to be passed on. */
const MAX_UNSENT_FAILURES = 64;

/** Half-life of the weight of a request in this router's own rate, in ms. */
const RATE_HALF_LIFE_MS = 10_000;

/** Options of `DecayingHealth`. */
export interface DecayingHealthOptions {
  /** Number of live routers, this one included. */
  readonly routerCount: () => number;
  /** Source of the ids of notes. */
  readonly random: core.Random;
}

interface EndpointRecord {
  good: number;
  failed: number;
  /** Failures in the notes of other routers, and those without connection. */
  notedFailed: number;
  notedUnreachable: number;
  /** Requests of this router; decays slowly. */
  requestRate: number;
  /** Time up to which the counts have decayed. */
  decayedAtMs: number;
  unreachableUntilMs: number;
  /** Duration of the last exclusion; doubles with each one until a success. */
  unreachableMs: number;
}

/** Evaluates failure rates over decaying counts. */
export class DecayingHealth implements EndpointHealth {
  private readonly records = new Map<string, EndpointRecord>();
  private readonly remoteGood = new expiringSums.ExpiringSums(REMOTE_VALID_MS);
  private readonly remoteFailed = new expiringSums.ExpiringSums(
    REMOTE_VALID_MS,
  );
  /** Ids of received notes, with the time at which they arrived, in ms. */
  private readonly seenNotes = new Map<number, number>();
  private unsentFailures: FailureNote[] = [];
  /** When endpoints that could not be reached last failed to, in ms. */
  private readonly absences = new Map<string, number>();

  constructor(private readonly options: DecayingHealthOptions) {}

  recordSuccess(endpoint: string, nowMs: number): void {
    const record = this.decayedRecord(endpoint, nowMs);
    record.good += 1;
    record.requestRate += 1;
    record.unreachableMs = 0;
    record.unreachableUntilMs = 0;
  }

  recordFailure(endpoint: string, nowMs: number): void {
    const record = this.decayedRecord(endpoint, nowMs);
    record.failed += 1;
    record.requestRate += 1;
    this.queueNote(endpoint, false, nowMs);
  }

  recordUnreachable(endpoint: string, nowMs: number): void {
    this.recordAbsence(endpoint, nowMs);
    const record = this.decayedRecord(endpoint, nowMs);
    if (nowMs < record.unreachableUntilMs) return;
    record.failed += 1;
    if (record.notedUnreachable < MIN_UNREACHABLE_WEIGHT) {
      this.queueNote(endpoint, true, nowMs);
    }
    record.unreachableMs = Math.min(
      MAX_EXCLUDED_MS,
      record.unreachableMs * 2 || MIN_EXCLUDED_MS,
    );
    record.unreachableUntilMs = nowMs + record.unreachableMs;
  }

  applyRemote(
    router: string,
    outcomes: ReadonlyMap<string, Outcomes>,
    nowMs: number,
  ): void {
    const good = new Map<string, number>();
    const failed = new Map<string, number>();
    for (const [endpoint, counts] of outcomes) {
      if (counts.good > 0) good.set(endpoint, counts.good);
      if (counts.failed > 0) failed.set(endpoint, counts.failed);
    }
    this.remoteGood.replace(router, good, nowMs);
    this.remoteFailed.replace(router, failed, nowMs);
  }

  localCounts(nowMs: number): ReadonlyMap<string, Outcomes> {
    const outcomes = new Map<string, Outcomes>();
    for (const endpoint of this.records.keys()) {
      const {good, failed} = this.decayedRecord(endpoint, nowMs);
      if (good + failed > UNSENT_WEIGHT) outcomes.set(endpoint, {good, failed});
    }
    return outcomes;
  }

  takeFailures(): readonly FailureNote[] {
    const notes = this.unsentFailures;
    this.unsentFailures = [];
    return notes;
  }

  applyFailure(note: FailureNote, nowMs: number): boolean {
    const {id, endpoint, isUnreachable, observedAtMs} = note;
    if (this.seenNotes.has(id)) return false;
    if (nowMs - observedAtMs > MAX_NOTE_AGE_MS) return false;
    this.evictSeenNotes(nowMs);
    this.seenNotes.set(id, nowMs);
    const record = this.decayedRecord(endpoint, nowMs);
    if (!isUnreachable) {
      record.notedFailed += 1;
      return true;
    }
    record.notedUnreachable += 1;
    if (record.notedUnreachable < MIN_UNREACHABLE_WEIGHT) return true;
    this.recordAbsence(endpoint, nowMs);
    record.unreachableUntilMs = Math.max(
      record.unreachableUntilMs,
      nowMs + NOTED_EXCLUDED_MS,
    );
    return true;
  }

  filterUsable(pool: readonly string[], nowMs: number): readonly string[] {
    const reachable = pool.filter(id => this.isReachable(id, nowMs));
    if (reachable.length === 0) return pool;
    const expectedWeight = this.expectedWeight(pool, nowMs);
    const totals = reachable.map(id => ({
      id,
      outcomes: this.totalOutcomes(id, expectedWeight, nowMs),
    }));
    const threshold = failureThreshold(totals.map(({outcomes}) => outcomes));
    const healthy = totals
      .filter(({outcomes}) => !isFailing(outcomes, threshold))
      .map(({id}) => id);
    return healthy.length * 2 >= reachable.length ? healthy : reachable;
  }

  isReachable(endpoint: string, nowMs: number): boolean {
    return (this.records.get(endpoint)?.unreachableUntilMs ?? 0) <= nowMs;
  }

  areAnyReturning(): boolean {
    return this.absences.size > 0;
  }

  isReturning(endpoint: string, nowMs: number): boolean {
    if (!this.absences.has(endpoint)) return false;
    this.evictAbsences(nowMs);
    const isMost =
      this.absences.size > MAX_FEW_ABSENCES &&
      this.absences.size * 2 > this.records.size;
    return this.absences.has(endpoint) && !isMost;
  }

  forget(endpoint: string): void {
    this.absences.delete(endpoint);
    this.records.delete(endpoint);
  }

  /**
   * Outcomes at this router, plus the valid ones of other routers.
   * @param expectedWeight weight of the requests of all other routers to one
   *     endpoint of the pool
   */
  private totalOutcomes(
    endpoint: string,
    expectedWeight: number,
    nowMs: number,
  ): Outcomes {
    let good = this.remoteGood.sum(endpoint, nowMs);
    let failed = this.remoteFailed.sum(endpoint, nowMs);
    if (!this.records.has(endpoint)) return {good, failed};
    const record = this.decayedRecord(endpoint, nowMs);
    good += record.good;
    failed += record.failed + record.notedFailed;
    if (record.notedFailed > 0) {
      good += Math.max(0, expectedWeight - record.notedFailed);
    }
    return {good, failed};
  }

  /**
   * Weight of the recent requests of all other routers to one endpoint of the
   * pool, if they send as many as this one.
   */
  private expectedWeight(pool: readonly string[], nowMs: number): number {
    let ownRate = 0;
    for (const endpoint of pool) {
      if (!this.records.has(endpoint)) continue;
      ownRate += this.decayedRecord(endpoint, nowMs).requestRate;
    }
    const otherRouters = this.options.routerCount() - 1;
    const ownWeight = (ownRate * HALF_LIFE_MS) / RATE_HALF_LIFE_MS;
    return (ownWeight * otherRouters) / Math.max(1, pool.length);
  }

  private recordAbsence(endpoint: string, nowMs: number): void {
    // Deleting first keeps the order of the times.
    this.absences.delete(endpoint);
    this.absences.set(endpoint, nowMs);
  }

  private evictAbsences(nowMs: number): void {
    for (const [endpoint, atMs] of this.absences) {
      if (nowMs - atMs <= RETURNING_MS) return;
      this.absences.delete(endpoint);
    }
  }

  private queueNote(
    endpoint: string,
    isUnreachable: boolean,
    nowMs: number,
  ): void {
    if (this.unsentFailures.length >= MAX_UNSENT_FAILURES) {
      this.unsentFailures.shift();
    }
    const id = this.options.random.nextInt(2 ** 32);
    const note = {id, endpoint, isUnreachable, observedAtMs: nowMs};
    this.seenNotes.set(id, nowMs);
    this.unsentFailures.push(note);
  }

  /** Drops ids so old that their notes would be ignored. */
  private evictSeenNotes(nowMs: number): void {
    for (const [id, atMs] of this.seenNotes) {
      if (nowMs - atMs <= 2 * MAX_NOTE_AGE_MS) return;
      this.seenNotes.delete(id);
    }
  }

  /** The record of an endpoint, created on first use, decayed to `nowMs`. */
  private decayedRecord(endpoint: string, nowMs: number): EndpointRecord {
    let record = this.records.get(endpoint);
    if (!record) {
      record = {
        good: 0,
        failed: 0,
        notedFailed: 0,
        notedUnreachable: 0,
        requestRate: 0,
        decayedAtMs: nowMs,
        unreachableUntilMs: 0,
        unreachableMs: 0,
      };
      this.records.set(endpoint, record);
    }
    const elapsedMs = nowMs - record.decayedAtMs;
    if (elapsedMs <= 0) return record;
    const factor = 0.5 ** (elapsedMs / HALF_LIFE_MS);
    record.good *= factor;
    record.failed *= factor;
    record.notedFailed *= factor;
    record.notedUnreachable *= factor;
    record.requestRate *= 0.5 ** (elapsedMs / RATE_HALF_LIFE_MS);
    record.decayedAtMs = nowMs;
    return record;
  }
}

/**
 * Failure rate above which an endpoint of the pool counts as failing. Each
 * endpoint has the same part in the pool's rate: one that fails at once looks
 * idle, gets most requests, and would make its own rate that of the pool.
 */
function failureThreshold(pool: readonly Outcomes[]): number {
  const rates = pool.map(
    ({good, failed}) => failed / Math.max(MIN_WEIGHT, good + failed),
  );
  const poolRate = rates.reduce((sum, rate) => sum + rate, 0) / rates.length;
  return Math.max(FAILURE_RATE_THRESHOLD, poolRate * POOL_RATE_FACTOR);
}

function isFailing({good, failed}: Outcomes, threshold: number): boolean {
  const total = good + failed;
  return total >= MIN_WEIGHT && failed / total > threshold;
}

/** Baseline: every endpoint counts as healthy and reachable. */
export class NaiveHealth implements EndpointHealth {
  recordSuccess(): void {}

  recordFailure(): void {}

  recordUnreachable(): void {}

  applyRemote(): void {}

  localCounts(): ReadonlyMap<string, Outcomes> {
    return new Map();
  }

  takeFailures(): readonly FailureNote[] {
    return [];
  }

  applyFailure(): boolean {
    return false;
  }

  filterUsable(pool: readonly string[]): readonly string[] {
    return pool;
  }

  isReachable(): boolean {
    return true;
  }

  areAnyReturning(): boolean {
    return false;
  }

  isReturning(): boolean {
    return false;
  }

  forget(): void {}
}
