/**
 * Checks whether endpoints are alive by opening a new connection. That
 * distinguishes an endpoint that crashed or is unreachable from one that is
 * only slow. Concurrent checks of one endpoint share one result.
 */
import * as net from 'node:net';
import * as core from '@oleanderrock/core';
import * as crashReport from './crashreport.js';
import * as decisions from './decisions.js';
import type * as model from './model.js';

/** Time-out of connecting to an endpoint of the same region, in ms. */
export const CONNECT_TIMEOUT_MS = 300;

/**
 * Time-out of the second connection, after which the endpoint counts as silent,
 * in ms. It is longer because this router's own link may be slow.
 */
const RECONNECT_TIMEOUT_MS = 700;

/** How long a result stays valid, in ms. */
const RESULT_VALID_MS = 400;

/** The result of a check. */
export type ProbeResult =
  | 'alive'
  /**
   * The connection was refused, since nothing listens: the endpoint crashed.
   */
  | 'refused'
  /**
   * There was no reply: the endpoint is down, or either side is disconnected
   * from the network.
   */
  | 'silent';

/** Checks whether endpoints are alive. */
export interface Liveness {
  /** Returns the result of a recent or new check. */
  check(endpoint: model.Endpoint): Promise<ProbeResult>;
}

/** The contract under which the liveness check is registered. */
export const LIVENESS = core.contract<Liveness>('liveness', ['check']);

interface CachedCheck {
  readonly result: Promise<ProbeResult>;
  /** Monotonic time at which the check ended, in ms; infinite while it runs. */
  atMs: number;
}

/** Checks with TCP connections on which nothing is sent. */
export class TcpLiveness implements Liveness {
  private readonly checks = new Map<string, CachedCheck>();

  constructor(private readonly kernel: core.Kernel) {}

  check(endpoint: model.Endpoint): Promise<ProbeResult> {
    const nowMs = this.nowMs();
    const cached = this.checks.get(endpoint.id);
    if (cached && nowMs - cached.atMs < RESULT_VALID_MS) return cached.result;
    const result = this.probe(endpoint);
    const check = {result, atMs: Number.POSITIVE_INFINITY};
    this.checks.set(endpoint.id, check);
    core.detach(this.kernel.find(core.LOGGER), 'liveness', async () => {
      try {
        await result;
      } finally {
        this.recordCheckEnd(check);
      }
    });
    return result;
  }

  private async probe(endpoint: model.Endpoint): Promise<ProbeResult> {
    const firstResult = await tryConnect(endpoint, CONNECT_TIMEOUT_MS);
    if (firstResult === 'alive') return firstResult;
    // Excludes the endpoint from new requests during the second attempt.
    const health = this.kernel.find(decisions.ENDPOINT_HEALTH);
    health.recordUnreachable(endpoint.id, this.nowMs());
    const result =
      firstResult === 'silent'
        ? await tryConnect(endpoint, RECONNECT_TIMEOUT_MS)
        : firstResult;
    if (result === 'alive') return result;
    const nowMs = this.nowMs();
    health.recordUnreachable(endpoint.id, nowMs);
    // Silence may be this router's own link.
    if (result === 'refused') crashReport.record(this.kernel, endpoint);
    this.kernel.find(decisions.PREFIX_HOMES).forget(endpoint.id);
    this.kernel.find(core.LOGGER).warn('endpoint_unreachable', {
      endpoint: endpoint.id,
      address: `${endpoint.address}:${endpoint.port}`,
      result,
    });
    return result;
  }

  /** Starts the validity of a result, and removes expired ones. */
  private recordCheckEnd(check: CachedCheck): void {
    const nowMs = this.nowMs();
    check.atMs = nowMs;
    for (const [id, {atMs}] of this.checks) {
      if (nowMs - atMs > RESULT_VALID_MS) this.checks.delete(id);
    }
  }

  private nowMs(): number {
    return this.kernel.find(core.CLOCK).nowMs();
  }
}

function tryConnect(
  {address, port}: model.Endpoint,
  timeoutMs: number,
): Promise<ProbeResult> {
  return new Promise(resolve => {
    const socket = net.connect({host: address, port});
    const settle = (result: ProbeResult) => {
      clearTimeout(timer);
      socket.destroy();
      resolve(result);
    };
    const timer = setTimeout(() => settle('silent'), timeoutMs);
    socket.once('connect', () => settle('alive'));
    socket.once('error', (error: NodeJS.ErrnoException) =>
      settle(error.code === 'ECONNREFUSED' ? 'refused' : 'silent'),
    );
  });
}
