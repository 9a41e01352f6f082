/**
 * HTTP listener for the administration interface, version 1. It checks the
 * token, parses the JSON body and dispatches the request to the resource that
 * the path names.
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
import * as listeningService from './listeningservice.js';
import * as resource from './resource.js';
import type * as settings from './settings.js';

/** Path prefix of version 1 of the administration interface. */
export const PREFIX = '/admin/v1';

const METHODS_WITH_BODY = ['POST', 'PUT'];

/** Listener of the administration interface. */
export interface Admin {
  port(): number;
}

/** The contract under which the listener is registered. */
export const ADMIN = core.contract<Admin>('admin', ['port']);

/** Administration interface over HTTP. */
export class HttpAdmin
  extends listeningService.ListeningService
  implements Admin
{
  private readonly resources: ReadonlyMap<string, resource.Resource>;

  constructor(kernel: core.Kernel, routerSettings: settings.Settings) {
    super(kernel, routerSettings, {
      name: 'admin',
      port: routerSettings.adminPort,
      maxHeaderBytes: routerSettings.maxHeaderBytes,
    });
    this.resources = createResources(kernel);
  }

  protected async serve({
    request,
    response,
  }: core.listener.Call): Promise<void> {
    const id = core.createId();
    const result = await this.dispatch(request, id);
    if (!result.ok) {
      // The unread rest of a body must not be parsed as the next request.
      core.listener.sendProblem(response, result.failure, id);
      return;
    }
    const {status, body, version} = result.value;
    const headers: Record<string, string> =
      version === undefined ? {} : {etag: adminTables.etag(version)};
    core.listener.sendJson(response, status, body, headers);
  }

  private async dispatch(
    request: http.IncomingMessage,
    id: string,
  ): Promise<core.Result<resource.AdminReply>> {
    const authorization = String(request.headers.authorization ?? '');
    if (
      !core.areSecretsEqual(
        authorization,
        `Bearer ${this.routerSettings.adminToken}`,
      )
    ) {
      const detail = 'send Authorization: Bearer with the admin token';
      return core.fail('unauthorized', detail);
    }
    const location = parseResourcePath(request.url ?? '');
    const target = location && this.resources.get(location.name);
    if (!location || !target) {
      const detail = `${request.method} ${request.url}: unknown resource; available are ${PREFIX}/{${[...this.resources.keys()].join(',')}}`;
      return core.fail('not_found', detail);
    }
    const body = await this.readJson(request);
    if (!body.ok) return body;
    return target.handle({
      id,
      method: request.method ?? 'GET',
      segments: location.segments,
      query: location.query,
      header: name => singleValue(request.headers[name]),
      body: body.value,
    });
  }

  private async readJson(
    request: http.IncomingMessage,
  ): Promise<core.Result<unknown>> {
    if (!METHODS_WITH_BODY.includes(request.method ?? '')) {
      return core.succeed(undefined);
    }
    const raw = await core.listener.readBody(
      request,
      this.routerSettings.maxBodyBytes,
    );
    if (!raw.ok) return raw;
    if (raw.value.length === 0) return core.succeed(undefined);
    try {
      return core.succeed(JSON.parse(raw.value.toString('utf8')) as unknown);
    } catch (error) {
      const detail = `the body is not JSON: ${core.errorMessage(error)}`;
      return core.fail('bad_request', detail);
    }
  }
}

function createResources(
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

function singleValue(value: string | string[] | undefined): string | undefined {
  return typeof value === 'string' ? value : undefined;
}

function parseResourcePath(url: string) {
  const [pathname = '', query = ''] = url.split('?');
  if (!pathname.startsWith(`${PREFIX}/`)) return undefined;
  const parts = pathname.slice(PREFIX.length + 1).split('/');
  try {
    const [name = '', ...segments] = parts.map(decodeURIComponent);
    return {name, segments, query: new URLSearchParams(query)};
  } catch {
    return undefined;
  }
}
