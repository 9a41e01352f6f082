/**
 * A caller of the fleet. It looks up the addresses for a request with
 * `GET /where`, caches them for the time that the router states, and tries them
 * in order. A request goes to the next address only if no connection to the one
 * before could be made.
 */
import * as core from '@oleanderrock/core';
import * as lruCache from 'lru-cache';
import * as http from 'node:http';
import * as v from 'valibot';
import * as answers from './answers.js';
import * as httpCall from './httpcall.js';

const TIMEOUT_MS = 60_000;
const CONNECT_TIMEOUT_MS = 2_000;
const MAX_CACHED = 10_000;
const MAX_SOCKETS_PER_ROUTER = 1_024;
/** Needed for Node's agent to follow the Keep-Alive header of a router. */
const IDLE_TIMEOUT_MS = 30_000;

/** Schema of the response to `GET /where`. */
export const whereResponseSchema = v.object({
  addresses: v.array(
    v.object({name: v.string(), address: v.string(), port: v.number()}),
  ),
  keep_ms: v.number(),
});

/** Addresses that a request may be sent to, the best first. */
export type WhereResponse = v.InferOutput<typeof whereResponseSchema>;

/** Options of a caller. */
export interface CallerOptions {
  /** Entry addresses of routers for look-ups, tried in order. */
  readonly routers: readonly httpCall.CallAddress[];
  /** Time limit for the complete answer. */
  readonly timeoutMs?: number;
  readonly connectTimeoutMs?: number;
}

type AttemptOutcome = Exclude<httpCall.CallOutcome, {type: 'stale'}>;

/** Sends requests to the fleet. */
export class Caller {
  private readonly agent = new http.Agent({
    keepAlive: true,
    timeout: IDLE_TIMEOUT_MS,
    maxSockets: MAX_SOCKETS_PER_ROUTER,
  });
  private readonly cache = new lruCache.LRUCache<string, WhereResponse>({
    max: MAX_CACHED,
  });

  private resendCount = 0;

  constructor(private readonly options: CallerOptions) {}

  /** Requests sent again because a pooled connection was reset unanswered. */
  get resends(): number {
    return this.resendCount;
  }

  /** Sends a request and reads its complete answer. */
  async send(request: httpCall.CallRequest): Promise<answers.CallResult> {
    const where = await this.lookUpAddresses(request.chat ?? '', request.path);
    if (!where) return {type: 'broken', reason: 'no router answered /where'};
    const nonce = core.createId();
    let reason = 'the list of addresses is empty';
    for (const address of where.addresses) {
      const attempt = await this.attempt(address, request, nonce);
      if (attempt.type === 'raw') return answers.check(attempt.answer, nonce);
      this.cache.delete(cacheKey(request.chat ?? '', request.path));
      if (attempt.type === 'broken') return attempt;
      reason = attempt.reason;
    }
    return {type: 'broken', reason};
  }

  /** Addresses for requests of the chat; undefined if no router answers. */
  async lookUpAddresses(
    chat: string,
    path: string,
  ): Promise<WhereResponse | undefined> {
    const key = cacheKey(chat, path);
    const cached = this.cache.get(key);
    if (cached) return cached;
    for (const router of this.options.routers) {
      const where = await this.fetchWhere(router, chat, path);
      if (!where) continue;
      if (where.keep_ms > 0) this.cache.set(key, where, {ttl: where.keep_ms});
      return where;
    }
    return undefined;
  }

  /** Closes all connections. */
  close(): void {
    this.agent.destroy();
  }

  private async fetchWhere(
    router: httpCall.CallAddress,
    chat: string,
    path: string,
  ): Promise<WhereResponse | undefined> {
    const query = new URLSearchParams({chat, path}).toString();
    const request = {method: 'GET', path: `/where?${query}`, customer: ''};
    const attempt = await this.attempt(router, request, '');
    if (attempt.type !== 'raw' || attempt.answer.status !== 200) {
      return undefined;
    }
    const where = v.safeParse(
      whereResponseSchema,
      JSON.parse(attempt.answer.text),
    );
    return where.success ? where.output : undefined;
  }

  private async attempt(
    address: httpCall.CallAddress,
    request: httpCall.CallRequest,
    nonce: string,
  ): Promise<AttemptOutcome> {
    const outcome = await this.sendOnce(address, request, nonce, this.agent);
    if (outcome.type !== 'stale') return outcome;
    this.resendCount += 1;
    const retry = await this.sendOnce(address, request, nonce, false);
    return retry.type === 'stale' ? {...retry, type: 'broken'} : retry;
  }

  private sendOnce(
    address: httpCall.CallAddress,
    request: httpCall.CallRequest,
    nonce: string,
    agent: http.Agent | false,
  ): Promise<httpCall.CallOutcome> {
    return httpCall.sendCall(address, request, {
      nonce,
      agent,
      timeoutMs: this.options.timeoutMs ?? TIMEOUT_MS,
      connectTimeoutMs: this.options.connectTimeoutMs ?? CONNECT_TIMEOUT_MS,
    });
  }
}

function cacheKey(chat: string, path: string): string {
  return `${path} ${chat}`;
}
