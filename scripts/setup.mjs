/**
 * Prepares a checkout: installs the locked packages where they are missing or
 * older than the lock file, then builds every package.
 */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';

const LOCK = 'package-lock.json';
const INSTALLED = 'node_modules/.package-lock.json';

function run(command, args) {
  const result = childProcess.spawnSync(command, args, {stdio: 'inherit'});
  if (result.status !== 0) process.exit(result.status ?? 1);
}

function isInstalled() {
  if (!fs.existsSync(INSTALLED)) return false;
  return fs.statSync(INSTALLED).mtimeMs >= fs.statSync(LOCK).mtimeMs;
}

if (!isInstalled()) run('npm', ['ci', '--prefer-offline']);
run(process.execPath, ['node_modules/typescript/bin/tsc', '-b']);
