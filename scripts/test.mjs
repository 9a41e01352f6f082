/**
 * Runs the tests as CI does: faults listed in KNOWN-RED.txt are printed and do
 * not fail the run. Arguments are passed on to mocha.
 */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';

const REPORTER = ['--reporter', 'json', '--reporter-option'];

function runNode(args, stdio) {
  return childProcess.spawnSync(process.execPath, args, {stdio}).status ?? 1;
}

fs.mkdirSync('out', {recursive: true});
fs.rmSync('out/tests.json', {force: true});
const log = fs.openSync('out/tests.log', 'w');
const mochaStatus = runNode(
  [
    'node_modules/mocha/bin/mocha.js',
    ...REPORTER,
    'output=out/tests.json',
    ...process.argv.slice(2),
  ],
  ['ignore', log, log],
);
process.exitCode = runNode(
  ['scripts/verdict.mjs', String(mochaStatus)],
  'inherit',
);
