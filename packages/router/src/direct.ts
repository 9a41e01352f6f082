/**
 * The command `oleanderrock direct`: a router that sends straight to endpoints.
 * Settings come from flags, the environment and a settings file whose path is
 * in OLEANDERROCK_CONFIG; the file is read again when it changes.
 */
import * as util from 'node:util';
import * as core from '@oleanderrock/core';
import * as direct from '@oleanderrock/direct';
import * as wire from './wiredirect.js';

const FILE_VARIABLE = 'OLEANDERROCK_CONFIG';

const {SETTINGS, settle} = direct.settings;

type Flags = Record<string, string | undefined>;

/** Flags by setting name. Throws where one is not known. */
function readFlags(words: string[]): Flags {
  const names = Object.keys(SETTINGS);
  const option = (name: string) => core.flagName(name).slice(2);
  const options = Object.fromEntries(
    names.map(name => [option(name), {type: 'string' as const}]),
  );
  const {values} = util.parseArgs({args: words, options});
  const given = values;
  return Object.fromEntries(names.map(name => [name, given[option(name)]]));
}

function load(flags: Flags, file: core.Variables) {
  const environment = {...file, ...process.env};
  return core.loadSettings(SETTINGS, {flags, environment});
}

/** Runs the router until a signal ends it; resolves with the exit code. */
export async function main(words: string[]): Promise<number> {
  const path = process.env[FILE_VARIABLE];
  const file = path === undefined ? undefined : new core.SettingsFile(path);
  let flags: Flags;
  let variables: core.Variables;
  try {
    flags = readFlags(words);
    variables = (await file?.read()) ?? {};
  } catch (error) {
    return complain([core.reason(error)]);
  }
  const loaded = load(flags, variables);
  if (!loaded.ok) return complain(loaded.problems);
  const own = settle(loaded.values);
  const kernel = wire.wireDirect(own);
  try {
    await direct.run.start(kernel);
  } catch (error) {
    return complain([core.reason(error)]);
  }
  const reload = new Reload(kernel, variables, changed => load(flags, changed));
  const watching = new AbortController();
  const clock = kernel.find(core.CLOCK);
  const changed = (next: core.Variables) => reload.take(next);
  void file?.watch(clock, watching.signal, changed);
  process.on('SIGHUP', () => {
    const told = file?.read() ?? Promise.resolve({});
    told.then(changed, error => reload.failed(error));
  });
  await new Promise<void>(resolve => {
    process.once('SIGTERM', resolve);
    process.once('SIGINT', resolve);
  });
  watching.abort();
  await direct.run.leaveAndStop(kernel, own);
  wire.OUTPUT.flush();
  // Nothing is left to do; open sockets of peers must not keep the process.
  process.exit(0);
}

/** Says which settings changed; those of listeners hold from the next start. */
class Reload {
  constructor(
    private readonly kernel: core.Kernel,
    private variables: core.Variables,
    private readonly check: (
      variables: core.Variables,
    ) => ReturnType<typeof load>,
  ) {}

  take(next: core.Variables): void {
    const names = Object.keys({...this.variables, ...next});
    const changed = names.filter(name => this.variables[name] !== next[name]);
    const loaded = this.check(next);
    const log = this.kernel.find(core.LOGGER);
    if (!loaded.ok) {
      log.warn('settings_rejected', {detail: loaded.problems.join('; ')});
      return;
    }
    this.variables = next;
    const fields = {changed: changed.join(',') || 'none'};
    log.info('settings_read', fields);
  }

  failed(error: unknown): void {
    const log = this.kernel.find(core.LOGGER);
    log.warn('settings_rejected', {detail: core.reason(error)});
  }
}

function complain(problems: readonly string[]): number {
  for (const problem of problems) {
    process.stderr.write(`oleanderrock direct: ${problem}\n`);
  }
  return core.EXIT_USAGE;
}
