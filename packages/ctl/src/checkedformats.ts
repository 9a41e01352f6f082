/**
 * The formats of configuration that `check` reads: the project's own tables,
 * and those of the platform, which its adapter decodes.
 */
import * as core from '@oleanderrock/core';
import * as direct from '@oleanderrock/direct';
import * as platform from '@oleanderrock/platform';
import type * as client from './client.js';
import * as diff from './diff.js';
import * as liveTables from './livetables.js';
import type * as options from './options.js';
import * as ownTables from './owntables.js';
import * as results from './results.js';
import * as rows from './rows.js';

/** A difference from the version in force. */
export interface CheckedChange {
  readonly data: unknown;
  /** Lines for a person. */
  readonly lines: readonly string[];
}

/** A configuration that was read. */
export interface CheckedConfiguration {
  readonly findings: readonly core.Finding[];
  /** The differences from the configuration in another file. */
  changesFrom(base: unknown): results.Result<readonly CheckedChange[]>;
  /** The differences from what is in force at the routers. */
  changesFromLive(
    admin: client.AdminClient,
  ): Promise<results.Result<readonly CheckedChange[]>>;
}

/** A format of configuration. */
export interface CheckedFormat {
  readonly name: string;
  /** Whether the file seems to have this format. */
  recognizes(content: object): boolean;
  check(content: unknown): CheckedConfiguration;
}

/** The platform's configuration, of one version. */
export class PlatformFormat implements CheckedFormat {
  readonly name = 'platform';

  recognizes(content: object): boolean {
    return 'version' in content;
  }

  check(content: unknown): CheckedConfiguration {
    const {tables, findings} = platform.tables.checkConfig(content);
    return {
      findings,
      changesFrom: base => {
        const {tables: before} = platform.tables.checkConfig(base);
        if (!before) return invalidBase(this.name);
        return results.succeed(tables ? toChanges(before, tables) : []);
      },
      changesFromLive: async ({options: {addresses}}) => {
        const before = await fetchFromAny(addresses);
        if (!before.ok) return before;
        return results.succeed(tables ? toChanges(before.value, tables) : []);
      },
    };
  }
}

/** The project's own tables of routes, pools and customers. */
export class OwnFormat implements CheckedFormat {
  readonly name = 'tables';

  recognizes(content: object): boolean {
    return core.TABLE_NAMES.some(table => table in content);
  }

  check(content: unknown): CheckedConfiguration {
    const checked = ownTables.checkOwnTables(content);
    const changesFrom = (tables: core.Tables) =>
      results.succeed(
        diff
          .diffTables(tables, checked.rows, {isPruning: true})
          .map(({change, lines}) => ({data: change, lines})),
      );
    return {
      findings: checked.findings,
      changesFrom: base => {
        const {rows: baseRows, findings} = ownTables.checkOwnTables(base);
        if (!core.areUsable(findings)) return invalidBase(this.name);
        return changesFrom(ownTables.toTables(baseRows));
      },
      changesFromLive: async admin => {
        const tables = await rows.readTables(admin);
        return tables.ok ? changesFrom(tables.value) : tables;
      },
    };
  }
}

/** All formats, the first that recognizes a file is used. */
export const CHECKED_FORMATS: readonly CheckedFormat[] = [
  new PlatformFormat(),
  new OwnFormat(),
];

function invalidBase(format: string): results.Result<never> {
  const message = `what is compared with is no valid configuration of the format "${format}"`;
  return results.fail('usage', message);
}

function toChanges(
  before: direct.Tables,
  after: direct.Tables,
): CheckedChange[] {
  return direct
    .compareTables(before, after)
    .map(change => ({data: change, lines: describeChange(change)}));
}

const SIGNS = {added: '+', removed: '-', changed: '~'} as const;

function describeChange({
  type,
  row,
  fields,
  effect,
}: direct.TablesChange): string[] {
  const fieldLines = fields.map(
    ({field, from, to}) => `    ${field}: ${from} -> ${to}`,
  );
  const effectLines = effect === undefined ? [] : [`    => ${effect}`];
  return [`${SIGNS[type]} ${row}`, ...fieldLines, ...effectLines];
}

async function fetchFromAny(
  addresses: readonly options.Address[],
): Promise<results.Result<direct.Tables>> {
  const failures: string[] = [];
  for (const address of addresses) {
    const fetched = await liveTables.fetchTables(address);
    if (fetched.ok) return fetched;
    failures.push(fetched.failure.message);
  }
  const advice = 'give the port for other routers, and check --address';
  return results.fail('unreachable', failures.join('; '), advice);
}
