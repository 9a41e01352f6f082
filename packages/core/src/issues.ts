/** Messages for schema validation issues, for the author of the value. */
import type * as v from 'valibot';

/** Describes an issue in one line, without the path of the field. */
export function describeIssue(issue: v.BaseIssue<unknown>): string {
  const {type, expected, received, message} = issue;
  const isObjectIssue = type === 'strict_object' || type === 'object';
  if (isObjectIssue && expected === 'never') return 'there is no such field';
  const isMissing =
    isObjectIssue && received === 'undefined' && expected !== 'Object';
  return isMissing ? 'is required' : message;
}
