/** Assignments to the fields of a row, as `field=value` on the command line. */
import * as core from '@oleanderrock/core';
import * as results from './results.js';

/** The part of a Valibot field schema that tells whether the field is a list. */
interface SchemaEntry {
  readonly type: string;
  readonly wrapped?: SchemaEntry;
}

/** Fields of a row by name; values may be nested objects. */
export interface RowFields {
  [name: string]: unknown;
}

function isListField(table: core.TableName, field: string): boolean {
  const entries: Readonly<Record<string, SchemaEntry>> =
    core.ROW_SCHEMAS[table].entries;
  const entry = entries[field];
  return (entry?.wrapped ?? entry)?.type === 'array';
}

/**
 * Parses a field's value: a list from comma-separated items, any other value
 * from JSON. Text that is not JSON is taken as a string.
 */
function parseValue(
  table: core.TableName,
  field: string,
  text: string,
): unknown {
  if (isListField(table, field) && !text.startsWith('[')) {
    return text.split(',').filter(item => item !== '');
  }
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return text;
  }
}

/** Sets the field at the path, or removes it if the value is empty. */
function setField(
  target: RowFields,
  fieldPath: readonly string[],
  value: unknown,
): void {
  const [name = '', ...nestedPath] = fieldPath;
  if (nestedPath.length > 0) {
    const nestedFields = {...(target[name] as RowFields | undefined)};
    setField(nestedFields, nestedPath, value);
    target[name] = nestedFields;
  } else if (value === '') {
    delete target[name];
  } else {
    target[name] = value;
  }
}

/**
 * Applies the assignments to a copy of the row. Dots in a field name address a
 * nested field; an empty value removes the field.
 */
export function applyAssignments(
  table: core.TableName,
  row: RowFields,
  assignments: readonly string[],
): results.Result<RowFields> {
  const changedRow = {...row};
  for (const assignment of assignments) {
    const separator = assignment.indexOf('=');
    if (separator < 1) {
      return results.fail(
        'usage',
        `${assignment}: must have the form field=value`,
      );
    }
    const field = assignment.slice(0, separator);
    const value = parseValue(table, field, assignment.slice(separator + 1));
    setField(changedRow, field.split('.'), value);
  }
  return results.succeed(changedRow);
}
