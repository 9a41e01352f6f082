/**
 * Prints slopes: what one more chat, customer, peer, message, request or token
 * costs a router. Run it with `--expose-gc`.
 */
import * as core from '@oleanderrock/core';
import type * as measurements from './measurement.js';
import * as memoryslopes from './memoryslopes.js';
import * as serviceslopes from './serviceslopes.js';
import * as workslopes from './workslopes.js';

const MEASUREMENTS: readonly measurements.Measurement[] = [
  new memoryslopes.MemorySlopes(),
  new workslopes.WorkSlopes(),
  new workslopes.ByteSlopes(),
  new serviceslopes.ServiceSlopes(),
];

function formatValue(value: number): string {
  return Math.abs(value) >= 100 ? value.toFixed(0) : value.toFixed(2);
}

async function main(): Promise<number> {
  if (!globalThis.gc) {
    console.error('slopes: needs node --expose-gc');
    return 2;
  }
  try {
    console.log('| slope | value |\n| --- | --- |');
    for (const measurement of MEASUREMENTS) {
      for (const {name, value, unit} of await measurement.measure()) {
        console.log(`| ${name} | ${formatValue(value)} ${unit} |`);
      }
    }
    return 0;
  } catch (error) {
    console.error(`slopes: ${core.errorMessage(error)}`);
    return 1;
  }
}

process.exitCode = await main();
