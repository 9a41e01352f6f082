/** Sums of what a played trace led to. */
import type * as standins from '@oleanderrock/standins';
import type * as player from './player.js';
import * as oracle from './oracle.js';
import type * as skew from './skew.js';

/** How many calls were answered, and why the others were not. */
export interface Outcomes {
  readonly sent: number;
  readonly answered: number;
  /** Counts by kind of refusal, or by what broke. */
  readonly others: Readonly<Record<string, number>>;
}

function label(result: standins.CallResult): string {
  if (result.type === 'problem') return result.problem.kind;
  if (result.type === 'broken') return `broken: ${result.reason}`;
  return result.status < 300 ? 'answered' : `status ${result.status}`;
}

/** Counts what became of the calls. */
export function count(played: readonly player.Played[]): Outcomes {
  const counts = new Map<string, number>();
  for (const {result} of played) {
    const name = label(result);
    counts.set(name, (counts.get(name) ?? 0) + 1);
  }
  const answered = counts.get('answered') ?? 0;
  counts.delete('answered');
  return {
    sent: played.length,
    answered,
    others: Object.fromEntries(counts),
  };
}

/** The share of calls that were answered; certificates' copies never all are. */
export function answeredShare(played: readonly player.Played[]): number {
  const others = played.filter(({call}) => call.type !== 'certificate');
  const {answered, sent} = count(others);
  return answered / Math.max(1, sent);
}

/** What returning chats found; a call without an answer found nothing. */
export function reuse(played: readonly player.Played[]): oracle.Reuse {
  return oracle.sum(
    played.map(({call, result}) => ({
      call,
      cachedTokens: result.type === 'answered' ? result.cachedTokens : 0,
    })),
  );
}

/** What is known of the engines' runs, in the order of their names. */
export function engineRuns(
  played: readonly player.Played[],
  engines: ReadonlyArray<{
    readonly name: string;
    readonly admissions: readonly standins.Admission[];
  }>,
): skew.EngineRuns[] {
  return engines.map(({name, admissions}) => ({
    admissions,
    endsAtMs: played
      .filter(
        ({result}) => result.type === 'answered' && result.endpoint === name,
      )
      .map(({endedAtMs}) => endedAtMs),
  }));
}

/** Prints counts by name. */
export function format({sent, answered, others}: Outcomes): string {
  const rest = Object.entries(others).map(([kind, n]) => `${kind} ${n}`);
  return [`${answered} of ${sent} answered`, ...rest].join(', ');
}
