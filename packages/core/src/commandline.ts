/** Runs a command line; what is wrong with it is told in one line. */
import * as errors from './errors.js';
import type * as clipanion from 'clipanion';

/** Exit code of a command line or setting that is wrong. */
export const EXIT_USAGE = 2;

/** Streams and variables of a program. */
export type Surroundings = Pick<
  clipanion.BaseContext,
  'env' | 'stdin' | 'stdout' | 'stderr'
>;

/**
 * Runs the words given to a program and resolves with its exit code.
 * @param context by default that of the process
 */
export async function execute(
  cli: clipanion.Cli,
  program: string,
  words: string[],
  context: Surroundings = process,
): Promise<number> {
  // A reader that closes early, as `head` does, is no fault.
  if (context === process) {
    process.stdout.on('error', () => process.exit(0));
  }
  try {
    const command = cli.process(words, context);
    return await cli.run(command, context);
  } catch (error) {
    const [first = ''] = errors.reason(error).split('\n');
    // The parser lists look-alikes on lines of their own; the help has them.
    const line = first.replace(/; did you mean.*$/, '');
    context.stderr.write(`${program}: ${line} (try ${program} --help)\n`);
    return EXIT_USAGE;
  }
}
