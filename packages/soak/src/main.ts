/**
 * Entry point of `npm run soak -- --from 1 --seeds 50`. Runs one soak for each
 * seed in turn and exits with status 1 if any of them breached a guarantee.
 */
import * as fs from 'node:fs/promises';
import * as util from 'node:util';
import * as core from '@oleanderrock/core';
import * as soak from './soak.js';

const OUTPUT_FOLDER = 'out/soak';

const {values} = util.parseArgs({
  options: {
    from: {type: 'string', default: '1'},
    seeds: {type: 'string', default: '1'},
    seconds: {type: 'string', default: '12'},
    routers: {type: 'string', default: '4'},
  },
});

const firstSeed = readCount('from');
const lastSeed = firstSeed + readCount('seeds') - 1;
const lengthMs = readCount('seconds') * 1_000;
const routers = readCount('routers');
let failedSeeds = 0;
for (let seed = firstSeed; seed <= lastSeed; seed++) {
  const report = await soak.runSoak({
    ...soak.DEFAULT_OPTIONS,
    seed,
    lengthMs,
    routers,
  });
  const {calls, served, breaches, steps} = report;
  process.stdout.write(
    `seed=${seed} faults=${steps.length} calls=${calls} served=${served} breaches=${breaches.length}\n`,
  );
  for (const line of breaches.slice(0, 5)) process.stdout.write(`  ${line}\n`);
  if (breaches.length === 0) continue;
  failedSeeds += 1;
  await writeReport(report);
}
process.exitCode = failedSeeds > 0 ? 1 : 0;

/** Reads a flag as a positive integer; exits with a usage error otherwise. */
function readCount(name: keyof typeof values): number {
  const value = Number(values[name]);
  if (Number.isInteger(value) && value > 0) return value;
  process.stderr.write(`soak: --${name} must be a positive integer\n`);
  process.exit(core.EXIT_USAGE);
}

/** Writes the faults, breaches and router logs of a seed that failed. */
async function writeReport({seed, steps, breaches, logs}: soak.Report) {
  await fs.mkdir(OUTPUT_FOLDER, {recursive: true});
  const text = JSON.stringify({steps, breaches, logs: [...logs]}, null, 1);
  await fs.writeFile(`${OUTPUT_FOLDER}/seed-${seed}.json`, text);
}
