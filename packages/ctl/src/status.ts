/** `status`: the routers and the endpoints of the fleet. */
import * as core from '@oleanderrock/core';
import type * as client from './client.js';
import * as command from './command.js';
import * as exits from './exits.js';
import * as force from './force.js';
import * as print from './print.js';

/** Shows the state of the fleet. */
export class StatusCommand extends command.OperatorCommand {
  static override paths = [['status']];
  static override usage = command.usage(
    'show the routers, the endpoints and what is in force',
    'Any router tells the state of the whole fleet. An endpoint is `home` when chats settle on it, `back` shortly after it came back, `ejected`, `leaving`, `drained` by an operator, or `unowned`.',
    [
      ['The fleet', 'oleanderctl status'],
      ['Every other second', 'watch -n 2 oleanderctl status'],
    ],
  );

  protected async act(
    routers: client.Client,
  ): Promise<exits.Result<command.Output>> {
    const status = await routers.call(core.fleetStatusSchema, {
      path: '/status',
    });
    if (!status.ok) return status;
    return exits.succeed({data: status.value, text: describe(status.value)});
  }
}

function describe(status: core.FleetStatus): string {
  const {in_force: inForce, routers, endpoints} = status;
  const head = `offset ${inForce.offset} ${force.describe(inForce)}`;
  return [head, describeRouters(routers), describeEndpoints(endpoints)].join(
    '\n\n',
  );
}

function describeRouters(routers: core.FleetStatus['routers']): string {
  const head = [
    'router',
    'state',
    'next',
    'chats',
    'queued',
    'in-flight',
    'owns',
  ];
  const lines = routers.map(router => {
    if (!router.is_reached) return [router.name, 'unreachable'];
    const state = routerState(router.is_draining, router.is_current);
    const counts = [
      router.next_offset,
      router.chats,
      router.queued,
      router.in_flight,
    ].map(String);
    return [router.name, state, ...counts, print.words(router.owns)];
  });
  return print.table(head, lines);
}

function routerState(isDraining: boolean, isCurrent: boolean): string {
  if (isDraining) return 'draining';
  return isCurrent ? 'live' : 'behind';
}

function describeEndpoints(endpoints: core.FleetStatus['endpoints']): string {
  const head = ['endpoint', 'state', 'in-flight', 'owner', 'pools'];
  const lines = endpoints.map(endpoint => [
    endpoint.name,
    endpointState(endpoint),
    String(endpoint.in_flight),
    print.words(endpoint.owners),
    print.words(endpoint.pools),
  ]);
  return print.table(head, lines);
}

function endpointState(endpoint: core.FleetStatus['endpoints'][number]) {
  if (endpoint.is_drained) return 'drained';
  if (endpoint.is_leaving) return 'leaving';
  if (endpoint.is_ejected) return 'ejected';
  if (endpoint.owners.length === 0) return 'unowned';
  return endpoint.is_settled ? 'home' : 'back';
}
