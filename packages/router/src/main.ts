#!/usr/bin/env node
/**
 * Entry point of the program `oleanderrock`. In direct mode, where the router
 * sends straight to the endpoints, only that mode's modules are loaded.
 */
if (process.argv[2] === 'direct') {
  // SIGHUP makes a running router reload its settings. Without this handler, a
  // SIGHUP during the start would end the process.
  process.on('SIGHUP', () => undefined);
  const direct = await import('./direct.js');
  process.exitCode = await direct.main(process.argv.slice(3));
} else {
  await import('./cli.js');
}
