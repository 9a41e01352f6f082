/**
 * Plays a trace on a fleet as an open-loop load: each call is sent at its time,
 * whether or not earlier calls have ended. Only a chat's turn waits for the
 * answer to its previous turn.
 */
import * as core from '@oleanderrock/core';
import * as standins from '@oleanderrock/standins';
import * as perfHooks from 'node:perf_hooks';
import * as deployments from './deployment.js';
import type * as traces from './trace.js';

const CALLERS = 6;
const TIMEOUT_MS = 30_000;
const CONNECT_TIMEOUT_MS = 2_000;
const COPY_INTERVAL_MS = 20;
const NS_PER_MS = 1_000_000;

/** A request of a trace that was sent, and its result. */
export interface CallRecord {
  readonly call: traces.Call;
  readonly result: standins.CallResult;
  /** Wall-clock time at which the request was sent. */
  readonly sentAtMs: number;
  /** Wall-clock time at which the answer was complete or the call failed. */
  readonly endedAtMs: number;
  /** Idempotency key, for calls that may run at most once. */
  readonly key?: string;
}

/** Plays traces on the routers with the given addresses. */
export class TracePlayer {
  private readonly clock = new core.SystemClock();
  private readonly routers: readonly standins.CallAddress[];
  private readonly callers: readonly standins.Caller[];
  private readonly lastTurnByChat = new Map<string, Promise<void>>();
  private readonly eventLoopDelay = perfHooks.monitorEventLoopDelay({
    resolution: 5,
  });
  private records: CallRecord[] = [];
  private callCount = 0;

  /** @param addresses entry addresses, as `127.0.0.1:8080` */
  constructor(addresses: readonly string[]) {
    this.routers = addresses.map(text => {
      const [address = '', port] = text.split(':');
      return {address, port: Number(port)};
    });
    this.callers = [...Array(CALLERS).keys()].map(index => {
      const routers = this.rotateRouters(index);
      return new standins.Caller({routers, timeoutMs: TIMEOUT_MS});
    });
  }

  /** Plays a trace and resolves with the records of all calls. */
  async play(trace: readonly traces.Call[]): Promise<CallRecord[]> {
    const startMs = this.clock.nowMs();
    const pendingCalls: Array<Promise<void>> = [];
    this.eventLoopDelay.reset();
    this.eventLoopDelay.enable();
    this.records = [];
    this.lastTurnByChat.clear();
    for (const call of trace) {
      const delayMs = startMs + call.atMs - this.clock.nowMs();
      if (delayMs > 1) await this.clock.sleep(delayMs);
      pendingCalls.push(this.startCall(call));
    }
    await Promise.all(pendingCalls);
    this.eventLoopDelay.disable();
    return this.records;
  }

  /** Event-loop delay of this process in the last trace at p99, in ms. */
  get eventLoopDelayMs(): number {
    return this.eventLoopDelay.percentile(99) / NS_PER_MS;
  }

  /** Closes all connections. */
  close(): void {
    for (const caller of this.callers) caller.close();
  }

  private startCall(call: traces.Call): Promise<void> {
    this.callCount += 1;
    if (call.type === 'certificate') return this.issue(call, this.callCount);
    if (call.type !== 'chat') return this.sendCall(call);
    const previousTurn =
      this.lastTurnByChat.get(call.chat) ?? Promise.resolve();
    const turn = previousTurn.then(() => this.sendCall(call));
    this.lastTurnByChat.set(call.chat, turn);
    return turn;
  }

  private sendCall(call: traces.Call): Promise<void> {
    const caller = this.callers[core.hash32(call.customer) % CALLERS]!;
    return this.recordCall(call, undefined, () => caller.send(toRequest(call)));
  }

  /** Sends all copies of a certificate call, each through another router. */
  private async issue(
    call: traces.CertificateCall,
    callNumber: number,
  ): Promise<void> {
    const key = core.createId();
    const copies = [...Array(call.copies).keys()].map(async copy => {
      await this.clock.sleep(copy * COPY_INTERVAL_MS);
      const router = this.routers[(callNumber + copy) % this.routers.length]!;
      return this.recordCall(call, key, () => this.sendCopy(router, call, key));
    });
    await Promise.all(copies);
  }

  private async sendCopy(
    router: standins.CallAddress,
    call: traces.Call,
    key: string,
  ): Promise<standins.CallResult> {
    const nonce = core.createId();
    const request = {...toRequest(call), idempotencyKey: key};
    const outcome = await standins.sendCall(router, request, {
      nonce,
      agent: false,
      timeoutMs: TIMEOUT_MS,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
    });
    if (outcome.type === 'raw') return standins.check(outcome.answer, nonce);
    return {type: 'broken', reason: outcome.reason};
  }

  private async recordCall(
    call: traces.Call,
    key: string | undefined,
    send: () => Promise<standins.CallResult>,
  ): Promise<void> {
    const sentAtMs = this.clock.wallClockMs();
    const result = await send();
    const endedAtMs = this.clock.wallClockMs();
    this.records.push({call, result, sentAtMs, endedAtMs, key});
  }

  private rotateRouters(index: number): standins.CallAddress[] {
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
