/** What all commands share: the options, the output and the exit code. */
import * as clipanion from 'clipanion';
import * as client from './client.js';
import * as exits from './exits.js';
import * as options from './options.js';

/** What a command has to say. */
export interface Output {
  /** For `--json`. */
  readonly data: unknown;
  /** For people; lines without a final newline. */
  readonly text: string;
  /** Where the work is done but something is left. */
  readonly exit?: exits.Exit;
}

/** A command that asks the routers. */
export abstract class OperatorCommand extends clipanion.Command {
  address = clipanion.Option.String('--address', {
    env: 'OLEANDER_ADMIN_ADDRESS',
    description: 'host:port of a router for operators; several with commas',
  });
  token = clipanion.Option.String('--token', {
    env: 'OLEANDER_ADMIN_TOKEN',
    description: 'the admin token; better given by OLEANDER_ADMIN_TOKEN',
  });
  operator = clipanion.Option.String('--operator', {
    env: 'OLEANDER_OPERATOR',
    description: 'your name in the audit; by default the user name',
  });
  isJson = clipanion.Option.Boolean('--json', false, {
    description: 'print JSON instead of text',
  });

  /** Does the command's work. */
  protected abstract act(routers: client.Client): Promise<exits.Result<Output>>;

  async execute(): Promise<number> {
    const {address, token, operator} = this;
    const read = options.read({address, token, operator});
    const result = read.ok
      ? await this.act(new client.Client(read.value))
      : read;
    if (!result.ok) return this.fail(result.trouble);
    const {data, text, exit = 'ok'} = result.value;
    this.print(this.isJson ? JSON.stringify(data, null, 2) : text);
    return exits.EXITS[exit];
  }

  private fail(trouble: exits.Trouble): number {
    const {line, advice, problem, exit} = trouble;
    const next = advice === undefined ? '' : ` (${advice})`;
    this.context.stderr.write(`oleanderctl: ${line}${next}\n`);
    if (this.isJson) {
      const error = problem ?? {detail: line};
      this.print(JSON.stringify({exit, error}, null, 2));
    }
    return exits.EXITS[exit];
  }

  private print(text: string): void {
    if (text !== '') this.context.stdout.write(`${text}\n`);
  }
}

/** Usage text of a command; its details end with the exit codes. */
export function usage(
  description: string,
  details: string,
  examples: ReadonlyArray<[string, string]>,
): clipanion.Usage {
  return clipanion.Command.Usage({
    description,
    details: `${details}\n\n${exits.EXIT_LIST}`,
    examples: [...examples],
  });
}
