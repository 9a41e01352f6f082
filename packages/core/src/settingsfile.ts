/**
 * A settings file: lines of `VARIABLE=value`, as in an environment. A variable
 * of the environment goes before the file's. The file may change while the
 * program runs; `watch` polls it, since a change is not always signalled.
 */
import * as fs from 'node:fs/promises';
import type * as clock from './clock.js';

/** Variables by name. */
export type Variables = Readonly<Record<string, string>>;

/** How often the file is looked at for changes, in ms. */
const POLL_MS = 2_000;

/** Reads the lines of a settings file; blank lines and comments are skipped. */
export function parseVariables(text: string): Variables {
  const variables: Record<string, string> = {};
  for (const line of text.split('\n')) {
    const at = line.indexOf('=');
    if (at <= 0 || line.startsWith('#')) continue;
    variables[line.slice(0, at).trim()] = line.slice(at + 1).trim();
  }
  return variables;
}

/** A settings file that is read again when it changes. */
export class SettingsFile {
  private lastText = '';

  constructor(private readonly path: string) {}

  /** Reads the file. Rejects where it cannot be read. */
  async read(): Promise<Variables> {
    this.lastText = await fs.readFile(this.path, 'utf8');
    return parseVariables(this.lastText);
  }

  /** The variables where the file differs from the last reading. */
  async readChange(): Promise<Variables | undefined> {
    const before = this.lastText;
    const variables = await this.read();
    return this.lastText === before ? undefined : variables;
  }

  /** Calls `changed` with each new content until `signal` aborts. */
  async watch(
    time: clock.Clock,
    signal: AbortSignal,
    changed: (variables: Variables) => void,
  ): Promise<void> {
    while (!signal.aborted) {
      await time.sleep(POLL_MS, signal);
      // A file that is just being replaced is read at the next look.
      const variables = await this.readChange().catch(() => undefined);
      if (variables && !signal.aborted) changed(variables);
    }
  }
}
