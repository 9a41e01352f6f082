/**
 * The bench: runs the experiments on fleets of processes, the baseline and the
 * chosen design on the same traces, and writes the report.
 */
import * as core from '@oleanderrock/core';
import * as fs from 'node:fs/promises';
import * as os from 'node:os';
import * as util from 'node:util';
import * as experiments from './experiment.js';
import * as launching from './launch.js';
import * as plans from './plan.js';
import * as reports from './report.js';

const OUT = 'out';
const EXIT_FAILED = 1;
const EXIT_USAGE = 2;

async function runPart(part: plans.Part): Promise<experiments.Result[]> {
  const results: experiments.Result[] = [];
  const running = await launching.launch(part);
  try {
    for (const experiment of part.experiments) {
      results.push(await runOne(running, experiment));
    }
  } finally {
    await launching.end(running);
  }
  return results;
}

async function runOne(
  running: launching.Running,
  experiment: experiments.Experiment,
): Promise<experiments.Result> {
  const {deployment, strategy} = running;
  const {name, seed} = experiment;
  console.error(`bench: ${name}, ${deployment.name}, ${strategy}`);
  const beganMs = performance.now();
  const findings = await experiment.run(running);
  return {
    ...findings,
    experiment: name,
    seed,
    deployment: deployment.name,
    strategy,
    tookMs: performance.now() - beganMs,
  };
}

async function write(report: reports.Report): Promise<void> {
  await fs.mkdir(OUT, {recursive: true});
  const json = JSON.stringify(report, null, 2);
  await fs.writeFile(`${OUT}/bench.json`, `${json}\n`);
  await fs.writeFile(`${OUT}/bench.html`, reports.html(report));
  console.log(reports.markdown(report));
}

async function bench(only?: experiments.ExperimentName): Promise<void> {
  const startedAt = new Date().toISOString();
  const beganMs = performance.now();
  const [loadBefore = 0] = os.loadavg();
  const results: experiments.Result[] = [];
  for (const part of plans.select(only)) results.push(...(await runPart(part)));
  await write({
    command: `npm run bench${only ? ` -- --only ${only}` : ''}`,
    startedAt,
    tookMs: performance.now() - beganMs,
    machineLoad: [loadBefore, os.loadavg()[0] ?? 0],
    results,
  });
}

/** The experiment named by the flags; undefined for all of them. */
function readOnly(): experiments.ExperimentName | undefined {
  const {values} = util.parseArgs({options: {only: {type: 'string'}}});
  if (values.only === undefined) return undefined;
  const known = experiments.EXPERIMENTS.find(name => name === values.only);
  if (known) return known;
  const names = experiments.EXPERIMENTS.join(', ');
  throw new Error(`--only takes one of ${names}`);
}

async function main(): Promise<number> {
  let only: experiments.ExperimentName | undefined;
  try {
    only = readOnly();
  } catch (error) {
    const [line] = core.errorMessage(error).split('\n');
    console.error(`bench: ${line}`);
    return EXIT_USAGE;
  }
  try {
    await bench(only);
    return 0;
  } catch (error) {
    console.error(`bench: ${core.errorMessage(error)}`);
    return EXIT_FAILED;
  }
}

process.exitCode = await main();
