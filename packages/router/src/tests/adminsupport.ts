/** Helpers for tests of the administration interface. */
import * as timers from 'node:timers/promises';
import * as url from 'node:url';
import type * as core from '@oleanderrock/core';
import * as standins from '@oleanderrock/standins';

const POLL_MS = 20;
/** Shortens a drain, which waits until callers' cached addresses expire. */
const ROUTER_FLAGS = ['--where-keep-ms', '200'];

/** Path of the router program. */
export const ROUTER_PROGRAM = url.fileURLToPath(
  new URL('../main.js', import.meta.url),
);

/** Parsed answer to an HTTP request. */
export interface Answer {
  readonly status: number;
  readonly headers: Headers;
  /** JSON object; tests cast its fields, since answers have many forms. */
  readonly body: Record<string, unknown>;
}

/** Resolves once `condition` holds; the test's time-out bounds the wait. */
export async function until(
  condition: () => boolean | Promise<boolean>,
): Promise<void> {
  while (!(await condition())) await timers.setTimeout(POLL_MS);
}

/** Sends an HTTP request; a string body is sent as it is, any other as JSON. */
export async function call(
  target: string,
  method: string,
  headers: Record<string, string> = {},
  body?: unknown,
): Promise<Answer> {
  const answer = await fetch(target, {
    method,
    headers: {connection: 'close', ...headers},
    body: typeof body === 'string' ? body : JSON.stringify(body),
  });
  const text = await answer.text();
  const parsed = text ? (JSON.parse(text) as Record<string, unknown>) : {};
  return {status: answer.status, headers: answer.headers, body: parsed};
}

/** A fleet of test processes with helpers for operators' and callers' calls. */
export class AdminFleet {
  readonly processes = new standins.Fleet({routerProgram: ROUTER_PROGRAM});

  /** Starts the routers, an engine `e1` and the services `s1` and `s2`. */
  async start(routers: readonly string[]): Promise<void> {
    await this.processes.start();
    await Promise.all([
      ...routers.map(name =>
        this.processes.addRouter({name, flags: ROUTER_FLAGS}),
      ),
      this.processes.addEngine({name: 'e1'}),
      this.processes.addService({name: 's1'}),
      this.processes.addService({name: 's2'}),
    ]);
    await until(() => this.isConverged(routers));
  }

  /** Calls a router's administration interface. */
  callAdmin(
    router: string,
    method: string,
    path: string,
    body?: unknown,
    headers: Record<string, string> = {},
  ): Promise<Answer> {
    const {address, admin_port: port} = this.processes.member(router).instance;
    const defaults = {
      authorization: `Bearer ${this.processes.options.adminToken}`,
      'oleander-operator': 'ada',
    };
    const target = `http://${address}:${port}/admin/v1${path}`;
    return call(target, method, {...defaults, ...headers}, body);
  }

  /** Creates rows in one edit and waits until all routers have it in force. */
  async createRows(
    rows: Partial<Record<core.TableName, object[]>>,
  ): Promise<void> {
    const changes = Object.entries(rows).flatMap(([table, list]) =>
      list.map(row => {
        const {name} = row as {name: string};
        return {table, name, expected_version: 0, row};
      }),
    );
    const [first] = this.processes.instances('router');
    const router = first?.name ?? '';
    const answer = await this.callAdmin(router, 'POST', '/edits', {changes});
    if (answer.status !== 200) throw new Error(JSON.stringify(answer.body));
    const offset = String(answer.body.offset);
    await until(async () => {
      const status = await this.callAdmin(
        router,
        'GET',
        `/status?offset=${offset}`,
      );
      const inForce = status.body.in_force as core.ConfigRollout;
      return inForce.lagging.length === 0;
    });
  }

  /** Sends a caller's request to a router. */
  callEntry(
    router: string,
    path: string,
    headers: Record<string, string> = {},
    body: object = {},
  ): Promise<Answer> {
    const {address, port} = this.processes.member(router).instance;
    return call(`http://${address}:${port}${path}`, 'POST', headers, body);
  }

  /** Number of requests that an endpoint has started. */
  async countStarted(endpoint: string): Promise<number> {
    const stats = (await this.processes.stats(endpoint)) as {started: number};
    return stats.started;
  }

  /** Whether all routers reach each other and each endpoint has one owner. */
  private async isConverged(routers: readonly string[]): Promise<boolean> {
    for (const router of routers) {
      const {status, body} = await this.callAdmin(router, 'GET', '/status');
      if (status !== 200) return false;
      const state = body as unknown as core.FleetStatus;
      const reached = state.routers.filter(
        item => item.is_reached && item.is_current,
      );
      if (reached.length !== routers.length) return false;
      if (state.endpoints.length !== 3) return false;
      if (state.endpoints.some(item => item.owners.length !== 1)) return false;
    }
    return true;
  }
}
