/** Paths of the commands on tables, such as `routes set`. */
import * as core from '@oleanderrock/core';

/** The command paths of a verb, one for each table. */
export function tableCommandPaths(verb: string): string[][] {
  return core.TABLE_NAMES.map(table => [table, verb]);
}

/** The table named by a command path. Throws if there is no such table. */
export function tableOfPath([tableName]: readonly string[]): core.TableName {
  const table = core.TABLE_NAMES.find(name => name === tableName);
  if (!table) throw new Error(`${tableName ?? 'nothing'} is not a table`);
  return table;
}
