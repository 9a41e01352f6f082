/** Runs a command line; what is wrong with it is told in one line. */
import * as errors from './errors.js';
import type * as clipanion from 'clipanion';

/** Exit code of a command line or setting that is wrong. */
export const EXIT_USAGE = 2;

/** Runs the words given to a program and resolves with its exit code. */
export async function execute(
  cli: clipanion.Cli,
  program: string,
  words: string[],
): Promise<number> {
  // A reader that closes early, as `head` does, is no fault.
  process.stdout.on('error', () => process.exit(0));
  try {
    const command = cli.process(words, process);
    return await cli.run(command, process);
  } catch (error) {
    const [first = ''] = errors.reason(error).split('\n');
    // The parser lists look-alikes on lines of their own; the help has them.
    const line = first.replace(/; did you mean.*$/, '');
    process.stderr.write(`${program}: ${line} (try ${program} --help)\n`);
    return EXIT_USAGE;
  }
}
