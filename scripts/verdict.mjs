/**
 * Prints the verdict of a test run: failures with their messages, the faults
 * that KNOWN-RED.txt names and lets pass, and the closing line that CI reads.
 * Argument: mocha's exit status. A run without a report or a test is a failure.
 */
import * as fs from 'node:fs';

const REPORT = 'out/tests.json';
const KNOWN_RED = 'KNOWN-RED.txt';

/** Titles listed as "test: <full title>" in KNOWN-RED.txt. */
function readKnown() {
  if (!fs.existsSync(KNOWN_RED)) return [];
  const lines = fs.readFileSync(KNOWN_RED, 'utf8').split('\n');
  return lines
    .filter(line => line.startsWith('test: '))
    .map(line => line.slice('test: '.length).trim());
}

function readReport() {
  try {
    return JSON.parse(fs.readFileSync(REPORT, 'utf8'));
  } catch {
    return undefined;
  }
}

function close(passed, failed) {
  console.log(`${passed} passed, ${failed} failed`);
  process.exit(failed === 0 && passed > 0 ? 0 : 1);
}

const report = readReport();
if (!report) {
  console.log(fs.readFileSync('out/tests.log', 'utf8').slice(-4000));
  close(0, 1);
}
const known = readKnown();
const red = report.failures.filter(test => known.includes(test.fullTitle));
const failed = report.failures.filter(test => !known.includes(test.fullTitle));
for (const test of failed) {
  console.log(
    `FAILED ${test.fullTitle}\n  ${test.err.stack ?? test.err.message}`,
  );
}
for (const test of red)
  console.log(`known red, passed over: ${test.fullTitle}`);
for (const title of known) {
  const met = report.tests.some(test => test.fullTitle === title);
  if (!met) console.log(`known red, but no such test ran: ${title}`);
}
const slowest = [...report.tests].sort(
  (a, b) => (b.duration ?? 0) - (a.duration ?? 0),
);
for (const test of slowest.slice(0, 5)) {
  console.log(`slow: ${test.duration} ms ${test.fullTitle}`);
}
// Mocha's status counts failures; any other non-zero status is a crash.
const status = Number(process.argv[2]);
if (status !== 0 && report.failures.length === 0) {
  console.log(`mocha ended with status ${status}`);
  close(report.stats.passes, 1);
}
close(report.stats.passes, failed.length);
