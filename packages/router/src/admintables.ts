/** Rows of the configuration tables, each with its version as ETag. */
import * as core from '@oleanderrock/core';
import * as decide from '@oleanderrock/decide';
import * as v from 'valibot';
import * as adminEdits from './adminedits.js';
import * as configuration from './configuration.js';
import * as resource from './resource.js';

const ETAG_PATTERN = /^"(\d{1,15})"$/;

const rowBodySchema = v.record(v.string(), v.unknown());

/** Formats a row version as an ETag. */
export function etag(version: number): string {
  return `"${version}"`;
}

/** Reads and edits single rows. */
export class TablesResource implements resource.Resource {
  constructor(private readonly kernel: core.Kernel) {}

  async handle(
    request: resource.AdminRequest,
  ): Promise<core.Result<resource.AdminReply>> {
    const [table, name, ...rest] = request.segments;
    const tables = this.kernel.find(configuration.CONFIGURATION).tables();
    if (rest.length > 0) return resource.notFound(request);
    if (table === undefined) return list(request, tables);
    if (!v.is(v.picklist(core.TABLE_NAMES), table)) {
      const names = core.TABLE_NAMES.join(', ');
      return core.fail(
        'not_found',
        `unknown table ${table}; the tables are ${names}`,
      );
    }
    if (name === undefined) return list(request, tables[table]);
    if (request.method === 'GET') return this.get(table, name);
    if (request.method === 'PUT') return this.put(request, table, name);
    if (request.method === 'DELETE') {
      return this.edit(request, table, name, null);
    }
    return resource.badMethod(request, 'GET', 'PUT', 'DELETE');
  }

  private get(
    table: core.TableName,
    name: string,
  ): core.Result<resource.AdminReply> {
    const tables = this.kernel.find(configuration.CONFIGURATION).tables();
    const version = decide.versionOf(tables, table, name);
    if (version === decide.ABSENT_VERSION) {
      return core.fail('not_found', `there is no row ${table}/${name}`);
    }
    return resource.reply(tables[table][name], version);
  }

  private async put(
    request: resource.AdminRequest,
    table: core.TableName,
    name: string,
  ): Promise<core.Result<resource.AdminReply>> {
    const body = resource.parseValue(rowBodySchema, request.body);
    if (!body.ok) return body;
    return this.edit(request, table, name, {name, ...body.value});
  }

  private async edit(
    request: resource.AdminRequest,
    table: core.TableName,
    name: string,
    row: Readonly<Record<string, unknown>> | null,
  ): Promise<core.Result<resource.AdminReply>> {
    const expected = readExpectedVersion(request);
    if (!expected.ok) return expected;
    const operator = resource.readOperator(request);
    if (!operator.ok) return operator;
    const expectedVersion = expected.value;
    const verdict = await adminEdits.submit(this.kernel, {
      edit_id: request.id,
      operator: operator.value,
      changes: [{table, name, expected_version: expectedVersion, row}],
    });
    if (verdict.ok) {
      const version = verdict.value.offset + 1;
      return resource.reply(verdict.value, row ? version : undefined);
    }
    const {kind, detail} = verdict.failure;
    // HTTP has status 412 for a failed If-Match; a conflict of edits is a 409.
    if (kind === 'edit_conflict') {
      return core.fail('precondition_failed', detail);
    }
    return verdict;
  }
}

function list(
  request: resource.AdminRequest,
  rows: unknown,
): core.Result<resource.AdminReply> {
  if (request.method !== 'GET') return resource.badMethod(request, 'GET');
  return resource.reply(rows);
}

/** Reads the row version that If-Match or If-None-Match requires. */
function readExpectedVersion(
  request: resource.AdminRequest,
): core.Result<number> {
  const match = request.header('if-match');
  const noneMatch = request.header('if-none-match');
  if (match === undefined && noneMatch === '*' && request.method === 'PUT') {
    return core.succeed(decide.ABSENT_VERSION);
  }
  if (match === undefined) {
    const detail = 'send If-Match with the ETag, or If-None-Match: * to create';
    return core.fail('precondition_required', detail);
  }
  const version = ETAG_PATTERN.exec(match)?.[1];
  if (version !== undefined) return core.succeed(Number(version));
  const detail = `if-match: ${match} is not the ETag of a row, such as "12"`;
  return core.fail('bad_request', detail);
}
