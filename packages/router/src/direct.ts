/**
 * The command `oleanderrock direct`: a router that sends straight to endpoints.
 * Settings come from flags, the environment and a settings file whose path is
 * in OLEANDERROCK_CONFIG; the file is read again when it changes. The flags are
 * read without the command line's framework, which would stay in memory.
 */
import * as util from 'node:util';
import * as core from '@oleanderrock/core';
import * as direct from '@oleanderrock/direct';
import * as wire from './wiredirect.js';

const SETTINGS_FILE_VARIABLE = 'OLEANDERROCK_CONFIG';

const {SETTINGS, toSettings: settle, applyChanges: update} = direct.settings;

type Flags = Record<string, string | undefined>;

/** Flags by setting name. Throws where one is not known. */
function parseFlags(words: string[]): Flags {
  const names = Object.keys(SETTINGS);
  const option = (name: string) => core.flagName(name).slice(2);
  const options = Object.fromEntries(
    names.map(name => [option(name), {type: 'string' as const}]),
  );
  const given: Flags = util.parseArgs({args: words, options}).values;
  return Object.fromEntries(names.map(name => [name, given[option(name)]]));
}

/** Loads settings of flags, the environment and the file, in this order. */
function loadSettings(flags: Flags, file: core.Variables) {
  const environment = {...file, ...process.env};
  return core.loadSettings(SETTINGS, {flags, environment});
}

/** Runs the router until a signal ends it; resolves with the exit code. */
export async function main(words: string[]): Promise<number> {
  if (words.includes('--help')) return printHelp();
  const path = process.env[SETTINGS_FILE_VARIABLE];
  const file = path === undefined ? undefined : new core.SettingsFile(path);
  let flags: Flags;
  let variables: core.Variables;
  try {
    flags = parseFlags(words);
    variables = (await file?.read()) ?? {};
  } catch (error) {
    return reportProblems([core.reason(error)]);
  }
  const loaded = loadSettings(flags, variables);
  if (!loaded.ok) return reportProblems(loaded.problems);
  return serve(settle(loaded.values), flags, file);
}

async function serve(
  own: direct.settings.Settings,
  flags: Flags,
  file: core.SettingsFile | undefined,
): Promise<number> {
  const kernel = wire.wireDirect(own);
  try {
    await direct.run.start(kernel);
  } catch (error) {
    return reportProblems([core.reason(error)]);
  }
  const watching = new AbortController();
  if (file) {
    watchSettingsFile(kernel, own, {flags, file, signal: watching.signal});
  }
  await new Promise<void>(resolve => {
    process.once('SIGTERM', resolve);
    process.once('SIGINT', resolve);
  });
  watching.abort();
  await direct.run.shutDown(kernel, own);
  wire.LOG_OUTPUT.flush();
  // Nothing is left to do; open sockets of peers must not keep the process.
  process.exit(0);
}

interface WatchOptions {
  readonly flags: Flags;
  readonly file: core.SettingsFile;
  readonly signal: AbortSignal;
}

/** Takes changes of the settings file up, at a signal and without one. */
function watchSettingsFile(
  kernel: core.Kernel,
  own: direct.settings.Settings,
  {flags, file, signal}: WatchOptions,
): void {
  const log = kernel.find(core.LOGGER);
  const take = (variables: core.Variables) => {
    const loaded = loadSettings(flags, variables);
    if (!loaded.ok) {
      log.warn('settings_rejected', {detail: loaded.problems.join('; ')});
      return;
    }
    const {applied, deferred} = update(own, settle(loaded.values));
    log.info('settings_read', {
      applied: applied.join(',') || 'none',
      deferred: deferred.join(',') || 'none',
    });
  };
  const reread = async () => {
    try {
      take(await file.read());
    } catch (error) {
      log.warn('settings_rejected', {detail: core.reason(error)});
    }
  };
  void file.watch(kernel.find(core.CLOCK), signal, take);
  process.on('SIGHUP', () => void reread());
}

/** Prints the settings. */
function printHelp(): number {
  const lines = core.describeSettings(SETTINGS, {flags: {}, environment: {}});
  process.stdout.write('oleanderrock direct [--SETTING VALUE ...]\n');
  for (const {flag, variable, unit, fallback, meaning} of lines) {
    const usual = fallback === '' ? 'required' : `default: ${fallback} ${unit}`;
    process.stdout.write(
      `${flag} ${variable}\n    ${meaning}; ${usual.trim()}\n`,
    );
  }
  return 0;
}

function reportProblems(problems: readonly string[]): number {
  for (const problem of problems) {
    process.stderr.write(`oleanderrock direct: ${problem}\n`);
  }
  return core.EXIT_USAGE;
}
