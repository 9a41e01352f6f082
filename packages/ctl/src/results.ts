/** Results of commands, and the exit code and advice of each failure. */
import * as core from '@oleanderrock/core';

/** Exit codes by name. */
export const EXIT_CODES = {
  ok: 0,
  refused: 1,
  usage: core.EXIT_USAGE,
  unreachable: 3,
  conflict: 4,
  pending: 5,
} as const;

/** Name of an exit code. */
export type ExitName = keyof typeof EXIT_CODES;

/** List of the exit codes for the help. */
export const EXIT_CODES_HELP =
  'exit codes: 0 ok; 1 refused; 2 invalid command line; 3 no router can be ' +
  'reached; 4 another edit came first; 5 not yet in force everywhere, or the ' +
  'outcome is not known yet';

/** Why a command failed. */
export interface CommandFailure {
  readonly exit: ExitName;
  /** Error message in one line. */
  readonly message: string;
  /** What the operator can do about it. */
  readonly advice?: string;
  /** Error response of the router, if there was one. */
  readonly problem?: core.Problem;
}

/** A value, or the failure that prevented it. */
export type Result<T> =
  | {readonly ok: true; readonly value: T}
  | {readonly ok: false; readonly failure: CommandFailure};

/** Creates a successful result. */
export function succeed<T>(value: T): Result<T> {
  return {ok: true, value};
}

/** Creates a failed result. */
export function fail(
  exit: ExitName,
  message: string,
  advice?: string,
): {readonly ok: false; readonly failure: CommandFailure} {
  return {ok: false, failure: {exit, message, advice}};
}

const READ_AGAIN_ADVICE = 'read the rows again and repeat the command';

/** Exit code and advice for an error kind. */
interface ProblemHandling {
  readonly exit: ExitName;
  readonly advice?: string;
}

/** Error kinds that are not listed exit as `refused`, without advice. */
const HANDLING_BY_KIND: Partial<Record<core.ErrorKind, ProblemHandling>> = {
  unauthorized: {
    exit: 'refused',
    advice:
      'set the admin token by --token or OLEANDER_ADMIN_TOKEN, and use an admin port',
  },
  edit_conflict: {exit: 'conflict', advice: READ_AGAIN_ADVICE},
  precondition_failed: {exit: 'conflict', advice: READ_AGAIN_ADVICE},
  edit_invalid: {
    exit: 'refused',
    advice: 'correct the row and repeat the command',
  },
  edit_unknown: {
    exit: 'pending',
    advice: 'look for the edit in oleanderctl audit before you repeat it',
  },
  peer_unreachable: {
    exit: 'unreachable',
    advice: 'run oleanderctl status to see which routers answer',
  },
  not_found: {exit: 'refused', advice: 'check the name or the id'},
  no_route: {
    exit: 'refused',
    advice: 'check that --address is an admin port of a router',
  },
};

/** Converts an error response of a router into a failure. */
export function fromProblem(problem: core.Problem): CommandFailure {
  const {exit, advice} = HANDLING_BY_KIND[problem.kind] ?? {exit: 'refused'};
  return {exit, advice, problem, message: `${problem.kind}: ${problem.detail}`};
}
