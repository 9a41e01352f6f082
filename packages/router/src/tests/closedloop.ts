/** Closed-loop load: callers that call given routers and record the results. */
import * as core from '@oleanderrock/core';
import type * as standins from '@oleanderrock/standins';
import * as v from 'valibot';
import * as fleetCalls from './fleetcalls.js';

/** Result of one call, with its start and end. */
export interface CallRecord {
  readonly startMs: number;
  readonly endMs: number;
  readonly body: object;
  readonly result: standins.CallResult;
}

/** Routers, number of callers and requests of the load. */
export interface ClosedLoopOptions {
  /** Routers to call, round robin. */
  readonly routers: readonly string[];
  readonly callers: number;
  /** Request bodies, round robin over the callers. */
  readonly bodies: readonly object[];
  readonly path?: string;
}

/** Callers that each send a request of a new chat once the last has ended. */
export class ClosedLoop {
  readonly records: CallRecord[] = [];
  private readonly tasks: Array<Promise<void>>;
  private isStopped = false;

  constructor(
    private readonly fleet: standins.Fleet,
    private readonly options: ClosedLoopOptions,
  ) {
    const indexes = [...Array(options.callers).keys()].map(index => index);
    this.tasks = indexes.map(index => this.runCaller(index));
  }

  /** Results of the calls that started at `fromMs` or later. */
  startedSince(fromMs: number): CallRecord[] {
    return this.records.filter(item => item.startMs >= fromMs);
  }

  /** Stops the callers and waits for their last calls. */
  async stop(): Promise<void> {
    this.isStopped = true;
    await Promise.all(this.tasks);
  }

  private async runCaller(index: number): Promise<void> {
    const {routers, bodies, path = '/chat'} = this.options;
    const body = bodies[index % bodies.length]!;
    for (let count = index; !this.isStopped; count += 1) {
      const router = this.fleet.member(routers[count % routers.length]!);
      const chat = `chat-${index}-${count}`;
      const startMs = performance.now();
      const result = await fleetCalls.call(router, {path, chat, body});
      const endMs = performance.now();
      this.records.push({startMs, endMs, body, result});
    }
  }
}

/** The endpoint that answered, if any. */
export function endpointOf(record: CallRecord): string | undefined {
  return record.result.type === 'answered' ? record.result.endpoint : undefined;
}

/** Counts the results by kind. */
export function countByKind(
  records: readonly CallRecord[],
): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const {result} of records) {
    const kind = fleetCalls.kindOf(result);
    counts[kind] = (counts[kind] ?? 0) + 1;
  }
  return counts;
}

async function getAdmin(
  fleet: standins.Fleet,
  router: string,
  path: string,
): Promise<unknown> {
  const {address, admin_port: port} = fleet.member(router).instance;
  const answer = await fetch(`http://${address}:${port}/admin/v1${path}`, {
    headers: {authorization: `Bearer ${fleet.options.adminToken}`},
  });
  return answer.json();
}

/** Fleet status as reported by one router. */
export async function readStatus(
  fleet: standins.Fleet,
  router: string,
): Promise<core.FleetStatus> {
  return v.parse(
    core.fleetStatusSchema,
    await getAdmin(fleet, router, '/status'),
  );
}

/** Owner by endpoint; undefined unless each endpoint has exactly one. */
export async function readOwners(
  fleet: standins.Fleet,
  router: string,
): Promise<Map<string, string> | undefined> {
  const {endpoints} = await readStatus(fleet, router);
  if (endpoints.some(item => item.owners.length !== 1)) return undefined;
  return new Map(endpoints.map(item => [item.name, item.owners[0]!]));
}

/** Trace steps of a request at all routers. */
export async function readSteps(
  fleet: standins.Fleet,
  router: string,
  requestId: string,
): Promise<core.TraceStep[]> {
  const why = await getAdmin(fleet, router, `/why/${requestId}`);
  return v.parse(core.whyResponseSchema, why).steps;
}

/** Length of the longest chain of forwards from the request's entry router. */
export function countMaxHops(
  trace: readonly core.TraceStep[],
  entry: string,
): number {
  const hops = new Map([[entry, 0]]);
  let maxHops = 0;
  for (const {step, router, detail} of trace) {
    if (step !== 'passed_on') continue;
    const hopCount = (hops.get(router) ?? 0) + 1;
    const target = /^to ([^:]+):/.exec(detail)?.[1] ?? '';
    if (!hops.has(target)) hops.set(target, hopCount);
    maxHops = Math.max(maxHops, hopCount);
  }
  return maxHops;
}

/** Prints the measurements of a test as one log line. */
export function printMeasurements(
  fields: Record<string, string | number>,
): void {
  process.stdout.write(`      ${core.formatFields(fields)}\n`);
}
