/** Rows of the tables, each with its version as ETag. */
import * as core from '@oleanderrock/core';
import * as decide from '@oleanderrock/decide';
import * as v from 'valibot';
import * as adminEdits from './adminedits.js';
import * as configuration from './configuration.js';
import * as resource from './resource.js';

const ETAG_PATTERN = /^"(\d{1,15})"$/;

const rowBodySchema = v.record(v.string(), v.unknown());

/** The ETag of a row's version. */
export function etag(version: number): string {
  return `"${version}"`;
}

/** Reads and edits single rows. */
export class TablesResource implements resource.Resource {
  constructor(private readonly kernel: core.Kernel) {}

  async answer(ask: resource.Ask): Promise<core.Result<resource.Reply>> {
    const [table, name, ...rest] = ask.path;
    const tables = this.kernel.find(configuration.CONFIGURATION).tables();
    if (rest.length > 0) return resource.missing(ask);
    if (table === undefined) return list(ask, tables);
    if (!v.is(v.picklist(core.TABLE_NAMES), table)) {
      const known = core.TABLE_NAMES.join(', ');
      return core.fail('not_found', `no table ${table}; there are ${known}`);
    }
    if (name === undefined) return list(ask, tables[table]);
    if (ask.method === 'GET') return this.get(table, name);
    if (ask.method === 'PUT') return this.put(ask, table, name);
    if (ask.method === 'DELETE') return this.edit(ask, table, name, null);
    return resource.wrongMethod(ask, 'GET', 'PUT', 'DELETE');
  }

  private get(
    table: core.TableName,
    name: string,
  ): core.Result<resource.Reply> {
    const tables = this.kernel.find(configuration.CONFIGURATION).tables();
    const version = decide.versionOf(tables, table, name);
    if (version === decide.ABSENT_VERSION) {
      return core.fail('not_found', `there is no row ${table}/${name}`);
    }
    return resource.reply(tables[table][name], version);
  }

  private async put(
    ask: resource.Ask,
    table: core.TableName,
    name: string,
  ): Promise<core.Result<resource.Reply>> {
    const given = resource.read(rowBodySchema, ask.body);
    if (!given.ok) return given;
    return this.edit(ask, table, name, {name, ...given.value});
  }

  private async edit(
    ask: resource.Ask,
    table: core.TableName,
    name: string,
    row: Readonly<Record<string, unknown>> | null,
  ): Promise<core.Result<resource.Reply>> {
    const expected = readExpected(ask);
    if (!expected.ok) return expected;
    const operator = resource.readOperator(ask);
    if (!operator.ok) return operator;
    const expectedVersion = expected.value;
    const verdict = await adminEdits.submit(this.kernel, {
      edit_id: ask.id,
      operator: operator.value,
      changes: [{table, name, expected_version: expectedVersion, row}],
    });
    if (verdict.ok) {
      const version = verdict.value.offset + 1;
      return resource.reply(verdict.value, row ? version : undefined);
    }
    const {kind, detail} = verdict.failure;
    // One row under If-Match: the status of a precondition says more.
    if (kind === 'edit_conflict') {
      return core.fail('precondition_failed', detail);
    }
    return verdict;
  }
}

function list(ask: resource.Ask, rows: unknown): core.Result<resource.Reply> {
  if (ask.method !== 'GET') return resource.wrongMethod(ask, 'GET');
  return resource.reply(rows);
}

/** The version that the row must have, by the call's preconditions. */
function readExpected(ask: resource.Ask): core.Result<number> {
  const match = ask.header('if-match');
  const noneMatch = ask.header('if-none-match');
  if (match === undefined && noneMatch === '*' && ask.method === 'PUT') {
    return core.succeed(decide.ABSENT_VERSION);
  }
  if (match === undefined) {
    const detail = 'send If-Match with the ETag, or If-None-Match: * to create';
    return core.fail('precondition_required', detail);
  }
  const version = ETAG_PATTERN.exec(match)?.[1];
  if (version !== undefined) return core.succeed(Number(version));
  const detail = `if-match: ${match} is not an ETag of a row, as "12"`;
  return core.fail('bad_request', detail);
}
