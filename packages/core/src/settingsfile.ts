/**
 * Settings files with lines of `VARIABLE=value`. Environment variables take
 * precedence over the file. The file may change while the program runs; `watch`
 * polls it, since file system events are not delivered for every change.
 */
import * as fs from 'node:fs/promises';
import type * as clock from './clock.js';

/** Values of variables, by name. */
export type Variables = Readonly<Record<string, string>>;

/** Interval at which the file is checked for changes, in ms. */
const POLL_INTERVAL_MS = 2_000;

/** Parses the text of a settings file; skips blank lines and `#` comments. */
export function parseVariables(text: string): Variables {
  const variables: Record<string, string> = {};
  for (const line of text.split('\n')) {
    const separator = line.indexOf('=');
    if (separator <= 0 || line.startsWith('#')) continue;
    variables[line.slice(0, separator).trim()] = line
      .slice(separator + 1)
      .trim();
  }
  return variables;
}

/** A settings file that can be watched for changes. */
export class SettingsFile {
  private lastText = '';

  constructor(private readonly path: string) {}

  /** Reads the file. Rejects if it cannot be read. */
  async read(): Promise<Variables> {
    this.lastText = await fs.readFile(this.path, 'utf8');
    return parseVariables(this.lastText);
  }

  /** Reads the file; resolves with undefined if it has not changed. */
  async readIfChanged(): Promise<Variables | undefined> {
    const previousText = this.lastText;
    const variables = await this.read();
    return this.lastText === previousText ? undefined : variables;
  }

  /** Calls `onChange` with each new content until `signal` aborts. */
  async watch(
    timeSource: clock.Clock,
    signal: AbortSignal,
    onChange: (variables: Variables) => void,
  ): Promise<void> {
    while (!signal.aborted) {
      await timeSource.sleep(POLL_INTERVAL_MS, signal);
      // A file that is being replaced may be missing; the next poll reads it.
      const variables = await this.readIfChanged().catch(() => undefined);
      if (variables && !signal.aborted) onChange(variables);
    }
  }
}
