/**
 * Test support: a router with endpoints over plain TCP, and callers over plain
 * TCP.
 */
import * as standins from '@oleanderrock/standins';
import * as support from './directfleet.js';
import * as rawCaller from './rawcaller.js';
import * as rawEngine from './rawengine.js';

const ADDRESS = '127.0.0.1';
const DEADLINE_MS = 3_000;

/** Body of a request that arrives at once. */
export const SMALL_BODY = 'x';

/** An answer as its caller took it, and the id of the attempt. */
export type CallResult = rawCaller.TakenAnswer & {readonly id: string};

/** Events of a whole stream. */
const EVENTS = 6;

/** A router, its store and its endpoints. */
export class RawFleet {
  private readonly fleet = new support.DirectFleet();
  private readonly engines: readonly rawEngine.RawEngine[];
  private callCount = 0;

  /** @param choose chooses the answer to a request */
  constructor(
    engineCount: number,
    choose: (request: rawEngine.RawRequest) => rawEngine.RawAnswer,
  ) {
    this.engines = Array.from(
      {length: engineCount},
      (unused, index) =>
        new rawEngine.RawEngine(`raw${index}`, ADDRESS, choose),
    );
  }

  async start(): Promise<void> {
    for (const engine of this.engines) {
      await engine.start();
      this.fleet.store.put('keyed.servers', engine.id, engine.entry());
    }
    await this.fleet.start(0, 1);
  }

  async stop(): Promise<void> {
    await this.fleet.stop();
    await Promise.all(this.engines.map(engine => engine.stop()));
  }

  async call(route: string, body = SMALL_BODY): Promise<CallResult> {
    this.callCount += 1;
    const id = `attempt-${this.callCount}`;
    const taken = await rawCaller.call({
      address: this.fleet.address(0),
      port: this.fleet.entryPort,
      path: `${route}a`,
      headers: standins.callerHeaders({
        host: support.HOST,
        attemptId: id,
        apiKey: support.API_KEY,
        deadlineMs: DEADLINE_MS,
      }),
      body,
    });
    return {...taken, id};
  }

  /** Makes calls on a route at once; returns their answers. */
  callAtOnce(
    route: string,
    count: number,
    body = SMALL_BODY,
  ): Promise<CallResult[]> {
    return Promise.all(
      Array.from({length: count}, () => this.call(route, body)),
    );
  }
}

/** Whether the route of the path answers with event streams. */
export function isStreaming(path: string): boolean {
  return path.startsWith('/chat/') || path.startsWith('/once/');
}

/** The body of a run, in two pieces; that of a stream is cut between events. */
export function bodyOf(
  {path, headers}: rawEngine.RawRequest,
  runId: string,
): [string, string] {
  if (!isStreaming(path)) return [`${runId} begins`, `, ${runId} ends`];
  const first = Number(headers['last-event-id'] ?? 0) + 1;
  const middle = Math.max(first - 1, EVENTS / 2);
  return [support.events(middle, first), support.events(EVENTS, middle + 1)];
}

/** Whether the body consists of events in their order, from the first on. */
export function isUnbroken(body: string): boolean {
  return support.events(EVENTS).startsWith(body);
}

/** The lines of a head that a router accepts for the request. */
export function acceptedLines({path, headers}: rawEngine.RawRequest): string {
  const id = headers['attempt-id'] ?? '';
  const type = isStreaming(path) ? 'content-type: text/event-stream\r\n' : '';
  return `attempt-id: ${id}\r\nresponse-seal: s.${id}\r\n${type}`;
}
