/**
 * Prepares a checkout: installs the locked dependencies if they are missing or
 * older than the lock file, then builds all packages.
 */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';

const LOCK = 'package-lock.json';
const INSTALLED_LOCK = 'node_modules/.package-lock.json';

function run(command, args) {
  const result = childProcess.spawnSync(command, args, {stdio: 'inherit'});
  if (result.status !== 0) process.exit(result.status ?? 1);
}

function isUpToDate() {
  if (!fs.existsSync(INSTALLED_LOCK)) return false;
  return fs.statSync(INSTALLED_LOCK).mtimeMs >= fs.statSync(LOCK).mtimeMs;
}

if (!isUpToDate()) run('npm', ['ci', '--prefer-offline']);
run(process.execPath, ['node_modules/typescript/bin/tsc', '-b']);
