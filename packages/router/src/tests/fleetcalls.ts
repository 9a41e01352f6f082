/** Helpers for fleets of real processes: direct calls, edits and log access. */
import * as core from '@oleanderrock/core';
import * as standins from '@oleanderrock/standins';
import * as url from 'node:url';
import * as v from 'valibot';

const ROUTER_PROGRAM = url.fileURLToPath(
  new URL('../main.js', import.meta.url),
);
const CALL_TIMEOUT_MS = 8_000;
const CONNECT_TIMEOUT_MS = 1_000;

const countsSchema = v.object({
  runs_by_key: v.record(v.string(), v.number()),
  runs_by_request: v.record(v.string(), v.number()),
});

const claimPageSchema = v.object({
  records: v.array(v.object({record: core.claimBatchSchema})),
});

/** Runs by idempotency key and by request id, summed over the services. */
export interface RunCounts {
  readonly byKey: ReadonlyMap<string, number>;
  readonly byRequest: ReadonlyMap<string, number>;
}

/** Creates a fleet that runs this build's router program. */
export function createFleet(): standins.Fleet {
  return new standins.Fleet({routerProgram: ROUTER_PROGRAM});
}

function addCounts(
  sums: Map<string, number>,
  counts: Record<string, number>,
): void {
  for (const [name, count] of Object.entries(counts)) {
    sums.set(name, (sums.get(name) ?? 0) + count);
  }
}

/** Sums the run counts of the named services. */
export async function countRuns(
  fleet: standins.Fleet,
  services: readonly string[],
): Promise<RunCounts> {
  const byKey = new Map<string, number>();
  const byRequest = new Map<string, number>();
  for (const name of services) {
    const counts = v.parse(countsSchema, await fleet.stats(name));
    addCounts(byKey, counts.runs_by_key);
    addCounts(byRequest, counts.runs_by_request);
  }
  return {byKey, byRequest};
}

/** Kind and request id of the results with `ran: no` whose request did run. */
export function findFalseNotRun(
  results: Iterable<standins.CallResult>,
  counts: RunCounts,
): string[] {
  const falseResults: string[] = [];
  for (const result of results) {
    if (result.type !== 'problem' || result.problem.ran !== 'no') continue;
    const {kind, request_id: id} = result.problem;
    if (counts.byRequest.has(id)) falseResults.push(`${kind} ${id}`);
  }
  return falseResults;
}

/** Kind under which a result is counted. */
export function kindOf(result: standins.CallResult): string {
  if (result.type === 'problem') return result.problem.kind;
  return result.type;
}

/** Sends one call straight to a router, over a new connection. */
export async function call(
  router: standins.Member,
  request: Partial<standins.CallRequest>,
): Promise<standins.CallResult> {
  const nonce = core.createId();
  const outcome = await standins.sendCall(
    router.instance,
    {method: 'POST', path: '/orders', customer: 'ann', ...request},
    {
      nonce,
      agent: false,
      timeoutMs: CALL_TIMEOUT_MS,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
    },
  );
  if (outcome.type === 'raw') return standins.check(outcome.answer, nonce);
  return {type: 'broken', reason: outcome.reason};
}

/** Appends a record to a stream of the platform's log. */
export async function appendRecord(
  fleet: standins.Fleet,
  stream: string,
  record: unknown,
): Promise<void> {
  const answer = await fetch(`${fleet.platformUrl}/log/${stream}`, {
    method: 'POST',
    body: JSON.stringify({record}),
  });
  if (!answer.ok) throw new Error(`append failed: status ${answer.status}`);
}

/** A row to create. */
export interface NewRow {
  readonly table: core.TableName;
  readonly row: {readonly name: string; readonly [field: string]: unknown};
}

/** Creates an edit that adds rows. */
export function createRowsEdit(rows: readonly NewRow[]): core.Edit {
  return {
    type: 'edit',
    edit_id: core.createId(),
    operator: 'op',
    at_ms: Date.now(),
    changes: rows.map(({table, row}) => ({
      table,
      name: row.name,
      expected_version: 0,
      row,
    })),
  };
}

/** Adds the route /orders to the named services; its calls run at most once. */
export function addOrdersRoute(
  fleet: standins.Fleet,
  services: readonly string[],
  route: object = {},
  pool: object = {},
): Promise<void> {
  const edit = createRowsEdit([
    {table: 'pools', row: {name: 'shops', endpoints: services, ...pool}},
    {
      table: 'routes',
      row: {
        name: 'orders',
        match: {path_prefix: '/orders'},
        pool: 'shops',
        repeatable: false,
        ...route,
      },
    },
  ]);
  return appendRecord(fleet, core.CONFIG_STREAM, edit);
}

/** Whether a router reports that it is ready for requests. */
export async function isReady(router: standins.Member): Promise<boolean> {
  const {address, port} = router.instance;
  const path = `http://${address}:${port}/ready`;
  const answer = await fetch(path).catch(() => undefined);
  return answer?.status === 200;
}

/** Deletes all records of a stream of the platform's log. */
export async function truncateStream(
  fleet: standins.Fleet,
  stream: string,
): Promise<void> {
  const body = JSON.stringify({stream});
  const options = {method: 'POST', body};
  const answer = await fetch(`${fleet.platformUrl}/control/forget`, options);
  if (!answer.ok) throw new Error(`truncate failed: status ${answer.status}`);
}

/** Reads the entries of a claim stream from the platform's log. */
export async function readClaims(
  fleet: standins.Fleet,
  stream: string,
): Promise<core.ClaimEntry[]> {
  const answer = await fetch(`${fleet.platformUrl}/log/${stream}?from=0`);
  const page = v.parse(claimPageSchema, await answer.json());
  return page.records.flatMap(entry => entry.record.entries);
}

/** Finds the router that leads the claim stream of a key, through `/where`. */
export async function findKeyLeader(
  fleet: standins.Fleet,
  router: standins.Member,
  key: string,
): Promise<standins.Member> {
  const {address, port} = router.instance;
  const query = new URLSearchParams({path: '/orders', method: 'POST', key});
  const answer = await fetch(
    `http://${address}:${port}/where?${query.toString()}`,
  );
  const where = v.parse(standins.whereResponseSchema, await answer.json());
  return fleet.member(where.addresses[0]?.name ?? '');
}

/** Forwards a call to a router as if it led the claim stream of the key. */
export async function forwardAsPeer(
  fleet: standins.Fleet,
  router: standins.Member,
  key: string,
): Promise<string> {
  const {address, peer_port: port} = router.instance;
  const answer = await fetch(`http://${address}:${port}/pass/orders`, {
    method: 'POST',
    headers: {
      'oleander-peer-token': fleet.options.peerToken,
      [core.headers.HOPS]: '1',
      [core.headers.REQUEST_ID]: core.createId(),
      [core.headers.CUSTOMER]: 'ann',
      [core.headers.IDEMPOTENCY_KEY]: key,
    },
    body: JSON.stringify({nonce: key}),
  });
  if (answer.ok) return 'answered';
  return v.parse(core.problemSchema, await answer.json()).kind;
}
