/** Runs a command line; what is wrong with it is told in one line. */
import * as errors from './errors.js';
import type * as clipanion from 'clipanion';

/** Exit code of a command line or setting that is wrong. */
export const EXIT_USAGE = 2;

/** Words that may name a command. */
const SHOWN_WORDS = 3;

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
    const line = describe(error, words);
    context.stderr.write(`${program}: ${line} (try ${program} --help)\n`);
    return EXIT_USAGE;
  }
}

/** What is wrong with the words, in one line. */
function describe(error: unknown, words: readonly string[]): string {
  const [first = ''] = errors.reason(error).split('\n');
  if (!first.startsWith('Command not found')) return first;
  return `there is no command or flag as in "${names(words).join(' ')}"`;
}

/** The first words and the flags, without values: one may be a secret. */
function names(words: readonly string[]): string[] {
  const at = words.findIndex(word => word.startsWith('-'));
  const plain = at < 0 ? words : words.slice(0, at);
  const flags = words.filter(word => word.startsWith('-'));
  const bare = flags.map(flag => flag.replace(/=.*$/, ''));
  return [...plain.slice(0, SHOWN_WORDS), ...bare];
}
