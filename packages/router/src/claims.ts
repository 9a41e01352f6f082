/**
 * Claims of keys on the platform's log: which stream carries a key, one task
 * for each stream in use, and the life of a claim from its check to its end.
 */
import * as core from '@oleanderrock/core';
import * as claimStream from './claimstream.js';
import * as fleet from './fleet.js';
import type * as settings from './settings.js';

const RETRY_MS = 50;
/** How long entries that wait at a stop may take. */
const FLUSH_MS = 2_000;
const MARKS_PER_WINDOW = 2;
const MARK_CHECK_MS = 1_000;

/** A claim that was won. */
export interface Claim {
  readonly key: string;
  readonly attempt: string;
  /**
   * Monotonic time until which the call may be dispatched, counted from
   * before the claim was appended.
   */
  readonly untilMs: number;
}

/** Claims of keys. */
export interface Claims {
  /** Whether the key's own time allows a claim. */
  check(key: string): core.Result<void>;
  /** Claims the key; fails with what is known of the attempt that holds it. */
  claim(key: string): Promise<core.Result<Claim>>;
  /** Gives a claim back whose call was never dispatched. */
  release(claim: Claim): Promise<void>;
  /** Records that the call was answered. */
  answered(claim: Claim): void;
  /** Whether a claim is young enough to dispatch its call. */
  isValid(claim: Claim): boolean;
  /** The stream that carries a key's claims. */
  stream(key: string): string;
}

/** The contract under which the claims are registered. */
export const CLAIMS = core.contract<Claims>('claims', [
  'check',
  'claim',
  'release',
  'answered',
]);

/** Claims whose streams are followed while they are in use. */
export class LogClaims implements Claims, core.Lifecycle {
  private readonly tasks: core.TaskGroup;
  private readonly markers: core.TaskGroup;
  private readonly streams = new Map<string, claimStream.ClaimStream>();

  constructor(
    private readonly kernel: core.Kernel,
    private readonly own: settings.Settings,
  ) {
    this.tasks = new core.TaskGroup(kernel.find(core.LOGGER));
    this.markers = new core.TaskGroup(kernel.find(core.LOGGER));
  }

  start(): Promise<void> {
    this.markers.spawn('claim marks', signal => this.keepMarked(signal));
    return Promise.resolve();
  }

  /** Lets what waits go out, for a while, then ends the tasks. */
  async stop(): Promise<void> {
    await this.markers.stop();
    const clock = this.kernel.find(core.CLOCK);
    const deadlineMs = clock.nowMs() + FLUSH_MS;
    for (const stream of this.streams.values()) stream.close();
    while (this.tasks.size > 0 && clock.nowMs() < deadlineMs) {
      await clock.sleep(RETRY_MS);
    }
    await this.tasks.stop();
  }

  check(key: string): core.Result<void> {
    const wallMs = this.kernel.find(core.CLOCK).wallMs();
    const verdict = this.of(key).book.check(key, wallMs);
    if (verdict === 'fresh') return core.succeed(undefined);
    const windowMs = this.own.keyWindowMs;
    return core.fail(`key_${verdict}`, `keys are taken for ${windowMs} ms`);
  }

  claim(key: string): Promise<core.Result<Claim>> {
    return this.of(key).claim(key);
  }

  async release(claim: Claim): Promise<void> {
    const {key, attempt} = claim;
    await this.of(key).record({type: 'release', key, attempt});
  }

  answered(claim: Claim): void {
    const {key, attempt} = claim;
    void this.of(key).record({type: 'answered', key, attempt});
  }

  isValid(claim: Claim): boolean {
    return this.kernel.find(core.CLOCK).nowMs() <= claim.untilMs;
  }

  stream(key: string): string {
    // A UUID is the same key in either case, so both go to one stream.
    const hash = core.hash32(key.toLowerCase());
    return core.claimStream(hash % this.own.claimStreams);
  }

  /**
   * Keeps the streams that this router leads from running empty, so that a
   * router that boots finds a record older than the oldest live key.
   */
  private async keepMarked(signal: AbortSignal): Promise<void> {
    const known = this.kernel.find(fleet.FLEET);
    const clock = this.kernel.find(core.CLOCK);
    const periodMs = this.own.keyWindowMs / MARKS_PER_WINDOW;
    while (!signal.aborted) {
      for (let index = 0; index < this.own.claimStreams; index++) {
        const name = core.claimStream(index);
        const [leader] = known.isKnown() ? known.leaders(name) : [];
        if (leader === known.self()) this.open(name).mark(periodMs);
      }
      await clock.sleep(MARK_CHECK_MS, signal);
    }
  }

  private of(key: string): claimStream.ClaimStream {
    return this.open(this.stream(key));
  }

  private open(name: string): claimStream.ClaimStream {
    let stream = this.streams.get(name);
    if (!stream) {
      const made = new claimStream.ClaimStream(this.kernel, this.own, name);
      this.streams.set(name, made);
      this.tasks.spawn(name, signal => made.run(signal));
      stream = made;
    }
    return stream;
  }
}
