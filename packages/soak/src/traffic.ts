/**
 * Callers of a soak. Each asks a router for addresses, keeps the answer for as
 * long as it was told, and uses its open connections until they end.
 */
import * as http from 'node:http';
import * as core from '@oleanderrock/core';
import * as standins from '@oleanderrock/standins';
import * as v from 'valibot';
import * as tables from './tables.js';
import * as worlds from './world.js';

/** How long a caller waits for an answer, in ms. */
const DEADLINE_MS = 3_000;

/** Pause of a caller between two requests, in ms. */
const PAUSE_MS = 40;

/** Pause of a caller that knows no address, in ms. */
const LOST_PAUSE_MS = 100;

/** Share of the requests that their callers give up early. */
const GIVE_UP_SHARE = 0.03;
const GIVE_UP_MS = 60;

const MIX: readonly tables.Kind[] = ['read', 'read', 'book', 'chat', 'once'];

const addressesSchema = v.object({
  addrs: v.array(v.string()),
  ttlS: v.number(),
});

/** A request with what its caller got. */
export interface Call {
  readonly id: string;
  readonly path: string;
  readonly router: string;
  readonly sentMs: number;
  endedMs: number;
  /** Absent where no answer began. */
  answer?: Answer;
  /** Whether the connection was made. */
  isConnected: boolean;
  /** Whether the caller gave up itself. */
  isGivenUp: boolean;
}

/** An answer as it came. */
export interface Answer {
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  body: string;
  isWhole: boolean;
}

/** Callers, one task each. */
export class Traffic {
  readonly calls: Call[] = [];
  private readonly tasks: Array<Promise<void>> = [];
  private isOver = false;
  private count = 0;

  constructor(
    private readonly world: worlds.World,
    private readonly random: core.Random,
  ) {}

  start(callers: number): void {
    for (let at = 0; at < callers; at++) this.tasks.push(this.run());
  }

  async stop(): Promise<void> {
    this.isOver = true;
    await Promise.all(this.tasks);
  }

  /** One request over the agent's connections. */
  async call(
    router: string,
    path: string,
    agent: http.Agent | false = false,
  ): Promise<Call> {
    this.count += 1;
    const call: Call = {
      id: `call-${this.count}`,
      path,
      router,
      sentMs: performance.now(),
      endedMs: 0,
      isConnected: false,
      isGivenUp: false,
    };
    this.calls.push(call);
    await this.send(call, agent);
    call.endedMs = performance.now();
    return call;
  }

  private async run(): Promise<void> {
    const agent = new http.Agent({keepAlive: true, maxFreeSockets: 4});
    let addresses: readonly string[] = [];
    let untilMs = 0;
    while (!this.isOver) {
      if (performance.now() > untilMs) {
        const known = await this.resolve();
        addresses = known?.addresses ?? addresses;
        untilMs = performance.now() + (known?.keepMs ?? LOST_PAUSE_MS);
      }
      const router = this.pick(addresses);
      if (router === undefined) await worlds.sleep(LOST_PAUSE_MS);
      else await this.ask(router, agent);
    }
    agent.destroy();
  }

  private async ask(router: string, agent: http.Agent): Promise<void> {
    const kind = this.pick(MIX)!;
    const path = `/${kind}/${this.random.nextInt(1_000_000)}`;
    await this.call(router, path, agent);
    await worlds.sleep(PAUSE_MS * this.random.nextFloat() * 2);
  }

  private pick<T>(items: readonly T[]): T | undefined {
    return items[this.random.nextInt(items.length)];
  }

  private resolve(): Promise<
    {addresses: readonly string[]; keepMs: number} | undefined
  > {
    const {address: host} = this.pick(this.world.routers)!;
    const path = `/resolve?name=${tables.HOST}&region=r&zone=zone-a`;
    return new Promise(done => {
      const request = http.get(
        {
          host,
          port: this.world.ports.directory,
          path,
          timeout: 1_000,
          agent: false,
        },
        response => {
          let text = '';
          response.setEncoding('utf8');
          response.on('data', (piece: string) => (text += piece));
          response.on('close', () => done(readAddresses(text)));
        },
      );
      request.on('timeout', () => request.destroy());
      request.on('error', () => done(undefined));
    });
  }

  private send(call: Call, agent: http.Agent | false): Promise<void> {
    return new Promise(resolve => {
      const request = http.request({
        host: call.router,
        port: this.world.ports.entry,
        method: call.path.startsWith('/read/') ? 'GET' : 'POST',
        path: call.path,
        headers: standins.callerHeaders({
          host: tables.HOST,
          id: call.id,
          key: tables.KEY,
          waitMs: DEADLINE_MS,
        }),
        agent,
      });
      const end = setTimeout(() => {
        call.isGivenUp = true;
        request.destroy();
      }, this.patienceMs());
      const finish = () => {
        clearTimeout(end);
        resolve();
      };
      request.on('socket', socket => {
        if (!socket.connecting) call.isConnected = true;
        else socket.once('connect', () => (call.isConnected = true));
      });
      request.on('error', finish);
      request.on('response', response => receive(call, response, finish));
      request.end();
    });
  }

  private patienceMs(): number {
    return this.random.nextFloat() < GIVE_UP_SHARE ? GIVE_UP_MS : DEADLINE_MS;
  }
}

function receive(
  call: Call,
  response: http.IncomingMessage,
  finish: () => void,
): void {
  const {statusCode: status = 0, headers} = response;
  const answer: Answer = {status, headers, body: '', isWhole: false};
  call.answer = answer;
  response.setEncoding('utf8');
  response.on('data', (piece: string) => (answer.body += piece));
  response.on('error', () => undefined);
  response.on('close', () => {
    answer.isWhole = response.complete;
    finish();
  });
}

function readAddresses(text: string) {
  try {
    const {addrs, ttlS} = v.parse(addressesSchema, JSON.parse(text));
    const addresses = addrs.map(item => item.split(':')[0]!);
    return {addresses, keepMs: ttlS * 1_000};
  } catch {
    // A router that knows none says so; the caller asks another one.
    return undefined;
  }
}
