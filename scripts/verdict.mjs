/**
 * Prints the result of a test run: failures with their messages, the known
 * failures listed in KNOWN-RED.txt, which do not fail the run, and the closing
 * line, which CI reads. Argument: the exit status of mocha. A run without a
 * report, or without a passed test, is a failure.
 */
import * as fs from 'node:fs';

const REPORT = 'out/tests.json';
const KNOWN_RED = 'KNOWN-RED.txt';

/** Reads the titles listed as "test: <full title>" in KNOWN-RED.txt. */
function readKnownTitles() {
  if (!fs.existsSync(KNOWN_RED)) return [];
  const lines = fs.readFileSync(KNOWN_RED, 'utf8').split('\n');
  return lines
    .filter(line => line.startsWith('test: '))
    .map(line => line.slice('test: '.length).trim());
}

/** Reads mocha's JSON report; undefined if it is missing or unreadable. */
function readReport() {
  try {
    return JSON.parse(fs.readFileSync(REPORT, 'utf8'));
  } catch {
    return undefined;
  }
}

/** Prints the closing line and exits; status 0 if tests passed and none failed. */
function printTotalsAndExit(passed, failed) {
  console.log(`${passed} passed, ${failed} failed`);
  process.exit(failed === 0 && passed > 0 ? 0 : 1);
}

const report = readReport();
if (!report) {
  console.log(fs.readFileSync('out/tests.log', 'utf8').slice(-4000));
  printTotalsAndExit(0, 1);
}
const knownTitles = readKnownTitles();
const knownFailures = report.failures.filter(test =>
  knownTitles.includes(test.fullTitle),
);
const newFailures = report.failures.filter(
  test => !knownTitles.includes(test.fullTitle),
);
for (const test of newFailures) {
  console.log(
    `FAILED ${test.fullTitle}\n  ${test.err.stack ?? test.err.message}`,
  );
}
for (const test of knownFailures)
  console.log(`known red, passed over: ${test.fullTitle}`);
for (const title of knownTitles) {
  const hasRun = report.tests.some(test => test.fullTitle === title);
  if (!hasRun) console.log(`known red, but no such test ran: ${title}`);
}
const testsByDuration = [...report.tests].sort(
  (a, b) => (b.duration ?? 0) - (a.duration ?? 0),
);
for (const test of testsByDuration.slice(0, 5)) {
  console.log(`slow: ${test.duration} ms ${test.fullTitle}`);
}
// The exit status of mocha is the number of failures; a non-zero status without
// failures means that mocha itself crashed.
const mochaStatus = Number(process.argv[2]);
if (mochaStatus !== 0 && report.failures.length === 0) {
  console.log(`mocha ended with status ${mochaStatus}`);
  printTotalsAndExit(report.stats.passes, 1);
}
printTotalsAndExit(report.stats.passes, newFailures.length);
