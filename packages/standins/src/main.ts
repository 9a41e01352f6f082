/** Command-line program that runs one stand-in as a separate process. */
import * as core from '@oleanderrock/core';
import * as clipanion from 'clipanion';
import * as engine from './engine.js';
import * as servers from './servers.js';

const MAX_PORT = 65_535;
const MAX_NUMBER = 1_000_000_000;
const CRASH_EXIT_STATUS = 1;

function portSetting() {
  return {
    schema: core.wholeNumberSchema(0, MAX_PORT),
    fallback: '0',
    meaning: 'port to listen on; 0 lets the system choose',
  };
}

function numberSetting(fallback: number, unit: string, meaning: string) {
  const schema = core.wholeNumberSchema(0, MAX_NUMBER);
  return {schema, fallback: String(fallback), unit, meaning};
}

const NAME_SETTING = {
  schema: core.textSchema(),
  meaning: 'name in the instance list',
};

const PLATFORM_SETTINGS = {port: portSetting()};
const SERVICE_SETTINGS = {name: NAME_SETTING, port: portSetting()};
const {cacheTokens, slots, prefillUsPerToken, tokenMs} =
  engine.DEFAULT_ENGINE_CAPACITY;

const ENGINE_SETTINGS = {
  ...SERVICE_SETTINGS,
  cacheTokens: numberSetting(
    cacheTokens,
    'tokens',
    'capacity of the prefix cache',
  ),
  slots: numberSetting(slots, '', 'maximum number of concurrent requests'),
  prefillUsPerToken: numberSetting(
    prefillUsPerToken,
    'us',
    'prefill time per prompt token',
  ),
  tokenMs: numberSetting(tokenMs, 'ms', 'generation time per output token'),
};

type CreateServer<S extends core.SettingSpecifications> = (
  values: core.SettingValues<S>,
  options: servers.ServerOptions,
) => servers.StandInServer;

function serverOptions(): servers.ServerOptions {
  return {
    logger: new core.ConsolaLogger('error'),
    onCrash: () => process.exit(CRASH_EXIT_STATUS),
  };
}

function closeOnSignal(server: servers.StandInServer): void {
  const closeAndExit = () => void server.close().then(() => process.exit(0));
  process.once('SIGTERM', closeAndExit);
  process.once('SIGINT', closeAndExit);
}

/** Base of the commands: loads the settings and runs one stand-in. */
abstract class RunCommand extends clipanion.Command {
  port = clipanion.Option.String('--port');

  protected async run<S extends core.SettingSpecifications>(
    specifications: S,
    flags: core.SettingInputs['flags'],
    createServer: CreateServer<S>,
  ): Promise<number> {
    // OLEANDER_ variables of the shell configure routers and oleanderctl.
    const inputs = {flags, environment: {}};
    const loaded = core.loadSettings(specifications, inputs);
    if (!loaded.ok) {
      for (const problem of loaded.problems) {
        this.context.stderr.write(`standins: ${problem}\n`);
      }
      return core.EXIT_USAGE;
    }
    const server = createServer(loaded.values, serverOptions());
    closeOnSignal(server);
    try {
      await server.listen();
    } catch (error) {
      this.context.stderr.write(`standins: ${core.errorMessage(error)}\n`);
      return 1;
    }
    const listeningLine = core.formatFields({
      event: 'listening',
      port: server.port,
    });
    this.context.stdout.write(`${listeningLine}\n`);
    return new Promise<number>(() => {});
  }
}

class PlatformCommand extends RunCommand {
  static override paths = [['platform']];
  static override usage = clipanion.Command.Usage({
    description: 'run the platform: instance list, log and weights',
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
