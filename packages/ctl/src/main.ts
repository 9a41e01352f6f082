#!/usr/bin/env node
/** Entry point of the program `oleanderctl`. */
import * as core from '@oleanderrock/core';
import * as program from './program.js';

process.exitCode = await core.runCli(
  program.createCli(),
  program.PROGRAM_NAME,
  process.argv.slice(2),
);
