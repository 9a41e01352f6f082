/**
 * Entry point of the bench: runs the experiments on fleets of processes, with
 * the `naive` and the `owner` strategy on the same traces, and writes a report.
 */
import * as core from '@oleanderrock/core';
import * as fs from 'node:fs/promises';
import * as os from 'node:os';
import * as util from 'node:util';
import * as experiments from './experiment.js';
import * as launcher from './launcher.js';
import * as plan from './plan.js';
import * as reports from './report.js';

const OUTPUT_FOLDER = 'out';
const EXIT_FAILED = 1;
const EXIT_USAGE = 2;

async function runAll(
  benchRun: plan.BenchRun,
): Promise<experiments.ExperimentResult[]> {
  const results: experiments.ExperimentResult[] = [];
  const testbed = await launcher.launch(benchRun);
  try {
    for (const experiment of benchRun.experiments) {
      results.push(await runExperiment(testbed, experiment));
    }
  } finally {
    await launcher.killAll(testbed);
  }
  return results;
}

async function runExperiment(
  testbed: launcher.Testbed,
  experiment: experiments.Experiment,
): Promise<experiments.ExperimentResult> {
  const {deployment, strategy} = testbed;
  const {name, seed} = experiment;
  console.error(`bench: ${name}, ${deployment.name}, ${strategy}`);
  const startMs = performance.now();
  const findings = await experiment.run(testbed);
  return {
    ...findings,
    experiment: name,
    seed,
    deployment: deployment.name,
    strategy,
    tookMs: performance.now() - startMs,
  };
}

async function writeReport(report: reports.Report): Promise<void> {
  await fs.mkdir(OUTPUT_FOLDER, {recursive: true});
  const json = JSON.stringify(report, null, 2);
  await fs.writeFile(`${OUTPUT_FOLDER}/bench.json`, `${json}\n`);
  await fs.writeFile(`${OUTPUT_FOLDER}/bench.html`, reports.toHtml(report));
  console.log(reports.toMarkdown(report));
}

async function runBench(name?: experiments.ExperimentName): Promise<void> {
  const startedAt = new Date().toISOString();
  const startMs = performance.now();
  const [loadBefore = 0] = os.loadavg();
  const results: experiments.ExperimentResult[] = [];
  for (const run of plan.selectRuns(name)) results.push(...(await runAll(run)));
  await writeReport({
    command: `npm run bench${name ? ` -- --only ${name}` : ''}`,
    startedAt,
    tookMs: performance.now() - startMs,
    machineLoad: [loadBefore, os.loadavg()[0] ?? 0],
    results,
  });
}

/** Reads the `--only` flag; undefined selects all experiments. */
function readExperimentName(): experiments.ExperimentName | undefined {
  const {values} = util.parseArgs({options: {only: {type: 'string'}}});
  if (values.only === undefined) return undefined;
  const match = experiments.EXPERIMENTS.find(name => name === values.only);
  if (match) return match;
  const names = experiments.EXPERIMENTS.join(', ');
  throw new Error(`--only must be one of ${names}`);
}

async function main(): Promise<number> {
  let experimentName: experiments.ExperimentName | undefined;
  try {
    experimentName = readExperimentName();
  } catch (error) {
    const [line] = core.errorMessage(error).split('\n');
    console.error(`bench: ${line}`);
    return EXIT_USAGE;
  }
  try {
    await runBench(experimentName);
    return 0;
  } catch (error) {
    console.error(`bench: ${core.errorMessage(error)}`);
    return EXIT_FAILED;
  }
}

process.exitCode = await main();
