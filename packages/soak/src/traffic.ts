/**
 * Callers of a soak. Each resolves the routers' addresses through a router's
 * directory, caches them for their TTL, and reuses its keep-alive connections.
 */
import * as http from 'node:http';
import * as core from '@oleanderrock/core';
import * as standins from '@oleanderrock/standins';
import * as v from 'valibot';
import * as tables from './tables.js';
import * as environments from './environment.js';

/** Time that a caller waits for an answer, in ms. */
const DEADLINE_MS = 3_000;

/** Pause of a caller between two requests, in ms. */
const PAUSE_MS = 40;

/** Pause of a caller before it retries a failed address resolution, in ms. */
const NO_ADDRESS_PAUSE_MS = 100;

/** Share of the requests that their callers cancel early. */
const CANCEL_SHARE = 0.03;
const CANCEL_AFTER_MS = 60;

/** How often a caller takes up a stream that breaks off. */
const MAX_TAKE_UPS = 3;

const REQUEST_MIX: readonly tables.RequestKind[] = [
  'read',
  'read',
  'book',
  'chat',
  'once',
];

const addressesSchema = v.object({
  addrs: v.array(v.string()),
  ttlS: v.number(),
});

/** A request and its outcome at the caller; times are monotonic, in ms. */
export interface Call {
  readonly id: string;
  readonly path: string;
  readonly router: string;
  readonly sentMs: number;
  endedMs: number;
  /** The stream that the call takes up; absent if it begins anew. */
  readonly resumed?: tables.ResumedStream;
  /** Absent if no response headers arrived. */
  answer?: Answer;
  /** Whether the connection to the router was established. */
  isConnected: boolean;
  /** Whether the caller cancelled the request, early or at its deadline. */
  isCancelled: boolean;
}

/** An answer as received. */
export interface Answer {
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  body: string;
  isComplete: boolean;
}

/** Runs the callers, one task each, and records their calls. */
export class TrafficGenerator {
  readonly calls: Call[] = [];
  private readonly callerTasks: Array<Promise<void>> = [];
  private isStopped = false;
  private callCount = 0;

  constructor(
    private readonly environment: environments.SoakEnvironment,
    private readonly random: core.Random,
  ) {}

  start(callers: number): void {
    for (let i = 0; i < callers; i++) this.callerTasks.push(this.runCaller());
  }

  async stop(): Promise<void> {
    this.isStopped = true;
    await Promise.all(this.callerTasks);
  }

  /** Sends and records a request, over the agent's connections if given. */
  async sendCall(
    router: string,
    path: string,
    agent: http.Agent | false = false,
    resumed?: tables.ResumedStream,
  ): Promise<Call> {
    this.callCount += 1;
    const call: Call = {
      id: `call-${this.callCount}`,
      path,
      router,
      resumed,
      sentMs: performance.now(),
      endedMs: 0,
      isConnected: false,
      isCancelled: false,
    };
    this.calls.push(call);
    await this.sendRequest(call, agent);
    call.endedMs = performance.now();
    return call;
  }

  private async runCaller(): Promise<void> {
    const agent = new http.Agent({keepAlive: true, maxFreeSockets: 4});
    let addresses: readonly string[] = [];
    let validUntilMs = 0;
    while (!this.isStopped) {
      if (performance.now() > validUntilMs) {
        const resolution = await this.resolveAddresses();
        addresses = resolution?.addresses ?? addresses;
        validUntilMs =
          performance.now() + (resolution?.keepMs ?? NO_ADDRESS_PAUSE_MS);
      }
      const router = this.pick(addresses);
      if (router === undefined) {
        await environments.sleep(NO_ADDRESS_PAUSE_MS);
        continue;
      }
      const call = await this.sendRandomCall(router, agent);
      await this.takeUp(call, addresses, agent);
    }
    agent.destroy();
  }

  private async sendRandomCall(
    router: string,
    agent: http.Agent,
  ): Promise<Call> {
    const kind = this.pick(REQUEST_MIX)!;
    const path = `/${kind}/${this.random.nextInt(1_000_000)}`;
    const call = await this.sendCall(router, path, agent);
    await environments.sleep(PAUSE_MS * this.random.nextFloat() * 2);
    return call;
  }

