/** `status`: shows the routers and endpoints of the fleet. */
import * as core from '@oleanderrock/core';
import type * as client from './client.js';
import * as command from './command.js';
import * as results from './results.js';
import * as rollout from './rollout.js';
import * as format from './format.js';

/** The command `status`. */
export class StatusCommand extends command.OperatorCommand {
  static override paths = [['status']];
  static override usage = command.usage(
    'show the routers, the endpoints and the configuration in force',
    'Any router reports the state of the whole fleet. The state of an endpoint is `home` if chats can be assigned to it, `back` shortly after it has returned, `ejected`, `leaving`, `drained` by an operator, or `unowned`.',
    [
      ['Show the fleet', 'oleanderctl status'],
      ['Refresh every 2 s', 'watch -n 2 oleanderctl status'],
    ],
  );

  protected async perform(
    admin: client.AdminClient,
  ): Promise<results.Result<command.CommandOutput>> {
    const status = await admin.call(core.fleetStatusSchema, {
      path: '/status',
    });
    if (!status.ok) return status;
    return results.succeed({
      data: status.value,
      text: formatStatus(status.value),
    });
  }
}

function formatStatus(status: core.FleetStatus): string {
  const {in_force: inForce, routers, endpoints} = status;
  const header = `offset ${inForce.offset} ${rollout.describeRollout(inForce)}`;
  return [header, formatRouters(routers), formatEndpoints(endpoints)].join(
    '\n\n',
  );
}

function formatRouters(routers: core.FleetStatus['routers']): string {
  const header = [
    'router',
    'state',
    'next',
    'chats',
    'queued',
    'in-flight',
    'owns',
  ];
  const tableRows = routers.map(router => {
    if (!router.is_reached) return [router.name, 'unreachable'];
    const state = routerState(router.is_draining, router.is_current);
    const counts = [
      router.next_offset,
      router.chats,
      router.queued,
      router.in_flight,
    ].map(String);
    return [router.name, state, ...counts, format.commaSeparated(router.owns)];
  });
  return format.formatTable(header, tableRows);
}

function routerState(isDraining: boolean, isCurrent: boolean): string {
  if (isDraining) return 'draining';
  return isCurrent ? 'live' : 'behind';
}

function formatEndpoints(endpoints: core.FleetStatus['endpoints']): string {
  const header = ['endpoint', 'state', 'in-flight', 'owner', 'pools'];
  const tableRows = endpoints.map(endpoint => [
    endpoint.name,
    endpointState(endpoint),
    String(endpoint.in_flight),
    format.commaSeparated(endpoint.owners),
    format.commaSeparated(endpoint.pools),
  ]);
  return format.formatTable(header, tableRows);
}

function endpointState(endpoint: core.FleetStatus['endpoints'][number]) {
  if (endpoint.is_drained) return 'drained';
  if (endpoint.is_leaving) return 'leaving';
  if (endpoint.is_ejected) return 'ejected';
  if (endpoint.owners.length === 0) return 'unowned';
  return endpoint.is_settled ? 'home' : 'back';
}
