#!/usr/bin/env node
/**
 * The program `oleanderrock`. A router that sends straight to endpoints is
 * loaded alone, without the command line and the owners' services.
 */
if (process.argv[2] === 'direct') {
  const direct = await import('./direct.js');
  process.exitCode = await direct.main(process.argv.slice(3));
} else {
  await import('./cli.js');
}
