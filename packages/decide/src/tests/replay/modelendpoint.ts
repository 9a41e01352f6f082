/**
 * A small model of an endpoint that reads prompts and writes events. It works in
 * steps: each reads a chunk of the prompts, oldest first, and writes a token for
 * each prompt that has been read. Contexts of prefixes stay in a cache; the least
 * recently used yields. Requests wait for slots, and beyond a limit are refused.
 */
import type * as loadPattern from './loadpattern.js';

/** Times of a step, at the usual pace. */
const STEP_MS = 4;
const STEP_MS_PER_SLOT = 0.08;
const READ_TOKENS_PER_MS = 80;
const CHUNK_TOKENS = 1_024;

/** Fixed time before the first event, and tokens that make one event. */
const FIRST_MS = 40;
const TOKENS_PER_EVENT = 7;

const CACHE_TOKENS = 450_000;
const WAITING_PER_SLOT = 3;

/** A request at an endpoint. */
export interface ModelRun {
  readonly arrival: loadPattern.Arrival;
  /** Time to copy the shared part; absent if it has to be read. */
  readonly copyMs?: number;
  unreadTokens: number;
  /** Earliest time of the first event. */
  notBeforeMs: number;
  writtenTokens: number;
  firstEventAtMs?: number;
}

/** What callers of the endpoint are told. */
export interface EndpointEvents {
  onFirstEvent(run: ModelRun, nowMs: number): void;
  onEnd(run: ModelRun, nowMs: number): void;
}

type Paces = loadPattern.LoadPattern['endpoints'][number]['paces'];

/** One endpoint. */
export class ModelEndpoint {
  /** Tokens of prefixes that were read though no longer, or not yet, held. */
  readTokens = 0;
  copiedTokens = 0;
  /** When the current step ends; infinite while there is nothing to do. */
  stepEndsAtMs = Number.POSITIVE_INFINITY;
  private readonly waiting: ModelRun[] = [];
  private running: ModelRun[] = [];
  private readonly cache = new Map<string, number>();
  private reading: Array<{run: ModelRun; tokens: number}> = [];

  constructor(
    readonly id: string,
    readonly slots: number,
    private readonly paces: Paces,
    private readonly events: EndpointEvents,
  ) {}

  get runningCount(): number {
    return this.running.length;
  }

  get waitingCount(): number {
    return this.waiting.length;
  }

  pace(nowMs: number): number {
    return this.paces.findLast(({fromMs}) => fromMs <= nowMs)?.pace ?? 1;
  }

  /** Returns false if the endpoint refuses the request. */
  start(
    arrival: loadPattern.Arrival,
    nowMs: number,
    copyMs: number | undefined,
  ): boolean {
    if (this.waiting.length >= this.slots * WAITING_PER_SLOT) return false;
    const unreadTokens = arrival.promptTokens;
    this.waiting.push({
      arrival,
      copyMs,
      unreadTokens,
      notBeforeMs: 0,
      writtenTokens: 0,
    });
    if (this.stepEndsAtMs === Number.POSITIVE_INFINITY) this.beginStep(nowMs);
    return true;
  }

  /** Ends the step and begins the next one. */
  endStep(nowMs: number): void {
    this.finishReading(nowMs);
    for (const run of this.running) {
      const isReady = run.unreadTokens === 0 && nowMs >= run.notBeforeMs;
      if (!isReady || this.reading.some(each => each.run === run)) continue;
      run.writtenTokens += 1;
      const isFirst = run.firstEventAtMs === undefined;
      const eventTokens = Math.min(TOKENS_PER_EVENT, run.arrival.outputTokens);
      if (isFirst && run.writtenTokens >= eventTokens) {
        run.firstEventAtMs = nowMs;
        this.events.onFirstEvent(run, nowMs);
      }
    }
    const isDone = (run: ModelRun) =>
      run.writtenTokens >= run.arrival.outputTokens;
    const done = this.running.filter(isDone);
    this.running = this.running.filter(run => !isDone(run));
    for (const run of done) this.events.onEnd(run, nowMs);
    this.beginStep(nowMs);
  }

  private finishReading(nowMs: number): void {
    for (const {run, tokens} of this.reading) {
      run.unreadTokens -= tokens;
      if (run.unreadTokens > 0) continue;
      run.notBeforeMs =
        Math.max(nowMs, run.notBeforeMs) + FIRST_MS * this.pace(nowMs);
      this.keep(run.arrival);
    }
  }

  private beginStep(nowMs: number): void {
    this.admit(nowMs);
    this.reading = [];
    let chunkTokens = 0;
    for (const run of this.running) {
      const tokens = Math.min(run.unreadTokens, CHUNK_TOKENS - chunkTokens);
      if (tokens <= 0) continue;
      chunkTokens += tokens;
      this.reading.push({run, tokens});
    }
    if (this.running.length === 0) {
      this.stepEndsAtMs = Number.POSITIVE_INFINITY;
      return;
    }
    const stepMs =
      STEP_MS +
      STEP_MS_PER_SLOT * this.running.length +
      chunkTokens / READ_TOKENS_PER_MS;
    this.stepEndsAtMs = nowMs + stepMs * this.pace(nowMs);
  }

  private admit(nowMs: number): void {
    while (this.running.length < this.slots) {
      const run = this.waiting.shift();
      if (!run) return;
      const {prefix, sharedTokens, promptTokens} = run.arrival;
      if (this.cache.has(prefix)) {
        run.unreadTokens = promptTokens - sharedTokens;
        this.keep(run.arrival);
      } else if (run.copyMs !== undefined) {
        run.unreadTokens = promptTokens - sharedTokens;
        run.notBeforeMs = nowMs + run.copyMs;
        this.copiedTokens += sharedTokens;
      } else {
        this.readTokens += sharedTokens;
      }
      this.running.push(run);
    }
  }

  private keep({prefix, sharedTokens}: loadPattern.Arrival): void {
    this.cache.delete(prefix);
    this.cache.set(prefix, sharedTokens);
    let kept = [...this.cache.values()].reduce((sum, each) => sum + each, 0);
    for (const [oldest, tokens] of this.cache) {
      if (kept <= CACHE_TOKENS) return;
      this.cache.delete(oldest);
      kept -= tokens;
    }
  }
}
