/**
 * Pools of keep-alive connections to endpoints and routers, one for each
 * address. When requests time out on pooled connections but not on new ones,
 * the pool is replaced: its idle connections are closed, and requests on the
 * others end by their own time-outs.
 */
import * as http from 'node:http';
import * as core from '@oleanderrock/core';

const MAX_IDLE_CONNECTIONS = 256;
const IDLE_TIMEOUT_MS = 20_000;

/** Pools of keep-alive connections. */
export interface Connections {
  /** The agent that holds the connection pool of an address. */
  agent(address: string, port: number): http.Agent;
  /** Replaces the pool of an address and closes its idle connections. */
  renew(address: string, port: number): void;
}

/** The contract under which the connections are registered. */
export const CONNECTIONS = core.contract<Connections>('connections', [
  'agent',
  'renew',
]);

/** Connection pools held by Node's HTTP agents. */
export class KeepAliveConnections implements Connections, core.Lifecycle {
  private readonly agents = new Map<string, http.Agent>();

  agent(address: string, port: number): http.Agent {
    const key = `${address}:${port}`;
    let agent = this.agents.get(key);
    if (!agent) {
      agent = new http.Agent({
        keepAlive: true,
        keepAliveMsecs: 1_000,
        maxFreeSockets: MAX_IDLE_CONNECTIONS,
        timeout: IDLE_TIMEOUT_MS,
      });
      this.agents.set(key, agent);
    }
    return agent;
  }

  renew(address: string, port: number): void {
    const key = `${address}:${port}`;
    const agent = this.agents.get(key);
    this.agents.delete(key);
    for (const sockets of Object.values(agent?.freeSockets ?? {})) {
      for (const socket of sockets ?? []) socket.destroy();
    }
  }

  stop(): Promise<void> {
    for (const agent of this.agents.values()) agent.destroy();
    return Promise.resolve();
  }
}
