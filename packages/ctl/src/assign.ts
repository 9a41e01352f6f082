/** Fields given on the command line as `field=value`. */
import * as core from '@oleanderrock/core';
import * as exits from './exits.js';

interface Entry {
  readonly type: string;
  readonly wrapped?: Entry;
}

/** Fields of a row, nested where a name has dots. */
export interface Fields {
  [name: string]: unknown;
}

function isList(table: core.TableName, field: string): boolean {
  const entries: Readonly<Record<string, Entry>> =
    core.ROW_SCHEMAS[table].entries;
  const entry = entries[field];
  return (entry?.wrapped ?? entry)?.type === 'array';
}

function readValue(
  table: core.TableName,
  field: string,
  text: string,
): unknown {
  if (isList(table, field) && !text.startsWith('[')) {
    return text.split(',').filter(word => word !== '');
  }
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return text;
  }
}

function place(target: Fields, names: readonly string[], value: unknown): void {
  const [name = '', ...rest] = names;
  if (rest.length > 0) {
    const inner = {...(target[name] as Fields | undefined)};
    place(inner, rest, value);
    target[name] = inner;
  } else if (value === '') {
    delete target[name];
  } else {
    target[name] = value;
  }
}

/** Puts the assignments into a copy of the row; an empty value clears. */
export function assign(
  table: core.TableName,
  row: Fields,
  assignments: readonly string[],
): exits.Result<Fields> {
  const copy = {...row};
  for (const text of assignments) {
    const at = text.indexOf('=');
    if (at < 1) {
      return exits.stop('usage', `${text}: must be field=value`);
    }
    const field = text.slice(0, at);
    const value = readValue(table, field, text.slice(at + 1));
    place(copy, field.split('.'), value);
  }
  return exits.succeed(copy);
}
