/**
 * Stand-in for the users' store: topics by key over HTTP, as the platform's
 * pages describe them, with the faults that the pages name.
 */
import * as http from 'node:http';
import type * as net from 'node:net';
import * as core from '@oleanderrock/core';

/** How the store treats calls. */
export type StoreMode = 'up' | 'refusing' | 'resetting' | 'silent';

interface StoredRecord {
  readonly key: string;
  readonly value: Buffer;
}

const CONFIG_TOPIC = 'keyed.op';
const ENDPOINT_TOPIC = 'keyed.servers';

const OFFSET_BYTES = 8;
const LENGTH_BYTES = 4;

/** One topic with one partition. */
class Topic {
  readonly records: Array<StoredRecord | undefined> = [];
  /** Offset of the first record that is kept. */
  first = 0;
  private waiting: Array<() => void> = [];

  append(record: StoredRecord): number {
    this.records.push(record);
    this.wake();
    return this.records.length - 1;
  }

  /** Ends all waits. */
  wake(): void {
    const woken = this.waiting;
    this.waiting = [];
    for (const wake of woken) wake();
  }

  /** Resolves at the next append, or after the wait. */
  async next(waitMs: number): Promise<void> {
    await new Promise<void>(resolve => {
      const timer = setTimeout(resolve, waitMs);
      this.waiting.push(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }

  newest(): Array<{key: string; value: string; offset: number}> {
    const last = new Map<string, number>();
    this.records.forEach((record, offset) => {
      if (record) last.set(record.key, offset);
    });
    return [...last]
      .map(([key, offset]) => ({
        key,
        value: this.records[offset]!.value.toString('base64'),
        offset,
      }))
      .filter(({value}) => value !== '');
  }
}

/** The store. */
export class TopicStore {
  /** How calls are treated; `refused` goes before it. */
  mode: StoreMode = 'up';
  /** Remote addresses that are turned away while others are served. */
  readonly refused = new Set<string>();
  /** Calls that were taken, by path. */
  readonly calls: string[] = [];
  private readonly topics = new Map<string, Topic>();
  private readonly server: http.Server;

  constructor() {
    this.server = http.createServer((request, response) => {
      void this.serve(request, response);
    });
  }

  /** Listens on a port that the system chooses; resolves with it. */
  async start(address: string): Promise<number> {
    await new Promise<void>(resolve => this.server.listen(0, address, resolve));
    return (this.server.address() as net.AddressInfo).port;
  }

  async stop(): Promise<void> {
    const closed = new Promise(resolve => this.server.close(resolve));
    this.server.closeAllConnections();
    for (const topic of this.topics.values()) topic.wake();
    await closed;
  }

  /** Writes a key as its owner does; without a value, drops it. */
  put(topic: string, key: string, value?: unknown): number {
    const text = value === undefined ? '' : JSON.stringify(value);
    return this.topic(topic).append({key, value: Buffer.from(text)});
  }

  /** Writes the operators' configuration. */
  publish(config: Record<string, unknown>): number {
    return this.put(CONFIG_TOPIC, 'config', config);
  }

  /** Writes an endpoint's entry; without one, drops it. */
  list(id: string, entry?: Record<string, unknown>): number {
    return this.put(ENDPOINT_TOPIC, id, entry);
  }

  /** Drops the history of the endpoints' entries. */
  compactEndpoints(): void {
    this.compact(ENDPOINT_TOPIC);
  }

  /** Writes bytes that may be no JSON. */
  putRaw(topic: string, key: string, value: Buffer): number {
    return this.topic(topic).append({key, value});
  }

  /** Keys of a topic that have a value. */
  keys(topic: string): string[] {
    return this.topic(topic)
      .newest()
      .map(({key}) => key);
  }

  /** Drops the history; the newest record of each key stays. */
  compact(topic: string): void {
    const stored = this.topic(topic);
    stored.first = stored.records.length;
  }

  private topic(name: string): Topic {
    const found = this.topics.get(name) ?? new Topic();
    this.topics.set(name, found);
    return found;
  }

  private async serve(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://store');
    this.calls.push(url.pathname);
    if (this.mode === 'resetting') return void request.socket.destroy();
    if (this.mode === 'silent') return;
    const isRefused = this.refused.has(request.socket.remoteAddress ?? '');
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
    if (from < topic.first) {
      return core.listener.sendJson(response, 410, {first: topic.first});
    }
    if (from >= topic.records.length && waitMs > 0) await topic.next(waitMs);
    const head = Buffer.alloc(2 * OFFSET_BYTES);
    head.writeBigUInt64BE(BigInt(topic.records.length), 0);
    head.writeBigUInt64BE(BigInt(topic.first), OFFSET_BYTES);
    const records = topic.records.slice(from).map(record => frame(record!));
    const body = Buffer.concat([head, ...records]);
    response.writeHead(200, {'content-length': body.length});
    response.end(body);
  }
}

function sendNewest(response: http.ServerResponse, topic: Topic): void {
  core.listener.sendJson(response, 200, {
    items: topic.newest(),
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

function frame({key, value}: StoredRecord): Buffer {
  const name = Buffer.from(key);
  const content = Buffer.concat([Buffer.from([name.length]), name, value]);
  const length = Buffer.alloc(LENGTH_BYTES);
  length.writeUInt32BE(content.length);
  return Buffer.concat([length, content]);
}
