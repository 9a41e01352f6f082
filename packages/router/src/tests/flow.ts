/** Callers that ask chosen routers again and again, with what they got. */
import * as core from '@oleanderrock/core';
import type * as standins from '@oleanderrock/standins';
import * as v from 'valibot';
import * as members from './members.js';

/** One answer or failure, with when it was asked for and came. */
export interface Got {
  readonly beganMs: number;
  readonly endedMs: number;
  readonly body: object;
  readonly result: standins.CallResult;
}

/** Who asks for what. */
export interface FlowOptions {
  /** Routers that are asked, in turn. */
  readonly via: readonly string[];
  readonly callers: number;
  /** Bodies, in turn over the callers. */
  readonly bodies: readonly object[];
  readonly path?: string;
}

/** Callers that ask for a new chat as soon as they have an answer. */
export class Flow {
  readonly got: Got[] = [];
  private readonly tasks: Array<Promise<void>>;
  private isOver = false;

  constructor(
    private readonly fleet: standins.Fleet,
    private readonly options: FlowOptions,
  ) {
    const callers = [...Array(options.callers).keys()].map(index => index);
    this.tasks = callers.map(index => this.ask(index));
  }

  /** All that was asked for from a time on. */
  since(fromMs: number): Got[] {
    return this.got.filter(item => item.beganMs >= fromMs);
  }

  async end(): Promise<void> {
    this.isOver = true;
    await Promise.all(this.tasks);
  }

  private async ask(index: number): Promise<void> {
    const {via, bodies, path = '/chat'} = this.options;
    const body = bodies[index % bodies.length]!;
    for (let count = index; !this.isOver; count += 1) {
      const router = this.fleet.member(via[count % via.length]!);
      const chat = `chat-${index}-${count}`;
      const beganMs = performance.now();
      const result = await members.call(router, {path, chat, body});
      const endedMs = performance.now();
      this.got.push({beganMs, endedMs, body, result});
    }
  }
}

/** The endpoint that answered; undefined where none did. */
export function endpointOf(got: Got): string | undefined {
  return got.result.type === 'answered' ? got.result.endpoint : undefined;
}

/** How often each kind of result came. */
export function tally(got: readonly Got[]): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const {result} of got) {
    const kind = members.kindOf(result);
    counts[kind] = (counts[kind] ?? 0) + 1;
  }
  return counts;
}

async function admin(
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

/** The fleet's state as one router tells it. */
export async function status(
  fleet: standins.Fleet,
  router: string,
): Promise<core.FleetStatus> {
  return v.parse(core.fleetStatusSchema, await admin(fleet, router, '/status'));
}

/** The endpoints with their owners, once each has one. */
export async function owners(
  fleet: standins.Fleet,
  router: string,
): Promise<Map<string, string> | undefined> {
  const {endpoints} = await status(fleet, router);
  if (endpoints.some(item => item.owners.length !== 1)) return undefined;
  return new Map(endpoints.map(item => [item.name, item.owners[0]!]));
}

/** The steps of a request at all routers. */
export async function steps(
  fleet: standins.Fleet,
  router: string,
  requestId: string,
): Promise<core.Step[]> {
  const why = await admin(fleet, router, `/why/${requestId}`);
  return v.parse(core.whySchema, why).steps;
}

/** How many routers passed the request on, one after another, at most. */
export function depth(all: readonly core.Step[], entry: string): number {
  const hops = new Map([[entry, 0]]);
  let deepest = 0;
  for (const {step, router, detail} of all) {
    if (step !== 'passed_on') continue;
    const next = (hops.get(router) ?? 0) + 1;
    const to = /^to ([^:]+):/.exec(detail)?.[1] ?? '';
    if (!hops.has(to)) hops.set(to, next);
    deepest = Math.max(deepest, next);
  }
  return deepest;
}

/** Prints what a test measured. */
export function print(fields: Record<string, string | number>): void {
  process.stdout.write(`      ${core.line(fields)}\n`);
}
