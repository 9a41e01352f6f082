/**
 * Test support: what transfers of state cost in a simulated fleet. A link and a
 * processor each serve one piece of work after the other; a transfer sends small
 * chunks, so that the transfers of a router share its link evenly. The time-outs
 * are those of `fetchJson`.
 */
import * as direct from '../index.js';
import type * as virtualClock from './virtualclock.js';

/** Speed of the links and processors of the routers. */
export interface TransferCosts {
  /** Bandwidth of a router's link in each direction, in Mbit/s. */
  readonly linkMbps: number;
  /** Processor time to encode the state, in ms per KB. */
  readonly encodeMsPerKb: number;
  /** Processor time to parse JSON and check its schema, in ms per KB. */
  readonly parseMsPerKb: number;
  /** Processor time to put tables in force, in ms per KB. */
  readonly activateMsPerKb: number;
}

/** Counters of the state that a router fetched and served. */
export interface TransferCounters {
  fetches: number;
  failedFetches: number;
  servedWholeTables: number;
  servedBytes: number;
}

/** The link and the processor of a router. */
export interface TransferResources {
  readonly upLink: SerialResource;
  readonly downLink: SerialResource;
  readonly processor: SerialResource;
}

/** One end of a transfer. */
export interface TransferPeer {
  readonly transfers: TransferCounters;
  readonly resources: TransferResources;
  readonly isRunning: boolean;
}

/** Time-outs of connecting, and of the response's head and body, in ms. */
const CONNECT_TIMEOUT_MS = 300;
const RESPONSE_TIMEOUT_MS = 1_000;

const CONNECT_MS = 2;
const CHUNK_BYTES = 8_192;
const BYTES_PER_KB = 1_024;
/** Maximum size of the records that one read of the store returns. */
const MAX_READ_BYTES = 1_024 * BYTES_PER_KB;
/** 1 Mbit/s in bytes per ms. */
const BYTES_PER_MS_PER_MBPS = 125;

/** A link or processor that serves one piece of work after the other. */
export class SerialResource {
  private busyUntilMs = 0;

  constructor(private readonly clock: virtualClock.VirtualClock) {}

  /** Resolves when the work, and all before it, is done. */
  async use(durationMs: number): Promise<void> {
    const nowMs = this.clock.nowMs();
    this.busyUntilMs = Math.max(nowMs, this.busyUntilMs) + durationMs;
    await this.clock.sleep(this.busyUntilMs - nowMs);
  }
}

/** Resources of a router that has done nothing yet. */
export function createResources(
  clock: virtualClock.VirtualClock,
): TransferResources {
  return {
    upLink: new SerialResource(clock),
    downLink: new SerialResource(clock),
    processor: new SerialResource(clock),
  };
}

/** Counters of a router that has done nothing yet. */
export function createCounters(): TransferCounters {
  return {fetches: 0, failedFetches: 0, servedWholeTables: 0, servedBytes: 0};
}

type Step = 'done' | 'timeout';

/** Transfers between the routers of a fleet. */
export class Transfers {
  private readonly jsonBytes = new WeakMap<object, number>();

  constructor(
    private readonly clock: virtualClock.VirtualClock,
    private readonly costs: TransferCosts,
  ) {}

  /** Fetches what `collect` returns at the moment at which it is served. */
  async fetch(
    receiver: TransferPeer,
    sender: TransferPeer | undefined,
    collect: () => direct.routerState.RouterState,
  ): Promise<direct.StateResult> {
    receiver.transfers.fetches += 1;
    const result = await this.tryFetch(receiver, sender, collect);
    if (result.type === 'failed') receiver.transfers.failedFetches += 1;
    return result;
  }

  /** Receives JSON from the store, whose own link is fast. */
  async receiveFromStore(
    receiver: TransferPeer,
    values: readonly unknown[],
  ): Promise<void> {
    const bytes = values.reduce<number>(
      (sum, value) => sum + this.bytesOf(value),
      0,
    );
    if (bytes === 0) return;
    await receiver.resources.downLink.use(this.linkMs(bytes));
    await this.process(receiver, bytes);
  }

