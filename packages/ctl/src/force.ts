/** Waits until an accepted edit is in force at every router. */
import * as timers from 'node:timers/promises';
import * as core from '@oleanderrock/core';
import * as v from 'valibot';
import type * as client from './client.js';
import type * as command from './command.js';
import type * as exits from './exits.js';

const WAIT_MS = 5_000;
const PAUSE_MS = 200;

/** A verdict with how far it is in force. */
export interface Enforced {
  readonly verdict: core.Verdict;
  readonly in_force?: core.InForce;
}

/** Says how far an offset is in force. */
export function describe(force: core.InForce): string {
  const count = `in force on ${force.routers} of ${force.of}`;
  if (force.lagging.length === 0) return count;
  return `${count}; lagging: ${force.lagging.join(', ')}`;
}

/** Waits for up to 5 s until all routers have the verdict's offset. */
async function wait(
  routers: client.Client,
  verdict: core.Verdict,
): Promise<core.FleetStatus | undefined> {
  const deadlineMs = performance.now() + WAIT_MS;
  const query = {offset: String(verdict.offset)};
  let newest: core.FleetStatus | undefined;
  for (;;) {
    const status = await routers.call(core.fleetStatusSchema, {
      path: '/status',
      query,
    });
    if (status.ok) newest = status.value;
    if (newest?.in_force.lagging.length === 0) return newest;
    if (performance.now() + PAUSE_MS > deadlineMs) return newest;
    await timers.setTimeout(PAUSE_MS);
  }
}

/** Names endpoints that changed pools have and the list has not. */
function warn(
  changes: readonly core.Change[],
  status: core.FleetStatus | undefined,
): string {
  const listed = new Set(status?.endpoints.map(({name}) => name));
  const named = changes.flatMap(({table, row}) => {
    const pool = v.safeParse(core.poolSchema, row);
    return table === 'pools' && pool.success ? pool.output.endpoints : [];
  });
  const missing = named.filter(name => status && !listed.has(name));
  if (missing.length === 0) return '';
  return `\nnot on the list of instances: ${missing.join(', ')}`;
}

/** Waits, and says what was accepted and how far it is in force. */
export async function report(
  routers: client.Client,
  verdict: core.Verdict,
  changes: readonly core.Change[] = [],
): Promise<exits.Result<command.Output>> {
  const status = await wait(routers, verdict);
  const force = status?.in_force;
  const data: Enforced = {verdict, in_force: force};
  const where = force
    ? describe(force)
    : 'no router tells where it is in force';
  const text = `accepted at offset ${verdict.offset}: ${verdict.changes.join(', ')}\n${where}${warn(changes, status)}`;
  const isDone = force?.lagging.length === 0;
  return {ok: true, value: {data, text, exit: isDone ? 'ok' : 'pending'}};
}
