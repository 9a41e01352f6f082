/** Child processes that run a Node program, and their output. */
import * as childProcess from 'node:child_process';
import * as events from 'node:events';
import * as readline from 'node:readline';

const MAX_OUTPUT_LINES = 2_000;
const START_TIMEOUT_MS = 20_000;
const ENV_PREFIX = 'OLEANDER_';
const LISTENING_MARKER = 'event=listening';

/** Exit of a process. */
export interface ProcessExit {
  /** Exit status, or null if a signal ended the process. */
  readonly status: number | null;
  readonly signal: NodeJS.Signals | null;
}

function environmentWithoutSettings(): NodeJS.ProcessEnv {
  const entries = Object.entries(process.env);
  return Object.fromEntries(
    entries.filter(([name]) => !name.startsWith(ENV_PREFIX)),
  );
}

function readFields(line: string): Map<string, string> {
  const pairs = line.matchAll(/(\w+)=(\S+)/g);
  return new Map([...pairs].map(([, key = '', value = '']) => [key, value]));
}

/** A child process that runs a Node program. */
export class ChildProcess {
  readonly exited: Promise<ProcessExit>;
  private readonly child: childProcess.ChildProcess;
  private readonly recentLines: string[] = [];
  private readonly lineEmitter = new events.EventEmitter();
  private exitResult: ProcessExit | undefined;

  /** Starts `program` under Node without this process's OLEANDER_ variables. */
  constructor(
    readonly name: string,
    program: string,
    args: readonly string[],
    variables: Readonly<Record<string, string>> = {},
  ) {
    this.child = childProcess.spawn(process.execPath, [program, ...args], {
      env: {...environmentWithoutSettings(), ...variables},
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.collectLines(this.child.stdout);
    this.collectLines(this.child.stderr);
    this.exited = new Promise(resolve => {
      this.child.once('close', (status, signal) => {
        this.exitResult = {status, signal};
        resolve(this.exitResult);
      });
    });
  }

  /** Newest lines of standard output and error, the oldest first. */
  get outputLines(): readonly string[] {
    return this.recentLines;
  }

  /** Whether the process has not exited yet. */
  get isRunning(): boolean {
    return this.exitResult === undefined;
  }

  get pid(): number | undefined {
    return this.child.pid;
  }

  /** Sends a signal, unless the process has exited. */
  signal(signal: NodeJS.Signals): void {
    if (this.isRunning) this.child.kill(signal);
  }

  /**
   * Returns the fields of the log line with `event=listening`. Throws with the
   * output if the process exits before it or does not listen within 20 s.
   */
  async untilListening(): Promise<Map<string, string>> {
    const signal = AbortSignal.timeout(START_TIMEOUT_MS);
    for (;;) {
      const line = this.recentLines.find(text =>
        text.includes(LISTENING_MARKER),
      );
      if (line) return readFields(line);
      if (!this.isRunning) throw this.startError('exited');
      const lineEvent = events.EventEmitter.once(this.lineEmitter, 'line', {
        signal,
      });
      const isInTime = await Promise.race([
        lineEvent.then(
          () => true,
          () => false,
        ),
        this.exited.then(() => true),
      ]);
      if (!isInTime) throw this.startError('did not listen in time');
    }
  }

  private startError(problem: string): Error {
    return new Error(`${this.name} ${problem}\n${this.recentLines.join('\n')}`);
  }

  private collectLines(stream: NodeJS.ReadableStream | null): void {
    if (!stream) return;
    readline.createInterface({input: stream}).on('line', line => {
      this.recentLines.push(line);
      if (this.recentLines.length > MAX_OUTPUT_LINES) this.recentLines.shift();
      this.lineEmitter.emit('line');
    });
  }
}