  /** Number of the first values that one read of the store returns. */
  firstPage(values: readonly unknown[]): number {
    let bytes = 0;
    const count = values.findIndex(value => {
      bytes += this.bytesOf(value);
      return bytes > MAX_READ_BYTES;
    });
    return count < 0 ? values.length : Math.max(1, count);
  }

  private async tryFetch(
    receiver: TransferPeer,
    sender: TransferPeer | undefined,
    collect: () => direct.routerState.RouterState,
  ): Promise<direct.StateResult> {
    await this.clock.sleep(CONNECT_MS);
    if (!sender?.isRunning) {
      await this.clock.sleep(CONNECT_TIMEOUT_MS - CONNECT_MS);
      return {type: 'failed', detail: 'no connection'};
    }
    const transfer = {isCancelled: false};
    let state: direct.routerState.RouterState | undefined;
    let bytes = 0;
    const sendHead = async () => {
      // The state is collected when the processor gets to the request.
      await sender.resources.processor.use(0);
      state = collect();
      bytes = this.stateBytes(state);
      sender.transfers.servedBytes += bytes;
      if (state.tables) sender.transfers.servedWholeTables += 1;
      const encodeMs = (bytes / BYTES_PER_KB) * this.costs.encodeMsPerKb;
      await sender.resources.processor.use(encodeMs);
      await sender.resources.upLink.use(this.linkMs(CHUNK_BYTES));
    };
    if ((await this.withTimeout(sendHead())) === 'timeout') {
      return {type: 'failed', detail: 'no answer'};
    }
    const sendBody = async () => {
      for (let sent = CHUNK_BYTES; sent < bytes; sent += CHUNK_BYTES) {
        if (transfer.isCancelled || !sender.isRunning) return;
        await sender.resources.upLink.use(this.linkMs(CHUNK_BYTES));
        // The chunks pass the receiver's link while the next ones are sent.
        const isLast = sent + CHUNK_BYTES >= bytes;
        const isReceived = receiver.resources.downLink.use(
          this.linkMs(CHUNK_BYTES),
        );
        if (isLast) await isReceived;
      }
    };
    const step = await this.withTimeout(sendBody());
    transfer.isCancelled = true;
    if (step === 'timeout' || !sender.isRunning || !state) {
      return {type: 'failed', detail: 'the response was truncated'};
    }
    await this.process(receiver, bytes);
    return {type: 'state', state};
  }

  private async process(receiver: TransferPeer, bytes: number): Promise<void> {
    const {parseMsPerKb, activateMsPerKb} = this.costs;
    const msPerKb = parseMsPerKb + activateMsPerKb;
    await receiver.resources.processor.use((bytes / BYTES_PER_KB) * msPerKb);
  }

  private async withTimeout(work: Promise<void>): Promise<Step> {
    const done = work.then((): Step => 'done');
    const timeout = this.clock
      .sleep(RESPONSE_TIMEOUT_MS)
      .then((): Step => 'timeout');
    return Promise.race([done, timeout]);
  }

  private stateBytes(state: direct.routerState.RouterState): number {
    const {tables, patches = [], ...rest} = state;
    const parts: readonly unknown[] = [tables, ...patches];
    return parts.reduce<number>(
      (sum, part) => sum + this.bytesOf(part),
      JSON.stringify(rest).length,
    );
  }

  /** Size of the value's JSON; computed once for each object. */
  private bytesOf(value: unknown): number {
    if (typeof value !== 'object' || value === null) return 0;
    const known = this.jsonBytes.get(value);
    if (known !== undefined) return known;
    const bytes = JSON.stringify(value).length;
    this.jsonBytes.set(value, bytes);
    return bytes;
  }

  private linkMs(bytes: number): number {
    return bytes / (this.costs.linkMbps * BYTES_PER_MS_PER_MBPS);
  }
}
