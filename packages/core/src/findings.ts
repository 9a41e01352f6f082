/**
 * Findings of a check of configuration tables: what is wrong with a row, or is
 * likely not what the operator meant.
 */
import * as v from 'valibot';

/** Schema of a finding. */
export const findingSchema = v.object({
  /** Errors make the tables unusable; warnings do not. */
  severity: v.picklist(['error', 'warning']),
  kind: v.picklist([
    /** A field is missing or has a value that it must not have. */
    'malformed',
    /** Two rows of a table have the same name. */
    'duplicate_name',
    /** No request can match the row. */
    'never_matches',
    /** A row names one that does not exist. */
    'unknown_name',
    /** No other row uses the row. */
    'unused',
    /** Two limits cannot both have an effect. */
    'contradiction',
    /** Two customers hold the same key. */
    'shared_key',
    /** A customer cannot call routes that need a key. */
    'no_key',
  ]),
  /** Row and field, such as `routes[2] (drafts): goalMs`. */
  place: v.string(),
  detail: v.string(),
});

/** A finding. */
export type Finding = v.InferOutput<typeof findingSchema>;

/** Whether the tables can be used in spite of the findings. */
export function areUsable(findings: readonly Finding[]): boolean {
  return findings.every(({severity}) => severity !== 'error');
}

/** Place of a field of a row in findings. */
export function placeOf(
  table: string,
  index: number,
  name: string,
  field?: string,
): string {
  const row = `${table}[${index}] (${name})`;
  return field === undefined ? row : `${row}: ${field}`;
}

/** Finds the rows of a table whose name an earlier row has. */
export function findDuplicateNames(
  table: string,
  rows: ReadonlyArray<{readonly name: string}>,
): Finding[] {
  const firstIndexes = new Map<string, number>();
  const findings: Finding[] = [];
  for (const [index, {name}] of rows.entries()) {
    const firstIndex = firstIndexes.get(name);
    if (firstIndex === undefined) {
      firstIndexes.set(name, index);
      continue;
    }
    findings.push({
      severity: 'error',
      kind: 'duplicate_name',
      place: placeOf(table, index, name),
      detail: `${table}[${firstIndex}] has the same name`,
    });
  }
  return findings;
}

/** Turns the issues of a schema into findings. */
export function malformedFindings(
  table: string,
  issues: ReadonlyArray<v.BaseIssue<unknown>>,
): Finding[] {
  return issues.map(issue => ({
    severity: 'error',
    kind: 'malformed',
    place: [table, v.getDotPath(issue)].filter(Boolean).join('.') || 'the file',
    detail: issue.message,
  }));
}
