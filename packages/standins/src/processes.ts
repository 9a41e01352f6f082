/** Child processes that a launcher starts, and their lines of output. */
import * as childProcess from 'node:child_process';
import * as events from 'node:events';
import * as readline from 'node:readline';

const MAX_LINES = 2_000;
const START_TIMEOUT_MS = 20_000;
const ENV_PREFIX = 'OLEANDER_';
const LISTENING = 'event=listening';

/** How a process ended. */
export interface Exit {
  /** Exit status, or null where a signal ended it. */
  readonly status: number | null;
  readonly signal: NodeJS.Signals | null;
}

function environment(): NodeJS.ProcessEnv {
  const entries = Object.entries(process.env);
  return Object.fromEntries(
    entries.filter(([name]) => !name.startsWith(ENV_PREFIX)),
  );
}

function readFields(line: string): Map<string, string> {
  const pairs = line.matchAll(/(\w+)=(\S+)/g);
  return new Map([...pairs].map(([, key = '', value = '']) => [key, value]));
}

/** One child process running a Node program. */
export class Child {
  readonly exited: Promise<Exit>;
  private readonly child: childProcess.ChildProcess;
  private readonly output: string[] = [];
  private readonly emitter = new events.EventEmitter();
  private exit: Exit | undefined;

  /** Starts `program` under Node; the launcher's own settings stay behind. */
  constructor(
    readonly name: string,
    program: string,
    args: readonly string[],
    variables: Readonly<Record<string, string>> = {},
  ) {
    this.child = childProcess.spawn(process.execPath, [program, ...args], {
      env: {...environment(), ...variables},
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.collect(this.child.stdout);
    this.collect(this.child.stderr);
    this.exited = new Promise(resolve => {
      this.child.once('close', (status, signal) => {
        this.exit = {status, signal};
        resolve(this.exit);
      });
    });
  }

  /** The newest lines of output and errors, the oldest first. */
  get lines(): readonly string[] {
    return this.output;
  }

  /** Whether the process has not ended yet. */
  get isRunning(): boolean {
    return this.exit === undefined;
  }

  get pid(): number | undefined {
    return this.child.pid;
  }

  /** Sends a signal, unless the process has ended. */
  signal(signal: NodeJS.Signals): void {
    if (this.isRunning) this.child.kill(signal);
  }

  /**
   * The fields of the line that says that the process listens.
   * Throws, with the output, where it ends or takes too long.
   */
  async listening(): Promise<Map<string, string>> {
    const signal = AbortSignal.timeout(START_TIMEOUT_MS);
    for (;;) {
      const line = this.output.find(text => text.includes(LISTENING));
      if (line) return readFields(line);
      if (!this.isRunning) throw this.startFailure('ended');
      const next = events.EventEmitter.once(this.emitter, 'line', {signal});
      const hasTime = await Promise.race([
        next.then(
          () => true,
          () => false,
        ),
        this.exited.then(() => true),
      ]);
      if (!hasTime) throw this.startFailure('did not listen in time');
    }
  }

  private startFailure(what: string): Error {
    return new Error(`${this.name} ${what}\n${this.output.join('\n')}`);
  }

  private collect(stream: NodeJS.ReadableStream | null): void {
    if (!stream) return;
    readline.createInterface({input: stream}).on('line', line => {
      this.output.push(line);
      if (this.output.length > MAX_LINES) this.output.shift();
      this.emitter.emit('line');
    });
  }
}
