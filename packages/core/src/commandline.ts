/** Runs a command-line program and reports usage errors in one line. */
import * as errors from './errors.js';
import type * as clipanion from 'clipanion';

/** Exit code for an invalid command line or setting. */
export const EXIT_USAGE = 2;

/**
 * Number of leading arguments that a usage error repeats; a command name has at
 * most this many words.
 */
const MAX_SHOWN_ARGUMENTS = 3;

/** Standard streams and environment variables of a program. */
export type CommandContext = Pick<
  clipanion.BaseContext,
  'env' | 'stdin' | 'stdout' | 'stderr'
>;

/**
 * Runs a program with the given arguments and resolves with its exit code.
 * @param context streams and environment; by default those of the process
 */
export async function runCli(
  cli: clipanion.Cli,
  programName: string,
  args: string[],
  context: CommandContext = process,
): Promise<number> {
  // A consumer that closes the pipe early, such as `head`, is not an error.
  if (context === process) {
    process.stdout.on('error', () => process.exit(0));
  }
  try {
    const command = cli.process(args, context);
    return await cli.run(command, context);
  } catch (error) {
    const message = describeUsageError(error, args);
    context.stderr.write(
      `${programName}: ${message} (try ${programName} --help)\n`,
    );
    return EXIT_USAGE;
  }
}

/** Describes a usage error in one line. */
function describeUsageError(error: unknown, args: readonly string[]): string {
  const [firstLine = ''] = errors.errorMessage(error).split('\n');
  if (!firstLine.startsWith('Command not found')) return firstLine;
  return `unknown command or flag: "${withoutFlagValues(args).join(' ')}"`;
}

/** Leading arguments and flags, without flag values, which may be secrets. */
function withoutFlagValues(args: readonly string[]): string[] {
  const firstFlag = args.findIndex(argument => argument.startsWith('-'));
  const positionals = firstFlag < 0 ? args : args.slice(0, firstFlag);
  const flags = args.filter(argument => argument.startsWith('-'));
  const flagNames = flags.map(flag => flag.replace(/=.*$/, ''));
  return [...positionals.slice(0, MAX_SHOWN_ARGUMENTS), ...flagNames];
}
