/** The program that runs one stand-in as a process of its own. */
import * as core from '@oleanderrock/core';
import * as clipanion from 'clipanion';
import * as engine from './engine.js';
import * as servers from './servers.js';

const MAX_PORT = 65_535;
const MAX_AMOUNT = 1_000_000_000;
const CRASH_STATUS = 1;

function port() {
  return {
    schema: core.wholeNumberSchema(0, MAX_PORT),
    fallback: '0',
    meaning: 'port to listen on; 0 lets the system choose',
  };
}

function amount(fallback: number, unit: string, meaning: string) {
  const schema = core.wholeNumberSchema(0, MAX_AMOUNT);
  return {schema, fallback: String(fallback), unit, meaning};
}

const NAME = {
  schema: core.textSchema(),
  meaning: 'name in the list of instances',
};

const PLATFORM_SETTINGS = {port: port()};
const SERVICE_SETTINGS = {name: NAME, port: port()};
const {cacheTokens, slots, prefillUsPerToken, tokenMs} = engine.ENGINE_SPEED;

const ENGINE_SETTINGS = {
  ...SERVICE_SETTINGS,
  cacheTokens: amount(cacheTokens, 'tokens', 'bound of the prefix cache'),
  slots: amount(slots, '', 'requests that run at a time'),
  prefillUsPerToken: amount(prefillUsPerToken, 'us', 'time for a prompt token'),
  tokenMs: amount(tokenMs, 'ms', 'time for an output token'),
};

type Make<S extends core.SettingSpecifications> = (
  values: core.SettingValues<S>,
  options: servers.ServerOptions,
) => servers.Server;

function options(): servers.ServerOptions {
  return {
    logger: new core.ConsolaLogger('error'),
    onCrash: () => process.exit(CRASH_STATUS),
  };
}

function endOnSignal(server: servers.Server): void {
  const end = () => void server.close().then(() => process.exit(0));
  process.once('SIGTERM', end);
  process.once('SIGINT', end);
}

/** A command that reads its settings and runs one stand-in. */
abstract class RunCommand extends clipanion.Command {
  port = clipanion.Option.String('--port');

  protected async run<S extends core.SettingSpecifications>(
    specifications: S,
    flags: core.SettingInputs['flags'],
    make: Make<S>,
  ): Promise<number> {
    // The shell's variables are meant for routers and operators.
    const inputs = {flags, environment: {}};
    const loaded = core.loadSettings(specifications, inputs);
    if (!loaded.ok) {
      for (const problem of loaded.problems) {
        this.context.stderr.write(`standins: ${problem}\n`);
      }
      return core.EXIT_USAGE;
    }
    const server = make(loaded.values, options());
    endOnSignal(server);
    try {
      await server.listen();
    } catch (error) {
      this.context.stderr.write(`standins: ${core.errorMessage(error)}\n`);
      return 1;
    }
    const started = core.formatFields({event: 'listening', port: server.port});
    this.context.stdout.write(`${started}\n`);
    return new Promise<number>(() => {});
  }
}

class PlatformCommand extends RunCommand {
  static override paths = [['platform']];
  static override usage = clipanion.Command.Usage({
    description: 'run the platform: list, log and weights',
  });

  execute(): Promise<number> {
    const flags = {port: this.port};
    return this.run(
      PLATFORM_SETTINGS,
      flags,
      (values, options) =>
        new servers.PlatformServer({...options, port: values.port}),
    );
  }
}

class ServiceCommand extends RunCommand {
  static override paths = [['service']];
  static override usage = clipanion.Command.Usage({
    description: 'run a plain service',
  });
  name = clipanion.Option.String('--name');

  execute(): Promise<number> {
    const flags = {name: this.name, port: this.port};
    return this.run(
      SERVICE_SETTINGS,
      flags,
      (values, options) =>
        new servers.ServiceServer({
          ...options,
          name: values.name,
          port: values.port,
        }),
    );
  }
}

class EngineCommand extends RunCommand {
  static override paths = [['engine']];
  static override usage = clipanion.Command.Usage({
    description: 'run an engine',
  });
  name = clipanion.Option.String('--name');
  cacheTokens = clipanion.Option.String('--cache-tokens');
  slots = clipanion.Option.String('--slots');
  prefillUsPerToken = clipanion.Option.String('--prefill-us-per-token');
  tokenMs = clipanion.Option.String('--token-ms');

  execute(): Promise<number> {
    const {name, port, cacheTokens, slots, prefillUsPerToken, tokenMs} = this;
    const flags = {name, port, cacheTokens, slots, prefillUsPerToken, tokenMs};
    return this.run(
      ENGINE_SETTINGS,
      flags,
      (values, options) => new servers.EngineServer({...options, ...values}),
    );
  }
}

const cli = new clipanion.Cli({
  binaryName: 'standins',
  binaryLabel: 'Stand-ins for the platform and for endpoints',
  enableColors: Boolean(process.stdout.isTTY),
});
cli.register(PlatformCommand);
cli.register(EngineCommand);
cli.register(ServiceCommand);
cli.register(clipanion.Builtins.HelpCommand);
process.exitCode = await core.runCli(cli, 'standins', process.argv.slice(2));
