/** The command line of `oleanderrock`: runs one router of the fleet. */
import * as core from '@oleanderrock/core';
import * as clipanion from 'clipanion';
import * as drain from './drain.js';
import * as run from './run.js';
import * as settings from './settings.js';
import * as wire from './wire.js';

type Flags = Record<string, string | undefined>;

/** A command with one flag for each setting. */
abstract class SettingsCommand extends clipanion.Command {
  constructor() {
    super();
    const own = this as unknown as Record<string, unknown>;
    const specifications: core.Specifications = settings.SETTINGS;
    for (const [name, specification] of Object.entries(specifications)) {
      const {meaning: description} = specification;
      const flag = core.flagName(name);
      own[name] = clipanion.Option.String(flag, {description});
    }
  }

  /** Values of the flags that were given, by setting name. */
  protected inputs(): core.SettingInputs {
    const flags: Flags = {};
    const own = this as unknown as Flags;
    for (const name of Object.keys(settings.SETTINGS)) flags[name] = own[name];
    return {flags, environment: process.env};
  }

  /** Says what is wrong with the settings, one line each. */
  protected complain(problems: readonly string[]): void {
    for (const problem of problems) {
      this.context.stderr.write(`oleanderrock: ${problem}\n`);
    }
  }
}

class RunCommand extends SettingsCommand {
  static override paths = [['run'], clipanion.Command.Default];
  static override usage = clipanion.Command.Usage({
    description: 'run a router',
    details: 'Each flag also has an environment variable, OLEANDER_<NAME>.',
    examples: [
      [
        'A router with secrets from the environment',
        'OLEANDER_PEER_TOKEN=... OLEANDER_ADMIN_TOKEN=... oleanderrock run --name r1 --platform-url http://10.0.0.1:7000',
      ],
    ],
  });

  async execute(): Promise<number> {
    const loaded = core.loadSettings(settings.SETTINGS, this.inputs());
    if (!loaded.ok) {
      this.complain(loaded.problems);
      return core.EXIT_USAGE;
    }
    return serve(loaded.values);
  }
}

class ShowSettingsCommand extends SettingsCommand {
  static override paths = [['settings']];
  static override usage = clipanion.Command.Usage({
    description: 'print each setting with its source; secrets are masked',
  });

  execute(): Promise<number> {
    const lines = core.describeSettings(settings.SETTINGS, this.inputs());
    for (const line of lines) {
      const unit = line.unit ? ` ${line.unit}` : '';
      const isMissing = line.source === 'missing';
      const value = isMissing
        ? '(missing)'
        : `${line.value}${unit} (${line.source})`;
      this.context.stdout.write(
        `${line.flag} ${line.variable}\n    ${line.meaning}\n` +
          `    value: ${value}; default: ${line.fallback || 'none'}\n`,
      );
    }
    const loaded = core.loadSettings(settings.SETTINGS, this.inputs());
    if (loaded.ok) return Promise.resolve(0);
    this.complain(loaded.problems);
    return Promise.resolve(core.EXIT_USAGE);
  }
}

/** Why the router did not start, and what to do about a port in use. */
function advise(error: unknown): string {
  const line = core.reason(error);
  if (!line.includes('EADDRINUSE')) return line;
  const [, name = 'peer'] = / for (\w+): /.exec(line) ?? [];
  return `${line} (end what uses it, or give another --${name}-port)`;
}

/** Runs the router until a signal ends it. */
async function serve(own: settings.Settings): Promise<number> {
  const kernel = wire.wire(own);
  try {
    await run.start(kernel);
  } catch (error) {
    process.stderr.write(`oleanderrock: ${advise(error)}\n`);
    return 1;
  }
  await new Promise<void>(resolve => {
    process.once('SIGTERM', resolve);
    process.once('SIGINT', resolve);
    void kernel.find(drain.DRAIN).asked().then(resolve);
  });
  await run.drainAndStop(kernel, own);
  return 0;
}

const cli = new clipanion.Cli({
  binaryName: 'oleanderrock',
  binaryLabel: 'oleanderrock, a router of the fleet',
  enableColors: Boolean(process.stdout.isTTY),
});
cli.register(RunCommand);
cli.register(ShowSettingsCommand);
cli.register(clipanion.Builtins.HelpCommand);
process.exitCode = await core.execute(
  cli,
  'oleanderrock',
  process.argv.slice(2),
);
