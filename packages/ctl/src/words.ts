/** The words of the commands on rows: a table's name, then a verb. */
import * as core from '@oleanderrock/core';

/** The paths of a verb, one for each table. */
export function paths(verb: string): string[][] {
  return core.TABLE_NAMES.map(table => [table, verb]);
}

/** The table that a command's path names. */
export function table([word]: readonly string[]): core.TableName {
  const found = core.TABLE_NAMES.find(name => name === word);
  if (!found) throw new Error(`${word ?? 'nothing'} is not a table`);
  return found;
}
