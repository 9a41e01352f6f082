/** What a schema's issue says to the person who wrote the value. */
import type * as v from 'valibot';

/** One line on the issue, without the field's place. */
export function explain(issue: v.BaseIssue<unknown>): string {
  const {type, expected, received, message} = issue;
  const isKey = type === 'strict_object' || type === 'object';
  if (isKey && expected === 'never') return 'there is no such field';
  const isMissing = isKey && received === 'undefined' && expected !== 'Object';
  return isMissing ? 'is required' : message;
}
