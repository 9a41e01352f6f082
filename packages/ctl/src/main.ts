#!/usr/bin/env node
/** Entry point of the program `oleanderctl`. */
import * as core from '@oleanderrock/core';
import * as program from './program.js';

process.exitCode = await core.execute(
  program.create(),
  program.PROGRAM,
  process.argv.slice(2),
);
