/** Base class of all commands: options, output and exit code. */
import * as clipanion from 'clipanion';
import * as client from './client.js';
import * as results from './results.js';
import * as options from './options.js';

/** Output of a successful command. */
export interface CommandOutput {
  /** Output with `--json`. */
  readonly data: unknown;
  /** Output without `--json`, without a trailing newline. */
  readonly text: string;
  /** Exit code if not `ok`, such as `pending` for an edit not yet in force. */
  readonly exit?: results.ExitName;
}

/** A command that prints its output as text or JSON. */
export abstract class PrintingCommand extends clipanion.Command {
  address = clipanion.Option.String('--address', {
    env: 'OLEANDER_ADMIN_ADDRESS',
    description:
      'host:port of the admin port of a router; several separated by commas',
  });
  token = clipanion.Option.String('--token', {
    env: 'OLEANDER_ADMIN_TOKEN',
    description: 'the admin token; better set in OLEANDER_ADMIN_TOKEN',
  });
  operator = clipanion.Option.String('--operator', {
    env: 'OLEANDER_OPERATOR',
    description: 'your name in the audit; the user name by default',
  });
  isJson = clipanion.Option.Boolean('--json', false, {
    description: 'print JSON instead of text',
  });

  /** Produces the output, or why there is none. */
  protected abstract produce(): Promise<results.Result<CommandOutput>>;

  async execute(): Promise<number> {
    const result = await this.produce();
    if (!result.ok) return this.printFailure(result.failure);
    const {data, text, exit = 'ok'} = result.value;
    this.printLine(this.isJson ? JSON.stringify(data, null, 2) : text);
    return results.EXIT_CODES[exit];
  }

  private printFailure(failure: results.CommandFailure): number {
    const {message, advice, problem, exit} = failure;
    const hint = advice === undefined ? '' : ` (${advice})`;
    this.context.stderr.write(`oleanderctl: ${message}${hint}\n`);
    if (this.isJson) {
      const error = problem ?? {detail: message};
      this.printLine(JSON.stringify({exit, error}, null, 2));
    }
    return results.EXIT_CODES[exit];
  }

  private printLine(text: string): void {
    if (text !== '') this.context.stdout.write(`${text}\n`);
  }
}

/** A command that sends requests to the routers. */
export abstract class OperatorCommand extends PrintingCommand {
  /** Performs the command; resolves with its output, or why it failed. */
  protected abstract perform(
    admin: client.AdminClient,
  ): Promise<results.Result<CommandOutput>>;

  protected async produce(): Promise<results.Result<CommandOutput>> {
    const {address, token, operator} = this;
    const parsed = options.parseOptions({address, token, operator});
    if (!parsed.ok) return parsed;
    return this.perform(new client.AdminClient(parsed.value));
  }
}

/** Builds the help text of a command; it ends with the exit codes. */
export function usage(
  description: string,
  details: string,
  examples: ReadonlyArray<[string, string]>,
): clipanion.Usage {
  return clipanion.Command.Usage({
    description,
    details: `${details}\n\n${results.EXIT_CODES_HELP}`,
    examples: [...examples],
  });
}
