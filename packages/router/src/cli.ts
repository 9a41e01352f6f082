/** Command line of `oleanderrock`, which runs one router of the fleet. */
import * as core from '@oleanderrock/core';
import * as clipanion from 'clipanion';
import * as drain from './drain.js';
import * as lifecycle from './lifecycle.js';
import * as settings from './settings.js';
import * as wire from './wire.js';

type Flags = Record<string, string | undefined>;

/** A command with one flag for each setting. */
abstract class SettingsCommand extends clipanion.Command {
  constructor() {
    super();
    const options = this as unknown as Record<string, unknown>;
    const specifications: core.SettingSpecifications = settings.SETTINGS;
    for (const [name, specification] of Object.entries(specifications)) {
      const {meaning: description} = specification;
      const flag = core.flagName(name);
      options[name] = clipanion.Option.String(flag, {description});
    }
  }

  /** Flags given on the command line, by setting name, and the environment. */
  protected inputs(): core.SettingInputs {
    const flags: Flags = {};
    const values = this as unknown as Flags;
    for (const key of Object.keys(settings.SETTINGS)) flags[key] = values[key];
    return {flags, environment: process.env};
  }

  /** Prints each problem with the settings on a line of standard error. */
  protected printProblems(problems: readonly string[]): void {
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
      this.printProblems(loaded.problems);
      return core.EXIT_USAGE;
    }
    return runRouter(loaded.values);
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
    this.printProblems(loaded.problems);
    return Promise.resolve(core.EXIT_USAGE);
  }
}

/** Describes why the router did not start; advises on a port in use. */
function describeStartError(error: unknown): string {
  const message = core.errorMessage(error);
  if (!message.includes('EADDRINUSE')) return message;
  const [, name = 'peer'] = / for (\w+): /.exec(message) ?? [];
  return `${message} (stop the process that uses the port, or set another --${name}-port)`;
}

/** Runs the router until a signal or an operator ends it. */
async function runRouter(routerSettings: settings.Settings): Promise<number> {
  const kernel = wire.wire(routerSettings);
  try {
    await lifecycle.start(kernel);
  } catch (error) {
    process.stderr.write(`oleanderrock: ${describeStartError(error)}\n`);
    return 1;
  }
  await new Promise<void>(resolve => {
    process.once('SIGTERM', resolve);
    process.once('SIGINT', resolve);
    void kernel.find(drain.DRAIN).waitForShutdownRequest().then(resolve);
  });
  await lifecycle.drainAndStop(kernel, routerSettings);
  return 0;
}

const cli = new clipanion.Cli({
  binaryName: 'oleanderrock',
  binaryLabel: 'oleanderrock, a router of the fleet',
  binaryVersion: `build ${core.BUILD_ID}`,
  enableColors: Boolean(process.stdout.isTTY),
});
cli.register(RunCommand);
cli.register(ShowSettingsCommand);
cli.register(clipanion.Builtins.HelpCommand);
cli.register(clipanion.Builtins.VersionCommand);
process.exitCode = await core.runCli(
  cli,
  'oleanderrock',
  process.argv.slice(2),
);
