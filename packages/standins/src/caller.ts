/**
 * A caller of the fleet: it asks a router which addresses to use, keeps that
 * answer for a while, and sends its requests there. Only where no connection
 * could be made does a request go on to the next address.
 */
import * as core from '@oleanderrock/core';
import * as lruCache from 'lru-cache';
import * as http from 'node:http';
import * as v from 'valibot';
import * as answers from './answers.js';
import * as onecall from './onecall.js';

const TIMEOUT_MS = 60_000;
const CONNECT_TIMEOUT_MS = 2_000;
const MAX_KEPT = 10_000;
const MAX_SOCKETS_PER_ROUTER = 1_024;
/** With a limit of its own, Node's agent heeds a router's Keep-Alive too. */
const IDLE_MS = 30_000;

/** Schema of the answer to `GET /where`. */
export const whereSchema = v.object({
  addresses: v.array(
    v.object({name: v.string(), address: v.string(), port: v.number()}),
  ),
  keep_ms: v.number(),
});

/** Where a request may go, the best address first. */
export type Where = v.InferOutput<typeof whereSchema>;

/** Options of a caller. */
export interface CallerOptions {
  /** Entry addresses of some routers. */
  readonly routers: readonly onecall.CallAddress[];
  /** How long a whole answer may take. */
  readonly timeoutMs?: number;
  readonly connectTimeoutMs?: number;
}

type Attempt = Exclude<onecall.Outcome, {type: 'stale'}>;

/** A caller of the fleet. */
export class Caller {
  private readonly agent = new http.Agent({
    keepAlive: true,
    timeout: IDLE_MS,
    maxSockets: MAX_SOCKETS_PER_ROUTER,
  });
  private readonly kept = new lruCache.LRUCache<string, Where>({max: MAX_KEPT});

  private resent = 0;

  constructor(private readonly options: CallerOptions) {}

  /** Requests sent again because a kept connection was reset unanswered. */
  get resends(): number {
    return this.resent;
  }

  /** Sends a request and reads its whole answer. */
  async send(request: onecall.CallRequest): Promise<answers.CallResult> {
    const where = await this.where(request.chat ?? '', request.path);
    if (!where) return {type: 'broken', reason: 'no router tells where'};
    const nonce = core.createId();
    let reason = 'there is no address';
    for (const address of where.addresses) {
      const attempt = await this.attempt(address, request, nonce);
      if (attempt.type === 'raw') return answers.check(attempt.answer, nonce);
      this.kept.delete(keptKey(request.chat ?? '', request.path));
      if (attempt.type === 'broken') return attempt;
      reason = attempt.reason;
    }
    return {type: 'broken', reason};
  }

  /** Where requests of the chat go; undefined where no router answers. */
  async where(chat: string, path: string): Promise<Where | undefined> {
    const key = keptKey(chat, path);
    const kept = this.kept.get(key);
    if (kept) return kept;
    for (const router of this.options.routers) {
      const where = await this.ask(router, chat, path);
      if (!where) continue;
      if (where.keep_ms > 0) this.kept.set(key, where, {ttl: where.keep_ms});
      return where;
    }
    return undefined;
  }

  /** Closes all connections. */
  close(): void {
    this.agent.destroy();
  }

  private async ask(
    router: onecall.CallAddress,
    chat: string,
    path: string,
  ): Promise<Where | undefined> {
    const query = new URLSearchParams({chat, path}).toString();
    const request = {method: 'GET', path: `/where?${query}`, customer: ''};
    const attempt = await this.attempt(router, request, '');
    if (attempt.type !== 'raw' || attempt.answer.status !== 200) {
      return undefined;
    }
    const where = v.safeParse(whereSchema, JSON.parse(attempt.answer.text));
    return where.success ? where.output : undefined;
  }

  private async attempt(
    address: onecall.CallAddress,
    request: onecall.CallRequest,
    nonce: string,
  ): Promise<Attempt> {
    const first = await this.call(address, request, nonce, this.agent);
    if (first.type !== 'stale') return first;
    this.resent += 1;
    const second = await this.call(address, request, nonce, false);
    return second.type === 'stale' ? {...second, type: 'broken'} : second;
  }

  private call(
    address: onecall.CallAddress,
    request: onecall.CallRequest,
    nonce: string,
    agent: http.Agent | false,
  ): Promise<onecall.Outcome> {
    return onecall.call(address, request, {
      nonce,
      agent,
      timeoutMs: this.options.timeoutMs ?? TIMEOUT_MS,
      connectTimeoutMs: this.options.connectTimeoutMs ?? CONNECT_TIMEOUT_MS,
    });
  }
}

function keptKey(chat: string, path: string): string {
  return `${path} ${chat}`;
}