  /** Takes a stream up that broke off, at any router, a few times. */
  private async takeUp(
    first: Call,
    addresses: readonly string[],
    agent: http.Agent,
  ): Promise<void> {
    const {id, path} = first;
    if (!tables.isResumable(path) || first.isCancelled) return;
    let body = '';
    let last = first;
    for (let taken = 0; taken < MAX_TAKE_UPS; taken++) {
      if (!last.answer || last.answer.isComplete || last.isCancelled) return;
      body += last.answer.body;
      const resumed = tables.streamIn(id, body);
      const router = this.pick(addresses);
      if (!resumed || router === undefined) return;
      last = await this.sendCall(router, path, agent, resumed);
    }
  }

  private pick<T>(items: readonly T[]): T | undefined {
    return items[this.random.nextInt(items.length)];
  }

  private resolveAddresses(): Promise<
    {addresses: readonly string[]; keepMs: number} | undefined
  > {
    const {address: host} = this.pick(this.environment.routers)!;
    const path = `/resolve?name=${tables.HOST}&region=r&zone=zone-a`;
    return new Promise(resolve => {
      const request = http.get(
        {
          host,
          port: this.environment.ports.directory,
          path,
          timeout: 1_000,
          agent: false,
        },
        response => {
          let text = '';
          response.setEncoding('utf8');
          response.on('data', (chunk: string) => (text += chunk));
          response.on('close', () => resolve(parseAddresses(text)));
        },
      );
      request.on('timeout', () => request.destroy());
      request.on('error', () => resolve(undefined));
    });
  }

  private sendRequest(call: Call, agent: http.Agent | false): Promise<void> {
    return new Promise(resolve => {
      const request = http.request({
        host: call.router,
        port: this.environment.ports.entry,
        method: call.path.startsWith('/read/') ? 'GET' : 'POST',
        path: call.path,
        headers: {
          ...standins.callerHeaders({
            host: tables.HOST,
            attemptId: call.id,
            apiKey: tables.API_KEY,
            deadlineMs: DEADLINE_MS,
          }),
          ...resumptionHeaders(call),
        },
        agent,
      });
      const cancelTimer = setTimeout(() => {
        call.isCancelled = true;
        request.destroy();
      }, this.drawTimeoutMs());
      const finish = () => {
        clearTimeout(cancelTimer);
        resolve();
      };
      request.on('socket', socket => {
        if (!socket.connecting) call.isConnected = true;
        else socket.once('connect', () => (call.isConnected = true));
      });
      core.responseEnds.follow(request);
      request.on('error', finish);
      request.on('response', response => collectAnswer(call, response, finish));
      request.end();
    });
  }

  private drawTimeoutMs(): number {
    return this.random.nextFloat() < CANCEL_SHARE
      ? CANCEL_AFTER_MS
      : DEADLINE_MS;
  }
}

function resumptionHeaders({resumed}: Call): Record<string, string> {
  if (!resumed) return {};
  const {id, eventCount} = resumed;
  return {'last-event-id': String(eventCount), resumes: id};
}

function collectAnswer(
  call: Call,
  response: http.IncomingMessage,
  finish: () => void,
): void {
  const {statusCode: status = 0, headers} = response;
  const answer: Answer = {status, headers, body: '', isComplete: false};
  call.answer = answer;
  response.setEncoding('utf8');
  response.on('data', (chunk: string) => (answer.body += chunk));
  response.on('error', () => undefined);
  response.on('close', () => {
    answer.isComplete = core.responseEnds.isWhole(response);
    finish();
  });
}

function parseAddresses(text: string) {
  try {
    const {addrs, ttlS} = v.parse(addressesSchema, JSON.parse(text));
    const addresses = addrs.map(item => item.split(':')[0]!);
    return {addresses, keepMs: ttlS * 1_000};
  } catch {
    // A router without addresses answers an error; the caller tries another.
    return undefined;
  }
}
