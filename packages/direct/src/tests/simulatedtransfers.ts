/**
 * Test support: what transfers of tables and state cost in a simulated fleet. A
 * link and a processor each serve one piece of work after the other; a transfer
 * sends small chunks, so that the transfers of a router share its link evenly.
 * The time-outs are those of `fetchJson`. Transfers are compressed, and what
 * many routers fetch is encoded once.
 */
import * as zlib from 'node:zlib';
import type * as direct from '../index.js';
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
  /** Bytes of the bodies of requests that it sent. */
  requestBytes: number;
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
  /** What it has encoded and keeps. */
  readonly encoded: WeakSet<object>;
  readonly resources: TransferResources;
  readonly isRunning: boolean;
}

/** Time-outs of connecting, and of the response's head and body, in ms. */
const CONNECT_TIMEOUT_MS = 300;
const RESPONSE_TIMEOUT_MS = 1_000;
const BODY_TIMEOUT_MS = 5_000;

/** Maximum size of a response of the store, in bytes. */
const MAX_READ_BYTES = 1_048_576;

const CONNECT_MS = 2;
const CHUNK_BYTES = 8_192;
const BYTES_PER_KB = 1_024;
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
  return {
    fetches: 0,
    failedFetches: 0,
    servedWholeTables: 0,
    servedBytes: 0,
    requestBytes: 0,
  };
}

type Step = 'done' | 'timeout';

/** What a router serves, in parts whose sizes are computed once. */
export interface Served<T> {
  readonly value: T;
  readonly parts: readonly object[];
}

/** The parts of an update of the tables. */
export function servedUpdate(
  value: direct.tablesUpdate.TablesUpdate,
): Served<direct.tablesUpdate.TablesUpdate> {
  const {tables, patches = [], difference} = value;
  const part = tables ?? difference;
  return {value, parts: part ? [part] : patches};
}

interface Size {
  readonly plainBytes: number;
  readonly wireBytes: number;
}

/** Transfers between the routers of a fleet. */
export class Transfers {
  private readonly sizes = new WeakMap<object, Size>();

  constructor(
    private readonly clock: virtualClock.VirtualClock,
    private readonly costs: TransferCosts,
  ) {}

  /**
   * Fetches what `collect` returns at the moment at which it is served, with a
   * request of the size in bytes.
   */
  async fetch<T>(
    receiver: TransferPeer,
    sender: TransferPeer | undefined,
    collect: () => Served<T>,
    requestBytes = 0,
  ): Promise<direct.Fetched<T>> {
    receiver.transfers.fetches += 1;
    receiver.transfers.requestBytes += requestBytes;
    const result = await this.tryFetch(receiver, sender, collect, requestBytes);
    if (result.type === 'failed') receiver.transfers.failedFetches += 1;
    return result;
  }

  /** The first records, up to the size that the store sends in one response. */
  limitRead<R extends {readonly value: unknown}>(
    records: readonly R[],
  ): readonly R[] {
    let bytes = 0;
    const end = records.findIndex(({value}, index) => {
      const isObject = typeof value === 'object' && value !== null;
      bytes += isObject ? this.sizeOf([value]).plainBytes : 0;
      return index > 0 && bytes > MAX_READ_BYTES;
    });
    return end < 0 ? records : records.slice(0, end);
  }

  /**
   * Receives JSON from the store, whose own link is fast; only the newest value
   * is processed.
   */
  async receiveFromStore(
    receiver: TransferPeer,
    values: readonly unknown[],
  ): Promise<void> {
    const objects = values.filter(
      (value): value is object => typeof value === 'object' && value !== null,
    );
    const {plainBytes} = this.sizeOf(objects);
    if (plainBytes === 0) return;
    await receiver.resources.downLink.use(this.linkMs(plainBytes));
    await this.process(receiver, this.sizeOf(objects.slice(-1)).plainBytes);
  }

