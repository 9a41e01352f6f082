/**
 * Liveness of endpoints by a new connection: it tells an endpoint that is dead
 * or cut off from one that is only slow. Checks of one endpoint are shared.
 */
import * as net from 'node:net';
import * as core from '@oleanderrock/core';
import * as decisions from './decisions.js';
import type * as model from './model.js';

/** How long a connection within a region may take, in ms. */
export const CONNECT_TIMEOUT_MS = 300;

/** How long a finding holds, in ms. */
const FINDING_VALID_MS = 400;

/** Checks whether endpoints are alive. */
export interface Liveness {
  /** Whether a new connection to the endpoint can be made now. */
  check(endpoint: model.Endpoint): Promise<boolean>;
}

/** The contract under which the check is registered. */
export const LIVENESS = core.contract<Liveness>('liveness', ['check']);

interface Finding {
  readonly isAlive: Promise<boolean>;
  readonly atMs: number;
}

/** Checks by TCP connections that carry nothing. */
export class ConnectLiveness implements Liveness {
  private readonly findings = new Map<string, Finding>();

  constructor(private readonly kernel: core.Kernel) {}

  check(endpoint: model.Endpoint): Promise<boolean> {
    const nowMs = this.kernel.find(core.CLOCK).nowMs();
    const known = this.findings.get(endpoint.id);
    if (known && nowMs - known.atMs < FINDING_VALID_MS) return known.isAlive;
    const isAlive = this.find(endpoint);
    this.findings.set(endpoint.id, {isAlive, atMs: nowMs});
    void isAlive.then(() => this.sweep());
    return isAlive;
  }

  private async find(endpoint: model.Endpoint): Promise<boolean> {
    const isAlive = await canConnect(endpoint.address, endpoint.port);
    if (isAlive) return true;
    const nowMs = this.kernel.find(core.CLOCK).nowMs();
    this.kernel.find(decisions.HEALTH).unreachable(endpoint.id, nowMs);
    this.kernel.find(decisions.SUSPECTS).crashed(endpoint.id, nowMs);
    this.kernel.find(decisions.HOMES).forget(endpoint.id);
    this.kernel.find(core.LOGGER).warn('endpoint_unreachable', {
      endpoint: endpoint.id,
      address: `${endpoint.address}:${endpoint.port}`,
    });
    return false;
  }

  private sweep(): void {
    const nowMs = this.kernel.find(core.CLOCK).nowMs();
    for (const [id, {atMs}] of this.findings) {
      if (nowMs - atMs > FINDING_VALID_MS) this.findings.delete(id);
    }
  }
}

function canConnect(address: string, port: number): Promise<boolean> {
  return new Promise(resolve => {
    const socket = net.connect({host: address, port});
    const end = (isAlive: boolean) => {
      clearTimeout(timer);
      socket.destroy();
      resolve(isAlive);
    };
    const timer = setTimeout(() => end(false), CONNECT_TIMEOUT_MS);
    socket.once('connect', () => end(true));
    socket.once('error', () => end(false));
  });
}
