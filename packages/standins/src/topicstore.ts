/**
 * Stand-in for the store of the hosted platform: topics of keyed records over
 * HTTP, with injectable faults.
 */
import * as http from 'node:http';
import type * as net from 'node:net';
import * as core from '@oleanderrock/core';

/** How the store answers requests: normally, with 503, by a reset, or never. */
export type StoreMode = 'up' | 'refusing' | 'resetting' | 'silent';

interface StoredRecord {
  readonly key: string;
  readonly value: Buffer;
}

const CONFIG_TOPIC = 'keyed.op';
const ENDPOINT_TOPIC = 'keyed.servers';

const OFFSET_BYTES = 8;
const LENGTH_BYTES = 4;

/** A topic with a single partition. */
class Topic {
  readonly records: Array<StoredRecord | undefined> = [];
  /** Offset of the first record that can still be read. */
  firstOffset = 0;
  private waiters: Array<() => void> = [];

  append(record: StoredRecord): number {
    this.records.push(record);
    this.notifyAll();
    return this.records.length - 1;
  }

  /** Wakes all waiting readers. */
  notifyAll(): void {
    const waiters = this.waiters;
    this.waiters = [];
    for (const wake of waiters) wake();
  }

  /** Resolves on the next append or after `waitMs`. */
  async wait(waitMs: number): Promise<void> {
    await new Promise<void>(resolve => {
      const timer = setTimeout(resolve, waitMs);
      this.waiters.push(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }

  newestRecords(): Array<{key: string; value: string; offset: number}> {
    const offsetByKey = new Map<string, number>();
    this.records.forEach((record, offset) => {
      if (record) offsetByKey.set(record.key, offset);
    });
    return [...offsetByKey]
      .map(([key, offset]) => ({
        key,
        value: this.records[offset]!.value.toString('base64'),
        offset,
      }))
      .filter(({value}) => value !== '');
  }
}

/** HTTP server of the store. */
export class TopicStore {
  /** How requests are answered, except those of refused addresses. */
  mode: StoreMode = 'up';
  /** Remote addresses whose requests are answered with 503. */
  readonly refusedAddresses = new Set<string>();
  /** Paths of all requests received, in order. */
  readonly requestPaths: string[] = [];
  /** Paths and queries of all requests received, in order. */
  readonly requestUrls: string[] = [];
  /** Reads that wait for a record. */
  private readonly waitingReads = new Set<{isSilenced: boolean}>();
  private readonly topics = new Map<string, Topic>();
  private readonly server: http.Server;

  constructor() {
    this.server = http.createServer((request, response) => {
      void this.serve(request, response);
    });
    this.server.maxHeadersCount = 0;
  }

  /** Listens on a port that the system chooses, and returns it. */
  async start(address: string): Promise<number> {
    await new Promise<void>(resolve => this.server.listen(0, address, resolve));
    return (this.server.address() as net.AddressInfo).port;
  }

  async stop(): Promise<void> {
    const closed = new Promise(resolve => this.server.close(resolve));
    this.server.closeAllConnections();
    for (const topic of this.topics.values()) topic.notifyAll();
    await closed;
  }

  /** Writes a key as JSON; deletes it if there is no value. */
  put(topic: string, key: string, value?: unknown): number {
    const text = value === undefined ? '' : JSON.stringify(value);
    return this.topic(topic).append({key, value: Buffer.from(text)});
  }

  /** Writes the configuration as an operator does. */
  putConfig(config: Record<string, unknown>): number {
    return this.put(CONFIG_TOPIC, 'config', config);
  }

  /** Writes an endpoint's entry; deletes it if there is none. */
  putEndpoint(id: string, entry?: Record<string, unknown>): number {
    return this.put(ENDPOINT_TOPIC, id, entry);
  }

  /** Compacts the topic of the endpoints' entries. */
  compactEndpoints(): void {
    this.compact(ENDPOINT_TOPIC);
  }

  /** Writes bytes that need not be JSON. */
  putRaw(topic: string, key: string, value: Buffer): number {
    return this.topic(topic).append({key, value});
  }

  /**
   * Leaves the reads that wait now unanswered for good, as if their connections
   * had gone silent; returns their number.
   */
  silenceWaitingReads(): number {
    for (const read of this.waitingReads) read.isSilenced = true;
    return this.waitingReads.size;
  }

  /** Keys of a topic that have a value. */
  keys(topic: string): string[] {
    return this.topic(topic)
      .newestRecords()
      .map(({key}) => key);
  }

  /** Drops all offsets so far; the newest value of each key is kept. */
  compact(topic: string): void {
    const compacted = this.topic(topic);
    compacted.firstOffset = compacted.records.length;
  }

  private topic(name: string): Topic {
    const topic = this.topics.get(name) ?? new Topic();
    this.topics.set(name, topic);
    return topic;
  }

  private async serve(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://store');
    this.requestPaths.push(url.pathname);
    this.requestUrls.push(`${url.pathname}${url.search}`);
    if (this.mode === 'resetting') return void request.socket.destroy();
    if (this.mode === 'silent') return;
    const isRefused = this.refusedAddresses.has(
      request.socket.remoteAddress ?? '',
    );
    if (this.mode === 'refusing' || isRefused) {
      return core.listener.sendJson(response, 503, {});
    }
    const topic = this.topic(url.searchParams.get('topic') ?? '');
    if (url.pathname === '/log-newest') return sendNewest(response, topic);
    if (url.pathname === '/log-read') {
      return this.sendRecords(response, topic, url.searchParams);
    }
    if (url.pathname === '/log-append') {
      return appendRecords(request, response, topic);
    }
    core.listener.sendJson(response, 404, {});
  }

  private async sendRecords(
    response: http.ServerResponse,
    topic: Topic,
    query: URLSearchParams,
  ): Promise<void> {
    const from = Number(query.get('from'));
    const waitMs = Number(query.get('waitMs') ?? 0);
    if (from < topic.firstOffset) {
      return core.listener.sendJson(response, 410, {first: topic.firstOffset});
    }
    if (from >= topic.records.length && waitMs > 0) {
      const read = {isSilenced: false};
      this.waitingReads.add(read);
      await topic.wait(waitMs);
      this.waitingReads.delete(read);
      if (read.isSilenced) return;
    }
    const header = Buffer.alloc(2 * OFFSET_BYTES);
    header.writeBigUInt64BE(BigInt(topic.records.length), 0);
    header.writeBigUInt64BE(BigInt(topic.firstOffset), OFFSET_BYTES);
    const records = topic.records
      .slice(from)
      .map(record => encodeRecord(record!));
    const body = Buffer.concat([header, ...records]);
    response.writeHead(200, {'content-length': body.length});
    response.end(body);
  }
}

function sendNewest(response: http.ServerResponse, topic: Topic): void {
  core.listener.sendJson(response, 200, {
    items: topic.newestRecords(),
    hasMore: false,
    end: topic.records.length,
  });
}

async function appendRecords(
  request: http.IncomingMessage,
  response: http.ServerResponse,
  topic: Topic,
): Promise<void> {
  const body = await core.listener.readBody(request, 2 * 1_024 * 1_024);
  if (!body.ok) return;
  const keyEnd = LENGTH_BYTES + 1 + body.value[LENGTH_BYTES]!;
  const key = body.value.toString('utf8', LENGTH_BYTES + 1, keyEnd);
  const value = Buffer.from(body.value.subarray(keyEnd));
  const offset = topic.append({key, value});
  core.listener.sendJson(response, 200, {
    offset,
    end: topic.records.length,
  });
}

function encodeRecord({key, value}: StoredRecord): Buffer {
  const keyBytes = Buffer.from(key);
  const content = Buffer.concat([
    Buffer.from([keyBytes.length]),
    keyBytes,
    value,
  ]);
  const length = Buffer.alloc(LENGTH_BYTES);
  length.writeUInt32BE(content.length);
  return Buffer.concat([length, content]);
}
