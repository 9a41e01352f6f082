/** A fleet with a terminal: runs the program's commands and keeps what they print. */
import * as stream from 'node:stream';
import * as timers from 'node:timers/promises';
import * as url from 'node:url';
import * as core from '@oleanderrock/core';
import * as standins from '@oleanderrock/standins';
import * as program from '../program.js';

const POLL_MS = 50;
const ROUTER = new URL(
  './main.js',
  import.meta.resolve('@oleanderrock/router'),
);

/** What a command did. */
export interface Ran {
  readonly code: number;
  readonly out: string;
  readonly err: string;
}

/** Address at which nothing listens. */
export const NOWHERE = '127.0.0.1:1';

/** A small fleet and a terminal. */
export class Terminal {
  readonly fleet = new standins.Fleet({
    routerProgram: url.fileURLToPath(ROUTER),
  });

  /** Starts the routers and a service `s1`. */
  async start(routers: readonly string[]): Promise<void> {
    await this.fleet.start();
    await Promise.all([
      ...routers.map(name => this.fleet.addRouter({name})),
      this.fleet.addService({name: 's1'}),
    ]);
    const total = `${routers.length} of ${routers.length}`;
    for (const router of routers) {
      for (;;) {
        const address = this.address(router);
        const {out} = await this.run('status', '--address', address);
        const isOwned = /^s1 +home/m.test(out);
        if (out.includes(`in force on ${total}`) && isOwned) break;
        await timers.setTimeout(POLL_MS);
      }
    }
  }

  /** The administration address of a router. */
  address(router: string): string {
    const {address, admin_port: port} = this.fleet.member(router).instance;
    return `${address}:${port}`;
  }

  /** Runs a command with the fleet's first router and its token. */
  run(...words: string[]): Promise<Ran> {
    return this.runWith('', ...words);
  }

  /** Runs a command that reads `input`. */
  async runWith(input: string, ...words: string[]): Promise<Ran> {
    const [first] = this.fleet.instances('router');
    const defaults = {
      '--address': this.address(first?.name ?? ''),
      '--token': this.fleet.options.adminToken,
      '--operator': 'ada',
    };
    const missing = Object.entries(defaults).filter(
      ([flag]) => !words.includes(flag),
    );
    return execute(input, [...words, ...missing.flat()]);
  }
}

function collect(): {readonly sink: stream.Writable; text(): string} {
  const chunks: Buffer[] = [];
  const sink = new stream.Writable({
    write(chunk: Buffer, encoding, done) {
      chunks.push(chunk);
      done();
    },
  });
  return {sink, text: () => Buffer.concat(chunks).toString('utf8')};
}

/** Runs the program's words as its main module does. */
export async function execute(input: string, words: string[]): Promise<Ran> {
  const [out, err] = [collect(), collect()];
  const code = await core.execute(program.create(), program.PROGRAM, words, {
    env: {},
    stdin: stream.Readable.from([input]),
    stdout: out.sink,
    stderr: err.sink,
  });
  return {code, out: out.text(), err: err.text()};
}
