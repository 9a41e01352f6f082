/**
 * The command `npm run soak -- --from 1 --seeds 50`: plays seeds one after
 * another, and ends with 1 where one breaks a promise.
 */
import * as fs from 'node:fs/promises';
import * as util from 'node:util';
import * as core from '@oleanderrock/core';
import * as soaks from './soak.js';

const FOLDER = 'out/soak';

const {values} = util.parseArgs({
  options: {
    from: {type: 'string', default: '1'},
    seeds: {type: 'string', default: '1'},
    seconds: {type: 'string', default: '12'},
    routers: {type: 'string', default: '4'},
  },
});

const first = count('from');
const last = first + count('seeds') - 1;
const lengthMs = count('seconds') * 1_000;
const routers = count('routers');
let broken = 0;
for (let seed = first; seed <= last; seed++) {
  const report = await soaks.soak({
    ...soaks.USUAL,
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
  broken += 1;
  await keep(report);
}
process.exitCode = broken > 0 ? 1 : 0;

/** The value of a flag; ends the program where it is no count. */
function count(name: keyof typeof values): number {
  const value = Number(values[name]);
  if (Number.isInteger(value) && value > 0) return value;
  process.stderr.write(`soak: --${name} must be a whole number from 1 on\n`);
  process.exit(core.EXIT_USAGE);
}

/** Writes the plan, the breaches and the routers' lines of a broken seed. */
async function keep({seed, steps, breaches, logs}: soaks.Report) {
  await fs.mkdir(FOLDER, {recursive: true});
  const text = JSON.stringify({steps, breaches, logs: [...logs]}, null, 1);
  await fs.writeFile(`${FOLDER}/seed-${seed}.json`, text);
}
