/**
 * The command `oleanderrock direct`: runs a router that sends requests directly
 * to endpoints. Settings come from flags, the environment and a settings file
 * whose path is in OLEANDERROCK_CONFIG; the file is read again when it changes.
 * Flags are parsed without the command-line framework of the other commands,
 * which would stay in memory while the router runs.
 */
import * as util from 'node:util';
import * as core from '@oleanderrock/core';
import * as direct from '@oleanderrock/direct';
import * as wireDirect from './wiredirect.js';

const SETTINGS_FILE_VARIABLE = 'OLEANDERROCK_CONFIG';

/** Maximum number of unexpected errors that are logged in a second. */
const MAX_ERROR_LINES_PER_SECOND = 5;

const {SETTINGS, toSettings, applyChanges} = direct.settings;

type Flags = Record<string, string | undefined>;

/** Parses flags, keyed by setting name. Throws on an unknown flag. */
function parseFlags(args: string[]): Flags {
  const names = Object.keys(SETTINGS);
  const optionName = (name: string) => core.flagName(name).slice(2);
  const options = Object.fromEntries(
    names.map(name => [optionName(name), {type: 'string' as const}]),
  );
  const parsed: Flags = util.parseArgs({args, options}).values;
  return Object.fromEntries(
    names.map(name => [name, parsed[optionName(name)]]),
  );
}

/**
 * Loads settings from flags, the environment and the file, in this order of
 * precedence.
 */
function loadSettings(flags: Flags, file: core.Variables) {
  const environment = {...file, ...process.env};
  return core.loadSettings(SETTINGS, {flags, environment});
}

/**
 * Runs the router until SIGTERM or SIGINT; returns the exit code for usage
 * errors.
 */
export async function main(args: string[]): Promise<number> {
  if (args.includes('--help')) return printHelp();
  const path = process.env[SETTINGS_FILE_VARIABLE];
  const file = path === undefined ? undefined : new core.SettingsFile(path);
  let flags: Flags;
  let variables: core.Variables;
  try {
    flags = parseFlags(args);
    variables = (await file?.read()) ?? {};
  } catch (error) {
    return reportProblems([core.errorMessage(error)]);
  }
  const loaded = loadSettings(flags, variables);
  if (!loaded.ok) return reportProblems(loaded.problems);
  return serve(toSettings(loaded.values), flags, file);
}

async function serve(
  routerSettings: direct.settings.Settings,
  flags: Flags,
  file: core.SettingsFile | undefined,
): Promise<number> {
  const kernel = wireDirect.wireDirect(routerSettings);
  try {
    await direct.run.start(kernel);
  } catch (error) {
    return reportProblems([core.errorMessage(error)]);
  }
  keepRunningOnErrors(kernel);
  const watchAbort = new AbortController();
  if (file) {
    watchSettingsFile(kernel, routerSettings, {
      flags,
      file,
      signal: watchAbort.signal,
    });
  }
  await new Promise<void>(resolve => {
    process.once('SIGTERM', resolve);
    process.once('SIGINT', resolve);
  });
  watchAbort.abort();
  await direct.run.shutDown(kernel, routerSettings);
  wireDirect.LOG_OUTPUT.flush();
  // The services have stopped; remaining sockets of peers must not keep the
  // process alive.
  process.exit(0);
}

/**
 * Logs errors that no part has handled and goes on: ending the process would
 * break off all requests in flight, and the cause may come again at once.
 */
function keepRunningOnErrors(kernel: core.Kernel): void {
  const log = kernel.find(core.LOGGER);
  const quota = new core.LogQuota(
    'unexpected_error',
    MAX_ERROR_LINES_PER_SECOND,
    log,
  );
  const report = (error: unknown) => {
    if (!quota.consume(performance.now())) return;
    const reason = core.errorMessage(error);
    const stack = error instanceof Error ? error.stack : undefined;
    log.error('unexpected_error', {reason, stack});
  };
  process.on('uncaughtException', report);
  process.on('unhandledRejection', report);
}

interface WatchOptions {
  readonly flags: Flags;
  readonly file: core.SettingsFile;
  readonly signal: AbortSignal;
}

/**
 * Applies changes of the settings file when the file changes, and on SIGHUP.
 */
function watchSettingsFile(
  kernel: core.Kernel,
  routerSettings: direct.settings.Settings,
  {flags, file, signal}: WatchOptions,
): void {
  const log = kernel.find(core.LOGGER);
  const applyVariables = (variables: core.Variables) => {
    const loaded = loadSettings(flags, variables);
    if (!loaded.ok) {
      log.warn('settings_rejected', {detail: loaded.problems.join('; ')});
      return;
    }
    const {applied, deferred} = applyChanges(
      routerSettings,
      toSettings(loaded.values),
    );
    log.info('settings_read', {
      applied: applied.join(',') || 'none',
      deferred: deferred.join(',') || 'none',
    });
  };
  const readAndApply = async () => {
    try {
      applyVariables(await file.read());
    } catch (error) {
      log.warn('settings_rejected', {detail: core.errorMessage(error)});
    }
  };
  void file.watch(kernel.find(core.CLOCK), signal, applyVariables);
  process.on('SIGHUP', () => void readAndApply());
}

/** Prints all settings. */
function printHelp(): number {
  const lines = core.describeSettings(SETTINGS, {flags: {}, environment: {}});
  process.stdout.write('oleanderrock direct [--SETTING VALUE ...]\n');
  for (const {flag, variable, unit, fallback, meaning} of lines) {
    const requirement =
      fallback === '' ? 'required' : `default: ${fallback} ${unit}`;
    process.stdout.write(
      `${flag} ${variable}\n    ${meaning}; ${requirement.trim()}\n`,
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
