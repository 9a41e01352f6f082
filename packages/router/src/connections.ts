/**
 * Kept connections to endpoints and routers, one set for each address. When
 * connections have gone silent while new ones work, the set is renewed: the
 * idle ones close, and those in use end by their own limits.
 */
import * as http from 'node:http';
import * as core from '@oleanderrock/core';

const MAX_IDLE_CONNECTIONS = 256;
const IDLE_MS = 20_000;

/** Sets of kept connections. */
export interface Connections {
  agent(address: string, port: number): http.Agent;
  /** Closes the idle connections and opens new ones from now on. */
  renew(address: string, port: number): void;
}

/** The contract under which the connections are registered. */
export const CONNECTIONS = core.contract<Connections>('connections', [
  'agent',
  'renew',
]);

/** Connections kept by Node's agents. */
export class KeptConnections implements Connections, core.Lifecycle {
  private readonly agents = new Map<string, http.Agent>();

  agent(address: string, port: number): http.Agent {
    const key = `${address}:${port}`;
    let agent = this.agents.get(key);
    if (!agent) {
      agent = new http.Agent({
        keepAlive: true,
        keepAliveMsecs: 1_000,
        maxFreeSockets: MAX_IDLE_CONNECTIONS,
        timeout: IDLE_MS,
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
