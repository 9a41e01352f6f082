/**
 * Kept connections to endpoints. A connection on which anything arrives while
 * it is idle is closed, since those bytes belong to no request; one that has
 * been idle for long is closed before the endpoint does it.
 */
import * as http from 'node:http';
import type * as net from 'node:net';
import type * as stream from 'node:stream';
import * as core from '@oleanderrock/core';
import type * as model from './model.js';

/** Longest time for which a connection is kept idle, in ms. */
const MAX_IDLE_MS = 4_000;

/** Part of the endpoint's own idle limit for which a connection is kept. */
const IDLE_SHARE = 0.5;

/** Most idle connections to one endpoint. */
const MAX_IDLE = 8;

/** Kept connections by endpoint. */
export interface Connections {
  agent(endpoint: model.Endpoint): http.Agent;
  /** Closes the connections to an endpoint that is gone. */
  forget(id: string): void;
}

/** The contract under which the connections are registered. */
export const CONNECTIONS = core.contract<Connections>('endpoint-connections', [
  'agent',
  'forget',
]);

/** How long the connection may stay idle, by what the endpoint said. */
function idleLimitMs(socket: net.Socket): number {
  const message = (socket as {_httpMessage?: http.ClientRequest})._httpMessage;
  const response = (message as {res?: http.IncomingMessage} | undefined)?.res;
  const hint = /timeout=(\d+)/.exec(
    String(response?.headers['keep-alive'] ?? ''),
  );
  if (!hint) return MAX_IDLE_MS;
  return Math.min(MAX_IDLE_MS, Number(hint[1]) * 1_000 * IDLE_SHARE);
}

/** Agent whose idle connections stay clean. */
class CleanAgent extends http.Agent {
  private readonly guards = new WeakMap<stream.Duplex, () => void>();

  constructor() {
    super({keepAlive: true, scheduling: 'lifo', maxFreeSockets: MAX_IDLE});
  }

  override keepSocketAlive(socket: stream.Duplex): boolean {
    const limitMs = idleLimitMs(socket as net.Socket);
    if (limitMs <= 0) return false;
    const guard = () => socket.destroy();
    this.guards.set(socket, guard);
    socket.once('data', guard);
    (socket as net.Socket).setTimeout(limitMs, guard);
    return true;
  }

  override reuseSocket(
    socket: stream.Duplex,
    request: http.ClientRequest,
  ): void {
    const guard = this.guards.get(socket);
    if (guard) {
      socket.removeListener('data', guard);
      socket.removeListener('timeout', guard);
      (socket as net.Socket).setTimeout(0);
    }
    super.reuseSocket(socket, request);
  }
}

/** Connections kept by one agent for each endpoint. */
export class EndpointConnections implements Connections, core.Lifecycle {
  private readonly agents = new Map<string, CleanAgent>();

  agent({id}: model.Endpoint): http.Agent {
    let agent = this.agents.get(id);
    if (!agent) {
      agent = new CleanAgent();
      this.agents.set(id, agent);
    }
    return agent;
  }

  forget(id: string): void {
    // Requests in flight keep their connections; idle ones close here.
    const agent = this.agents.get(id);
    this.agents.delete(id);
    for (const sockets of Object.values(agent?.freeSockets ?? {})) {
      for (const socket of sockets ?? []) socket.destroy();
    }
  }

  stop(): Promise<void> {
    for (const agent of this.agents.values()) agent.destroy();
    return Promise.resolve();
  }
}
