/**
 * Plays a trace on a fleet: each call is sent at its time whatever became of
 * the earlier ones, but a chat's turn waits for the answer to the turn before.
 */
import * as core from '@oleanderrock/core';
import * as standins from '@oleanderrock/standins';
import * as perfHooks from 'node:perf_hooks';
import * as deployments from './deployment.js';
import type * as traces from './trace.js';

const CALLERS = 6;
const TIMEOUT_MS = 30_000;
const CONNECT_TIMEOUT_MS = 2_000;
const COPY_GAP_MS = 20;
const NS_PER_MS = 1_000_000;

/** One request of a trace that was sent, with what came back. */
export interface Played {
  readonly call: traces.Call;
  readonly result: standins.CallResult;
  /** Wall-clock time of sending. */
  readonly sentAtMs: number;
  /** Wall-clock time at which the answer was whole. */
  readonly endedAtMs: number;
  /** Key of a call that may not be repeated. */
  readonly key?: string;
}

/** Plays traces on the routers with the given addresses. */
export class Player {
  private readonly clock = new core.SystemClock();
  private readonly routers: readonly standins.CallAddress[];
  private readonly callers: readonly standins.Caller[];
  private readonly turns = new Map<string, Promise<void>>();
  private readonly delay = perfHooks.monitorEventLoopDelay({resolution: 5});
  private played: Played[] = [];
  private sent = 0;

  /** @param addresses entry addresses, as `127.0.0.1:8080` */
  constructor(addresses: readonly string[]) {
    this.routers = addresses.map(text => {
      const [address = '', port] = text.split(':');
      return {address, port: Number(port)};
    });
    this.callers = [...Array(CALLERS).keys()].map(index => {
      const routers = this.rotated(index);
      return new standins.Caller({routers, timeoutMs: TIMEOUT_MS});
    });
  }

  /** Plays a trace to its end and resolves with all that was sent. */
  async play(trace: readonly traces.Call[]): Promise<Played[]> {
    const beganMs = this.clock.nowMs();
    const running: Array<Promise<void>> = [];
    this.delay.reset();
    this.delay.enable();
    this.played = [];
    this.turns.clear();
    for (const call of trace) {
      const delayMs = beganMs + call.atMs - this.clock.nowMs();
      if (delayMs > 1) await this.clock.sleep(delayMs);
      running.push(this.start(call));
    }
    await Promise.all(running);
    this.delay.disable();
    return this.played;
  }

  /** How late this process itself ran, 99th percentile of the last trace. */
  get ownDelayMs(): number {
    return this.delay.percentile(99) / NS_PER_MS;
  }

  /** Closes all connections. */
  close(): void {
    for (const caller of this.callers) caller.close();
  }

  private start(call: traces.Call): Promise<void> {
    this.sent += 1;
    if (call.type === 'certificate') return this.issue(call, this.sent);
    if (call.type !== 'chat') return this.sendOnce(call);
    const before = this.turns.get(call.chat) ?? Promise.resolve();
    const turn = before.then(() => this.sendOnce(call));
    this.turns.set(call.chat, turn);
    return turn;
  }

  private sendOnce(call: traces.Call): Promise<void> {
    const caller = this.callers[core.hash32(call.customer) % CALLERS]!;
    return this.record(call, undefined, () => caller.send(toRequest(call)));
  }

  /** Sends a certificate, and its copies each through another router. */
  private async issue(
    call: traces.CertificateCall,
    number: number,
  ): Promise<void> {
    const key = core.createId();
    const copies = [...Array(call.copies).keys()].map(async copy => {
      await this.clock.sleep(copy * COPY_GAP_MS);
      const router = this.routers[(number + copy) % this.routers.length]!;
      return this.record(call, key, () => this.sendTo(router, call, key));
    });
    await Promise.all(copies);
  }

  private async sendTo(
    router: standins.CallAddress,
    call: traces.Call,
    key: string,
  ): Promise<standins.CallResult> {
    const nonce = core.createId();
    const request = {...toRequest(call), idempotencyKey: key};
    const outcome = await standins.call(router, request, {
      nonce,
      agent: false,
      timeoutMs: TIMEOUT_MS,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
    });
    if (outcome.type === 'raw') return standins.check(outcome.answer, nonce);
    return {type: 'broken', reason: outcome.reason};
  }

  private async record(
    call: traces.Call,
    key: string | undefined,
    send: () => Promise<standins.CallResult>,
  ): Promise<void> {
    const sentAtMs = this.clock.wallClockMs();
    const result = await send();
    const endedAtMs = this.clock.wallClockMs();
    this.played.push({call, result, sentAtMs, endedAtMs, key});
  }

  private rotated(index: number): standins.CallAddress[] {
    const start = Math.floor((index * this.routers.length) / CALLERS);
    return [...this.routers.slice(start), ...this.routers.slice(0, start)];
  }
}

function toRequest(call: traces.Call): standins.CallRequest {
  const {customer} = call;
  const path = deployments.PATHS[call.type];
  if (call.type === 'status') return {method: 'GET', path, customer};
  if (call.type === 'certificate') {
    return {method: 'POST', path, customer, body: {}};
  }
  const body = {
    prompt_tokens: call.promptTokens,
    output_tokens: call.outputTokens,
    stream: call.type === 'chat',
  };
  const chat = call.type === 'chat' ? call.chat : undefined;
  return {method: 'POST', path, customer, chat, body};
}
