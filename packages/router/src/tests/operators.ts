/** Small helpers of the tests of the administration interface. */
import * as timers from 'node:timers/promises';
import * as url from 'node:url';
import type * as core from '@oleanderrock/core';
import * as standins from '@oleanderrock/standins';

const POLL_MS = 20;

/** The router's program. */
export const PROGRAM = url.fileURLToPath(
  new URL('../main.js', import.meta.url),
);

/** What came of a call. */
export interface Answer {
  readonly status: number;
  readonly headers: Headers;
  // The tests read answers of many forms.
  readonly body: Record<string, unknown>;
}

/** Resolves once `condition` holds; the test's own timeout bounds it. */
export async function until(
  condition: () => boolean | Promise<boolean>,
): Promise<void> {
  while (!(await condition())) await timers.setTimeout(POLL_MS);
}

/** Makes a call; a body goes as JSON, text as it is. */
export async function call(
  address: string,
  method: string,
  headers: Record<string, string> = {},
  body?: unknown,
): Promise<Answer> {
  const answer = await fetch(address, {
    method,
    headers: {connection: 'close', ...headers},
    body: typeof body === 'string' ? body : JSON.stringify(body),
  });
  const text = await answer.text();
  const parsed = text ? (JSON.parse(text) as Record<string, unknown>) : {};
  return {status: answer.status, headers: answer.headers, body: parsed};
}

/** A fleet with the calls of its operators and callers. */
export class Operated {
  readonly fleet = new standins.Fleet({routerProgram: PROGRAM});

  /** Starts routers, an engine `e1` and services `s1` and `s2`. */
  async start(routers: readonly string[]): Promise<void> {
    await this.fleet.start();
    await Promise.all([
      ...routers.map(name => this.fleet.addRouter({name})),
      this.fleet.addEngine({name: 'e1'}),
      this.fleet.addService({name: 's1'}),
      this.fleet.addService({name: 's2'}),
    ]);
    await until(() => this.isTogether(routers));
  }

  /** Calls a router's administration interface. */
  admin(
    router: string,
    method: string,
    path: string,
    body?: unknown,
    headers: Record<string, string> = {},
  ): Promise<Answer> {
    const {address, admin_port: port} = this.fleet.member(router).instance;
    const own = {
      authorization: `Bearer ${this.fleet.options.adminToken}`,
      'oleander-operator': 'ada',
    };
    const place = `http://${address}:${port}/admin/v1${path}`;
    return call(place, method, {...own, ...headers}, body);
  }

  /** Creates rows by one edit. */
  async create(rows: Partial<Record<core.TableName, object[]>>): Promise<void> {
    const changes = Object.entries(rows).flatMap(([table, list]) =>
      list.map(row => {
        const {name} = row as {name: string};
        return {table, name, expected_version: 0, row};
      }),
    );
    const [first] = this.fleet.instances('router');
    const router = first?.name ?? '';
    const answer = await this.admin(router, 'POST', '/edits', {changes});
    if (answer.status !== 200) throw new Error(JSON.stringify(answer.body));
    const offset = String(answer.body.offset);
    await until(async () => {
      const status = await this.admin(
        router,
        'GET',
        `/status?offset=${offset}`,
      );
      const force = status.body.in_force as core.InForce;
      return force.lagging.length === 0;
    });
  }

  /** Sends a caller's request through a router. */
  request(
    router: string,
    path: string,
    headers: Record<string, string> = {},
    body: object = {},
  ): Promise<Answer> {
    const {address, port} = this.fleet.member(router).instance;
    return call(`http://${address}:${port}${path}`, 'POST', headers, body);
  }

  /** How many requests an endpoint has begun. */
  async started(endpoint: string): Promise<number> {
    const stats = (await this.fleet.stats(endpoint)) as {started: number};
    return stats.started;
  }

  /** Whether all routers see all others and all endpoints have owners. */
  private async isTogether(routers: readonly string[]): Promise<boolean> {
    for (const router of routers) {
      const {status, body} = await this.admin(router, 'GET', '/status');
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
