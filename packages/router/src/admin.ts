/**
 * The listener for operators: the administration interface, version 1. It
 * checks the token, reads the body and gives the call to the group that the
 * path names.
 */
import type * as http from 'node:http';
import * as core from '@oleanderrock/core';
import * as adminAudit from './adminaudit.js';
import * as adminDrain from './admindrain.js';
import * as adminEdits from './adminedits.js';
import * as adminSchema from './adminschema.js';
import * as adminStatus from './adminstatus.js';
import * as adminTables from './admintables.js';
import * as adminUsage from './adminusage.js';
import * as adminWhere from './adminwhere.js';
import * as adminWhy from './adminwhy.js';
import * as listening from './listening.js';
import * as resource from './resource.js';
import type * as settings from './settings.js';

/** Path prefix of the interface's version. */
export const PREFIX = '/admin/v1';

const WITH_BODY = ['POST', 'PUT'];

/** The listener for operators. */
export interface Admin {
  port(): number;
}

/** The contract under which the listener is registered. */
export const ADMIN = core.contract<Admin>('admin', ['port']);

/** Listener over HTTP. */
export class HttpAdmin extends listening.ListeningService implements Admin {
  private readonly groups: ReadonlyMap<string, resource.Resource>;

  constructor(kernel: core.Kernel, own: settings.Settings) {
    super(kernel, own, {
      name: 'admin',
      port: own.adminPort,
      maxHeaderBytes: own.maxHeaderBytes,
    });
    this.groups = createGroups(kernel);
  }

  protected async serve({
    request,
    response,
  }: core.listener.Call): Promise<void> {
    const id = core.createId();
    const result = await this.answer(request, id);
    if (!result.ok) {
      // What is left of a body that was not read must not be taken for a call.
      if (!request.complete) response.setHeader('connection', 'close');
      core.listener.sendProblem(response, result.failure, id);
      return;
    }
    const {status, body, version} = result.value;
    const headers: Record<string, string> =
      version === undefined ? {} : {etag: adminTables.etag(version)};
    core.listener.sendJson(response, status, body, headers);
  }

  private async answer(
    request: http.IncomingMessage,
    id: string,
  ): Promise<core.Result<resource.Reply>> {
    const given = String(request.headers.authorization ?? '');
    if (!core.equalSecrets(given, `Bearer ${this.own.adminToken}`)) {
      const detail = 'send Authorization: Bearer with the admin token';
      return core.fail('unauthorized', detail);
    }
    const place = readPath(request.url ?? '');
    const group = place && this.groups.get(place.group);
    if (!place || !group) {
      const detail = `${request.method} ${request.url}; the groups are ${PREFIX}/{${[...this.groups.keys()].join(',')}}`;
      return core.fail('not_found', detail);
    }
    const body = await this.readJson(request);
    if (!body.ok) return body;
    return group.answer({
      id,
      method: request.method ?? 'GET',
      path: place.path,
      query: place.query,
      header: name => text(request.headers[name]),
      body: body.value,
    });
  }

  private async readJson(
    request: http.IncomingMessage,
  ): Promise<core.Result<unknown>> {
    if (!WITH_BODY.includes(request.method ?? '')) {
      return core.succeed(undefined);
    }
    const raw = await core.listener.readBody(request, this.own.maxBodyBytes);
    if (!raw.ok) return raw;
    if (raw.value.length === 0) return core.succeed(undefined);
    try {
      return core.succeed(JSON.parse(raw.value.toString('utf8')) as unknown);
    } catch (error) {
      const detail = `the body is not JSON: ${core.reason(error)}`;
      return core.fail('bad_request', detail);
    }
  }
}

function createGroups(
  kernel: core.Kernel,
): ReadonlyMap<string, resource.Resource> {
  return new Map<string, resource.Resource>([
    ['tables', new adminTables.TablesResource(kernel)],
    ['edits', new adminEdits.EditsResource(kernel)],
    ['status', new adminStatus.StatusResource(kernel)],
    ['audit', new adminAudit.AuditResource(kernel)],
    ['why', new adminWhy.WhyResource(kernel)],
    ['drain', new adminDrain.DrainResource(kernel)],
    ['usage', new adminUsage.UsageResource(kernel)],
    ['where', new adminWhere.WhereResource(kernel)],
    ['schema', new adminSchema.SchemaResource()],
  ]);
}

function text(value: string | string[] | undefined): string | undefined {
  return typeof value === 'string' ? value : undefined;
}

function readPath(url: string) {
  const [plain = '', query = ''] = url.split('?');
  if (!plain.startsWith(`${PREFIX}/`)) return undefined;
  const parts = plain.slice(PREFIX.length + 1).split('/');
  try {
    const [group = '', ...path] = parts.map(decodeURIComponent);
    return {group, path, query: new URLSearchParams(query)};
  } catch {
    return undefined;
  }
}
