/** Waits until every router has applied an accepted edit. */
import * as timers from 'node:timers/promises';
import * as core from '@oleanderrock/core';
import * as v from 'valibot';
import type * as client from './client.js';
import type * as command from './command.js';
import type * as results from './results.js';

/** Maximum wait for all routers to apply an edit, in ms. */
const ROLLOUT_TIMEOUT_MS = 5_000;
/** Interval between status requests, in ms. */
const POLL_INTERVAL_MS = 200;

/** The verdict on an edit and its rollout to the routers. */
export interface EditReport {
  readonly verdict: core.Verdict;
  readonly in_force?: core.ConfigRollout;
}

/** Describes on how many routers the configuration is in force. */
export function describeRollout(rollout: core.ConfigRollout): string {
  const count = `in force on ${rollout.routers} of ${rollout.of}`;
  if (rollout.lagging.length === 0) return count;
  return `${count}; lagging: ${rollout.lagging.join(', ')}`;
}

/**
 * Waits for up to `ROLLOUT_TIMEOUT_MS` until all routers have applied the edit;
 * resolves with the last status received.
 */
async function waitForRollout(
  admin: client.AdminClient,
  verdict: core.Verdict,
): Promise<core.FleetStatus | undefined> {
  const deadlineMs = performance.now() + ROLLOUT_TIMEOUT_MS;
  const query = {offset: String(verdict.offset)};
  let lastStatus: core.FleetStatus | undefined;
  for (;;) {
    const status = await admin.call(core.fleetStatusSchema, {
      path: '/status',
      query,
    });
    if (status.ok) lastStatus = status.value;
    if (lastStatus?.in_force.lagging.length === 0) return lastStatus;
    if (performance.now() + POLL_INTERVAL_MS > deadlineMs) return lastStatus;
    await timers.setTimeout(POLL_INTERVAL_MS);
  }
}

/** Warns of endpoints in changed pools that are not in the instance list. */
function unlistedEndpointsWarning(
  changes: readonly core.Change[],
  status: core.FleetStatus | undefined,
): string {
  const listedNames = new Set(status?.endpoints.map(({name}) => name));
  const poolEndpoints = changes.flatMap(({table, row}) => {
    const pool = v.safeParse(core.poolSchema, row);
    return table === 'pools' && pool.success ? pool.output.endpoints : [];
  });
  const unlistedNames = poolEndpoints.filter(
    name => status && !listedNames.has(name),
  );
  if (unlistedNames.length === 0) return '';
  return `\nnot on the list of instances: ${unlistedNames.join(', ')}`;
}

/** Waits for the rollout of an accepted edit and describes its state. */
export async function reportEdit(
  admin: client.AdminClient,
  verdict: core.Verdict,
  changes: readonly core.Change[] = [],
): Promise<results.Result<command.CommandOutput>> {
  const status = await waitForRollout(admin, verdict);
  const rollout = status?.in_force;
  const data: EditReport = {verdict, in_force: rollout};
  const rolloutText = rollout
    ? describeRollout(rollout)
    : 'no router reported where it is in force';
  const text = `accepted at offset ${verdict.offset}: ${verdict.changes.join(', ')}\n${rolloutText}${unlistedEndpointsWarning(changes, status)}`;
  const isComplete = rollout?.lagging.length === 0;
  return {ok: true, value: {data, text, exit: isComplete ? 'ok' : 'pending'}};
}
