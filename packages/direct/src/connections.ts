/**
 * Persistent connections to endpoints. An idle connection that receives bytes
 * is closed, since they belong to no request. One that has been idle for long
 * is closed before the endpoint closes it.
 */
import * as http from 'node:http';
import type * as net from 'node:net';
import type * as stream from 'node:stream';
import * as core from '@oleanderrock/core';
import type * as model from './model.js';

/** Longest time for which a connection may stay idle, in ms. */
const MAX_IDLE_MS = 4_000;

/**
 * Fraction of the keep-alive time-out announced by the endpoint for which a
 * connection may stay idle.
 */
const IDLE_TIMEOUT_FRACTION = 0.5;

/** Maximum number of idle connections to one endpoint. */
const MAX_IDLE_PER_ENDPOINT = 8;

/** Persistent connections by endpoint. */
export interface ConnectionPool {
  agent(endpoint: model.Endpoint): http.Agent;
  /**
   * Closes the idle connections to an endpoint that no longer exists; requests
   * in flight keep theirs.
   */
  remove(id: string): void;
}

/** The contract under which the connection pool is registered. */
export const CONNECTION_POOL = core.contract<ConnectionPool>(
  'connection-pool',
  ['agent', 'remove'],
);

/**
 * How long the connection may stay idle, in ms, from the keep-alive header of
 * its last response.
 */
function idleLimitMs(socket: net.Socket): number {
  const request = (socket as {_httpMessage?: http.ClientRequest})._httpMessage;
  const response = (request as {res?: http.IncomingMessage} | undefined)?.res;
  const keepAliveTimeout = /timeout=(\d+)/.exec(
    String(response?.headers['keep-alive'] ?? ''),
  );
  if (!keepAliveTimeout) return MAX_IDLE_MS;
  return Math.min(
    MAX_IDLE_MS,
    Number(keepAliveTimeout[1]) * 1_000 * IDLE_TIMEOUT_FRACTION,
  );
}

/** HTTP agent that closes idle connections on unexpected bytes. */
class GuardedAgent extends http.Agent {
  private readonly guardsBySocket = new WeakMap<stream.Duplex, () => void>();

  constructor() {
    super({
      keepAlive: true,
      scheduling: 'lifo',
      maxFreeSockets: MAX_IDLE_PER_ENDPOINT,
    });
  }

  override keepSocketAlive(socket: stream.Duplex): boolean {
    const limitMs = idleLimitMs(socket as net.Socket);
    if (limitMs <= 0) return false;
    const guard = () => socket.destroy();
    this.guardsBySocket.set(socket, guard);
    socket.once('data', guard);
    (socket as net.Socket).setTimeout(limitMs, guard);
    return true;
  }

  override reuseSocket(
    socket: stream.Duplex,
    request: http.ClientRequest,
  ): void {
    const guard = this.guardsBySocket.get(socket);
    if (guard) {
      socket.removeListener('data', guard);
      socket.removeListener('timeout', guard);
      (socket as net.Socket).setTimeout(0);
    }
    super.reuseSocket(socket, request);
  }
}

/** Keeps one HTTP agent for each endpoint. */
export class AgentConnectionPool implements ConnectionPool, core.Lifecycle {
  private readonly agents = new Map<string, GuardedAgent>();

  agent({id}: model.Endpoint): http.Agent {
    let agent = this.agents.get(id);
    if (!agent) {
      agent = new GuardedAgent();
      this.agents.set(id, agent);
    }
    return agent;
  }

  remove(id: string): void {
    // Only idle connections are closed here; requests in flight keep theirs.
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
