/**
 * Liveness of endpoints by a new connection: it tells an endpoint that crashed
 * or cannot be reached from one that is only slow. Checks of one endpoint are
 * shared.
 */
import * as net from 'node:net';
import * as core from '@oleanderrock/core';
import * as decisions from './decisions.js';
import type * as model from './model.js';

/** How long a connection within a region may take, in ms. */
export const CONNECT_TIMEOUT_MS = 300;

/**
 * How long a second connection may take before the endpoint counts as silent,
 * in ms: this router's own link may be what is slow.
 */
const SECOND_TIMEOUT_MS = 700;

/** How long a finding holds, in ms. */
const FINDING_VALID_MS = 400;

/** What a new connection shows. */
export type ProbeResult =
  | 'alive'
  /** Nothing listens there: the endpoint crashed. */
  | 'refused'
  /** Nothing comes back: it is dark or cut off, or this router is. */
  | 'silent';

/** Checks whether endpoints are alive. */
export interface Liveness {
  /** What a new connection to the endpoint shows now. */
  check(endpoint: model.Endpoint): Promise<ProbeResult>;
}

/** The contract under which the check is registered. */
export const LIVENESS = core.contract<Liveness>('liveness', ['check']);

interface Finding {
  readonly result: Promise<ProbeResult>;
  /** When the check ended; infinite while it runs. */
  atMs: number;
}

/** Checks by TCP connections that carry nothing. */
export class ConnectLiveness implements Liveness {
  private readonly findings = new Map<string, Finding>();

  constructor(private readonly kernel: core.Kernel) {}

  check(endpoint: model.Endpoint): Promise<ProbeResult> {
    const nowMs = this.nowMs();
    const known = this.findings.get(endpoint.id);
    if (known && nowMs - known.atMs < FINDING_VALID_MS) return known.result;
    const result = this.find(endpoint);
    const finding = {result, atMs: Number.POSITIVE_INFINITY};
    this.findings.set(endpoint.id, finding);
    void result.then(() => this.ended(finding));
    return result;
  }

  private async find(endpoint: model.Endpoint): Promise<ProbeResult> {
    const first = await connect(endpoint, CONNECT_TIMEOUT_MS);
    if (first === 'alive') return first;
    // New requests keep away already while it is tried once more.
    const health = this.kernel.find(decisions.HEALTH);
    health.unreachable(endpoint.id, this.nowMs());
    const result =
      first === 'silent' ? await connect(endpoint, SECOND_TIMEOUT_MS) : first;
    if (result === 'alive') return result;
    const nowMs = this.nowMs();
    health.unreachable(endpoint.id, nowMs);
    this.kernel.find(decisions.SUSPECTS).crashed(endpoint.id, nowMs);
    this.kernel.find(decisions.HOMES).forget(endpoint.id);
    this.kernel.find(core.LOGGER).warn('endpoint_unreachable', {
      endpoint: endpoint.id,
      address: `${endpoint.address}:${endpoint.port}`,
      result,
    });
    return result;
  }

  /** A finding holds from the end of its check on; old ones go. */
  private ended(finding: Finding): void {
    const nowMs = this.nowMs();
    finding.atMs = nowMs;
    for (const [id, {atMs}] of this.findings) {
      if (nowMs - atMs > FINDING_VALID_MS) this.findings.delete(id);
    }
  }

  private nowMs(): number {
    return this.kernel.find(core.CLOCK).nowMs();
  }
}

function connect(
  {address, port}: model.Endpoint,
  timeoutMs: number,
): Promise<ProbeResult> {
  return new Promise(resolve => {
    const socket = net.connect({host: address, port});
    const end = (result: ProbeResult) => {
      clearTimeout(timer);
      socket.destroy();
      resolve(result);
    };
    const timer = setTimeout(() => end('silent'), timeoutMs);
    socket.once('connect', () => end('alive'));
    socket.once('error', (error: NodeJS.ErrnoException) =>
      end(error.code === 'ECONNREFUSED' ? 'refused' : 'silent'),
    );
  });
}
