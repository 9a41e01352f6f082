/** Fetches the tables in force at a router from its listener for routers. */
import * as direct from '@oleanderrock/direct';
import * as v from 'valibot';
import type * as options from './options.js';
import * as results from './results.js';

/** Time limit of the request, in ms. */
const FETCH_TIMEOUT_MS = 10_000;

/** Fetches the tables in force. */
export async function fetchTables({
  host,
  port,
}: options.Address): Promise<results.Result<direct.Tables>> {
  const result = await direct.fetchJson({
    address: host,
    port,
    path: direct.tablesUpdate.tablesUrl(direct.NO_VERSION),
    signal: AbortSignal.timeout(FETCH_TIMEOUT_MS),
  });
  const router = `${host}:${port}`;
  if (result.type === 'failed') {
    return results.fail('unreachable', `${router}: ${result.detail}`);
  }
  const {tablesUpdateSchema} = direct.tablesUpdate;
  const update = v.safeParse(tablesUpdateSchema, result.value);
  if (!update.success || !update.output.tables) {
    return results.fail('unreachable', `${router} has no tables in force`);
  }
  return results.succeed(update.output.tables);
}
