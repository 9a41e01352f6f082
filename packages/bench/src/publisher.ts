/** Publishes the operators' tables on a fleet with `oleanderctl`. */
import * as core from '@oleanderrock/core';
import * as standins from '@oleanderrock/standins';
import * as fs from 'node:fs/promises';
import * as os from 'node:os';
import * as path from 'node:path';
import * as url from 'node:url';
import type * as deployment from './deployment.js';

const CTL_PROGRAM = new URL('../../ctl/dist/main.js', import.meta.url);
const OPERATOR = 'bench';
/** Exit codes after which the same command may succeed. */
const TRANSIENT_EXIT_CODES = [3, 5];
const MAX_TRIES = 4;
const RETRY_MS = 250;

/** Address and token of a router's administration interface. */
export interface AdminAccess {
  /** Host and port, such as `127.0.0.1:8082`. */
  readonly address: string;
  readonly token: string;
}

/**
 * Sets rows in one edit and resolves when it is in force on every router.
 * Throws an error with the command's output if that fails.
 */
export async function publishTables(
  rows: deployment.TableRows,
  access: AdminAccess,
): Promise<void> {
  const folder = await fs.mkdtemp(path.join(os.tmpdir(), 'oleander-bench-'));
  try {
    const file = path.join(folder, 'tables.json');
    await fs.writeFile(file, JSON.stringify(rows));
    await applyFile(file, access);
  } finally {
    await fs.rm(folder, {recursive: true});
  }
}

async function applyFile(file: string, access: AdminAccess): Promise<void> {
  const clock = new core.SystemClock();
  const {address, token} = access;
  const flags = {
    '--address': address,
    '--token': token,
    '--operator': OPERATOR,
  };
  const args = ['apply', file, '--yes', ...Object.entries(flags).flat()];
  const program = url.fileURLToPath(CTL_PROGRAM);
  for (let attempt = 1; ; attempt++) {
    const command = new standins.ChildProcess('oleanderctl', program, args);
    const {status} = await command.exited;
    if (status === 0) return;
    if (attempt >= MAX_TRIES || !TRANSIENT_EXIT_CODES.includes(status ?? 0)) {
      const output = command.outputLines.join('; ');
      throw new Error(`oleanderctl apply: status ${status}: ${output}`);
    }
    await clock.sleep(RETRY_MS);
  }
}