  private async tryFetch<T>(
    receiver: TransferPeer,
    sender: TransferPeer | undefined,
    collect: () => Served<T>,
    requestBytes: number,
  ): Promise<direct.Fetched<T>> {
    await this.clock.sleep(CONNECT_MS);
    if (!sender?.isRunning) {
      await this.clock.sleep(CONNECT_TIMEOUT_MS - CONNECT_MS);
      return {type: 'failed', detail: 'no connection'};
    }
    const transfer = {isCancelled: false};
    let served: Served<T> | undefined;
    let size: Size = {plainBytes: 0, wireBytes: 0};
    const sendHead = async () => {
      await receiver.resources.upLink.use(this.linkMs(requestBytes));
      await sender.resources.downLink.use(this.linkMs(requestBytes));
      // The value is collected when the processor gets to the request.
      await sender.resources.processor.use(0);
      served = collect();
      size = this.sizeOf(served.parts);
      this.count(sender, served.parts, size);
      await sender.resources.processor.use(
        this.encodeMs(sender, served.parts, size),
      );
      await sender.resources.upLink.use(this.linkMs(CHUNK_BYTES));
    };
    const headStep = await this.withTimeout(sendHead(), RESPONSE_TIMEOUT_MS);
    if (headStep === 'timeout') return {type: 'failed', detail: 'no answer'};
    const sendBody = async () => {
      for (let sent = CHUNK_BYTES; sent < size.wireBytes; sent += CHUNK_BYTES) {
        if (transfer.isCancelled || !sender.isRunning) return;
        await sender.resources.upLink.use(this.linkMs(CHUNK_BYTES));
        // The chunks pass the receiver's link while the next ones are sent.
        const isLast = sent + CHUNK_BYTES >= size.wireBytes;
        const isReceived = receiver.resources.downLink.use(
          this.linkMs(CHUNK_BYTES),
        );
        if (isLast) await isReceived;
      }
    };
    const step = await this.withTimeout(sendBody(), BODY_TIMEOUT_MS);
    transfer.isCancelled = true;
    if (step === 'timeout' || !sender.isRunning || !served) {
      return {type: 'failed', detail: 'the response was truncated'};
    }
    await this.process(receiver, size.plainBytes);
    return {type: 'fetched', value: served.value};
  }

  private count(
    {transfers}: TransferPeer,
    parts: readonly object[],
    {wireBytes}: Size,
  ): void {
    transfers.servedBytes += wireBytes;
    const isWhole = parts.some(part => 'routes' in part && 'limits' in part);
    // Patches and differences are based on another version.
    const isPatch = parts.some(part => 'baseVersion' in part);
    if (isWhole && !isPatch) transfers.servedWholeTables += 1;
  }

  /** Time to encode the parts; none for parts that were encoded before. */
  private encodeMs(
    {encoded}: TransferPeer,
    parts: readonly object[],
    {plainBytes}: Size,
  ): number {
    const last = parts.at(-1);
    if (!last || encoded.has(last)) return 0;
    encoded.add(last);
    return (plainBytes / BYTES_PER_KB) * this.costs.encodeMsPerKb;
  }

  private async process(receiver: TransferPeer, bytes: number): Promise<void> {
    const {parseMsPerKb, activateMsPerKb} = this.costs;
    const msPerKb = parseMsPerKb + activateMsPerKb;
    await receiver.resources.processor.use((bytes / BYTES_PER_KB) * msPerKb);
  }

  private async withTimeout(
    work: Promise<void>,
    timeoutMs: number,
  ): Promise<Step> {
    const done = work.then((): Step => 'done');
    const timeout = this.clock.sleep(timeoutMs).then((): Step => 'timeout');
    return Promise.race([done, timeout]);
  }

  /** Sizes of the parts' JSON; each is computed once. */
  private sizeOf(parts: readonly object[]): Size {
    let plainBytes = 0;
    let wireBytes = 0;
    for (const part of parts) {
      let size = this.sizes.get(part);
      if (!size) {
        const json = JSON.stringify(part);
        const {length} = zlib.gzipSync(json, {level: 1});
        size = {plainBytes: json.length, wireBytes: length};
        this.sizes.set(part, size);
      }
      plainBytes += size.plainBytes;
      wireBytes += size.wireBytes;
    }
    return {plainBytes, wireBytes};
  }

  private linkMs(bytes: number): number {
    return bytes / (this.costs.linkMbps * BYTES_PER_MS_PER_MBPS);
  }
}
