/**
 * Claims of idempotency keys on the platform's log. Each key belongs to one
 * stream, and each stream in use has one task. A claim is checked, appended,
 * and then either released or recorded as answered.
 */
import * as core from '@oleanderrock/core';
import * as claimStream from './claimstream.js';
import * as fleet from './fleet.js';
import type * as settings from './settings.js';

const FLUSH_POLL_MS = 50;
/** How long `stop` waits for pending entries to be appended. */
const FLUSH_TIMEOUT_MS = 2_000;
/** Number of markers appended to an idle stream within a key's validity. */
const MARKERS_PER_WINDOW = 2;
const MARKER_CHECK_INTERVAL_MS = 1_000;

/** A claim that came first on the log for its key. */
export interface Claim {
  readonly key: string;
  /** Id of this attempt to run the call. */
  readonly attempt: string;
  /**
   * Monotonic time until which the call may be dispatched; the validity is
   * counted from before the append.
   */
  readonly dispatchDeadlineMs: number;
}

/** Claims of idempotency keys. */
export interface Claims {
  /** Whether the key's creation time allows a claim. */
  checkKey(key: string): core.Result<void>;
  /** Claims the key; fails with the state of the attempt that holds it. */
  claim(key: string): Promise<core.Result<Claim>>;
  /** Releases a claim whose call did not run. */
  release(claim: Claim): Promise<void>;
  /** Records that the call was answered. */
  recordAnswered(claim: Claim): void;
  /** Whether the call may still be dispatched under the claim. */
  isValid(claim: Claim): boolean;
  /** The name of the stream that holds the key's claims. */
  streamName(key: string): string;
}

/** The contract under which the claims are registered. */
export const CLAIMS = core.contract<Claims>('claims', [
  'checkKey',
  'claim',
  'release',
  'recordAnswered',
]);

/** Claims on the log; a stream is opened at its first use. */
export class LogClaims implements Claims, core.Lifecycle {
  private readonly streamTasks: core.TaskGroup;
  private readonly markerTasks: core.TaskGroup;
  private readonly streams = new Map<string, claimStream.ClaimStream>();

  constructor(
    private readonly kernel: core.Kernel,
    private readonly routerSettings: settings.Settings,
  ) {
    this.streamTasks = new core.TaskGroup(kernel.find(core.LOGGER));
    this.markerTasks = new core.TaskGroup(kernel.find(core.LOGGER));
  }

  start(): Promise<void> {
    this.markerTasks.spawn('claim markers', signal =>
      this.appendMarkers(signal),
    );
    return Promise.resolve();
  }

  /** Waits a limited time for pending entries, then ends the tasks. */
  async stop(): Promise<void> {
    await this.markerTasks.stop();
    const clock = this.kernel.find(core.CLOCK);
    const deadlineMs = clock.nowMs() + FLUSH_TIMEOUT_MS;
    for (const stream of this.streams.values()) stream.close();
    while (this.streamTasks.size > 0 && clock.nowMs() < deadlineMs) {
      await clock.sleep(FLUSH_POLL_MS);
    }
    await this.streamTasks.stop();
  }

  checkKey(key: string): core.Result<void> {
    const wallClockMs = this.kernel.find(core.CLOCK).wallClockMs();
    const verdict = this.streamOf(key).registry.check(key, wallClockMs);
    if (verdict === 'fresh') return core.succeed(undefined);
    const windowMs = this.routerSettings.keyWindowMs;
    return core.fail(`key_${verdict}`, `a key is valid for ${windowMs} ms`);
  }

  claim(key: string): Promise<core.Result<Claim>> {
    return this.streamOf(key).claim(key);
  }

  async release(claim: Claim): Promise<void> {
    const {key, attempt} = claim;
    await this.streamOf(key).record({type: 'release', key, attempt});
  }

  recordAnswered(claim: Claim): void {
    const {key, attempt} = claim;
    void this.streamOf(key).record({type: 'answered', key, attempt});
  }

  isValid(claim: Claim): boolean {
    return this.kernel.find(core.CLOCK).nowMs() <= claim.dispatchDeadlineMs;
  }

  streamName(key: string): string {
    // UUIDs are case-insensitive: both spellings must map to the same stream.
    const hash = core.hash32(key.toLowerCase());
    return core.claimStreamName(hash % this.routerSettings.claimStreams);
  }

  /**
   * Appends a marker to each stream that this router leads before retention can
   * empty it. A starting router then finds a record older than the oldest valid
   * key, so it need not assume that claims were dropped.
   */
  private async appendMarkers(signal: AbortSignal): Promise<void> {
    const fleetView = this.kernel.find(fleet.FLEET);
    const clock = this.kernel.find(core.CLOCK);
    const periodMs = this.routerSettings.keyWindowMs / MARKERS_PER_WINDOW;
    while (!signal.aborted) {
      for (let index = 0; index < this.routerSettings.claimStreams; index++) {
        const name = core.claimStreamName(index);
        const [leader] = fleetView.hasInstanceList()
          ? fleetView.leaders(name)
          : [];
        if (leader === fleetView.self()) this.stream(name).addMarker(periodMs);
      }
      await clock.sleep(MARKER_CHECK_INTERVAL_MS, signal);
    }
  }

  private streamOf(key: string): claimStream.ClaimStream {
    return this.stream(this.streamName(key));
  }

  /** The stream with this name; opens it and spawns its task at first use. */
  private stream(name: string): claimStream.ClaimStream {
    let stream = this.streams.get(name);
    if (!stream) {
      const newStream = new claimStream.ClaimStream(
        this.kernel,
        this.routerSettings,
        name,
      );
      this.streams.set(name, newStream);
      this.streamTasks.spawn(name, signal => newStream.run(signal));
      stream = newStream;
    }
    return stream;
  }
}
