#!/usr/bin/env node
/**
 * The program `oleanderrock`. A router that sends straight to endpoints is
 * loaded alone, without the command line and the owners' services.
 */
if (process.argv[2] === 'direct') {
  // A signal during the start would end the process; once it runs, it reads
  // changed settings at this signal.
  process.on('SIGHUP', () => undefined);
  const direct = await import('./direct.js');
  process.exitCode = await direct.main(process.argv.slice(3));
} else {
  await import('./cli.js');
}
