/**
 * Prints slopes: what one more chat, customer, peer, message, request or token
 * costs a router. Run it with `--expose-gc`.
 */
import * as core from '@oleanderrock/core';
import type * as slopes from './slope.js';
import * as slopememory from './slopememory.js';
import * as slopeservice from './slopeservice.js';
import * as slopework from './slopework.js';

const MEASUREMENTS: readonly slopes.Measurement[] = [
  new slopememory.MemorySlopes(),
  new slopework.WorkSlopes(),
  new slopework.ByteSlopes(),
  new slopeservice.ServiceSlopes(),
];

function print(value: number): string {
  return Math.abs(value) >= 100 ? value.toFixed(0) : value.toFixed(2);
}

async function main(): Promise<number> {
  if (!globalThis.gc) {
    console.error('slopes: run it with node --expose-gc');
    return 2;
  }
  try {
    console.log('| slope | value |\n| --- | --- |');
    for (const measurement of MEASUREMENTS) {
      for (const {name, value, unit} of await measurement.run()) {
        console.log(`| ${name} | ${print(value)} ${unit} |`);
      }
    }
    return 0;
  } catch (error) {
    console.error(`slopes: ${core.errorMessage(error)}`);
    return 1;
  }
}

process.exitCode = await main();
