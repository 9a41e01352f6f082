/** Exit codes, and what each kind of failure means to the operator's shell. */
import * as core from '@oleanderrock/core';

/** The exit codes by name. */
export const EXITS = {
  ok: 0,
  refused: 1,
  usage: core.EXIT_USAGE,
  unreachable: 3,
  conflict: 4,
  pending: 5,
} as const;

/** Name of an exit code. */
export type Exit = keyof typeof EXITS;

/** The codes as the help lists them. */
export const EXIT_LIST =
  'exit codes: 0 ok; 1 refused; 2 wrong command line; 3 no router can be ' +
  'reached; 4 another edit came first; 5 not yet in force everywhere, or the ' +
  'outcome is not known yet';

/** Why a command did not do what was asked. */
export interface Trouble {
  readonly exit: Exit;
  /** One line. */
  readonly line: string;
  /** What to do next. */
  readonly advice?: string;
  /** The router's answer, where one came. */
  readonly problem?: core.Problem;
}

/** A value, or the trouble that took its place. */
export type Result<T> =
  | {readonly ok: true; readonly value: T}
  | {readonly ok: false; readonly trouble: Trouble};

/** Wraps a value. */
export function succeed<T>(value: T): Result<T> {
  return {ok: true, value};
}

/** Makes the result of a trouble. */
export function stop(
  exit: Exit,
  line: string,
  advice?: string,
): {readonly ok: false; readonly trouble: Trouble} {
  return {ok: false, trouble: {exit, line, advice}};
}

const READ_AGAIN = 'read the rows again and repeat the command';

interface Meaning {
  readonly exit: Exit;
  readonly advice?: string;
}

const MEANINGS: Partial<Record<core.Kind, Meaning>> = {
  unauthorized: {
    exit: 'refused',
    advice:
      'give the admin token by --token or OLEANDER_ADMIN_TOKEN, and an admin port',
  },
  edit_conflict: {exit: 'conflict', advice: READ_AGAIN},
  precondition_failed: {exit: 'conflict', advice: READ_AGAIN},
  edit_invalid: {exit: 'refused', advice: 'mend the row and repeat'},
  edit_unknown: {
    exit: 'pending',
    advice: 'look for the edit in oleanderctl audit before you repeat it',
  },
  peer_unreachable: {
    exit: 'unreachable',
    advice: 'see oleanderctl status for the routers that answer',
  },
  not_found: {exit: 'refused', advice: 'check the name or the id'},
  no_route: {
    exit: 'refused',
    advice: 'check that --address is an admin port of a router',
  },
};

/** The trouble that a router's refusal is. */
export function refusal(problem: core.Problem): Trouble {
  const {exit, advice} = MEANINGS[problem.kind] ?? {exit: 'refused'};
  return {exit, advice, problem, line: `${problem.kind}: ${problem.detail}`};
}
