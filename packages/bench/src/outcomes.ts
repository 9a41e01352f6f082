/** Summarizes the call records of a trace. */
import type * as standins from '@oleanderrock/standins';
import type * as player from './player.js';
import * as oracle from './oracle.js';
import type * as skew from './skew.js';

/** Number of calls that were answered, and of the others by failure. */
export interface OutcomeCounts {
  readonly sent: number;
  readonly answered: number;
  /** Counts by error kind, status, or reason of a broken connection. */
  readonly countsByFailure: Readonly<Record<string, number>>;
}

function describeOutcome(result: standins.CallResult): string {
  if (result.type === 'problem') return result.problem.kind;
  if (result.type === 'broken') return `broken: ${result.reason}`;
  return result.status < 300 ? 'answered' : `status ${result.status}`;
}

/** Counts calls by outcome. */
export function countOutcomes(
  records: readonly player.CallRecord[],
): OutcomeCounts {
  const counts = new Map<string, number>();
  for (const {result} of records) {
    const outcome = describeOutcome(result);
    counts.set(outcome, (counts.get(outcome) ?? 0) + 1);
  }
  const answered = counts.get('answered') ?? 0;
  counts.delete('answered');
  return {
    sent: records.length,
    answered,
    countsByFailure: Object.fromEntries(counts),
  };
}

/**
 * Share of calls that were answered. Certificates are left out, since not all
 * copies of one are answered.
 */
export function answeredShare(records: readonly player.CallRecord[]): number {
  const countedRecords = records.filter(
    ({call}) => call.type !== 'certificate',
  );
  const {answered, sent} = countOutcomes(countedRecords);
  return answered / Math.max(1, sent);
}

/** Sums up the cache reuse of returning chats; failed calls count as misses. */
export function sumReuse(records: readonly player.CallRecord[]): oracle.Reuse {
  return oracle.sumReuse(
    records.map(({call, result}) => ({
      call,
      cachedTokens: result.type === 'answered' ? result.cachedTokens : 0,
    })),
  );
}

/** Starts and ends of each engine's runs, in the order of `engines`. */
export function toEngineRuns(
  records: readonly player.CallRecord[],
  engines: ReadonlyArray<{
    readonly name: string;
    readonly admissions: readonly standins.Admission[];
  }>,
): skew.EngineRuns[] {
  return engines.map(({name, admissions}) => ({
    admissions,
    endsAtMs: records
      .filter(
        ({result}) => result.type === 'answered' && result.endpoint === name,
      )
      .map(({endedAtMs}) => endedAtMs),
  }));
}

/** Formats counts for a report. */
export function formatCounts({
  sent,
  answered,
  countsByFailure,
}: OutcomeCounts): string {
  const failures = Object.entries(countsByFailure).map(
    ([kind, count]) => `${kind} ${count}`,
  );
  return [`${answered} of ${sent} answered`, ...failures].join(', ');
}
