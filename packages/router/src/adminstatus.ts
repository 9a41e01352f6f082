/** The status of the whole fleet, merged from all routers. */
import * as core from '@oleanderrock/core';
import * as configuration from './configuration.js';
import * as fleet from './fleet.js';
import * as peerCalls from './peercalls.js';
import * as resource from './resource.js';
import * as status from './status.js';
import * as fleetQuery from './fleetquery.js';

/** Default of the `offset` parameter, which stands for the newest offset. */
const NEWEST_OFFSET = Number.MAX_SAFE_INTEGER;
const OFFSET_PARAMETER = {fallback: NEWEST_OFFSET, min: 0, max: NEWEST_OFFSET};

type Reports = ReadonlyArray<fleetQuery.RouterReport<status.RouterStatus>>;

/** Collects and merges the status of every router. */
export class StatusResource implements resource.Resource {
  constructor(private readonly kernel: core.Kernel) {}

  async handle(
    request: resource.AdminRequest,
  ): Promise<core.Result<resource.AdminReply>> {
    if (request.segments.length > 0) return resource.notFound(request);
    if (request.method !== 'GET') return resource.badMethod(request, 'GET');
    const offset = resource.readNumberParameter(
      request,
      'offset',
      OFFSET_PARAMETER,
    );
    if (!offset.ok) return offset;
    const calls = this.kernel.find(peerCalls.PEER_CALLS);
    const reports = await fleetQuery.queryRouters(this.kernel, {
      readLocal: () => this.kernel.find(status.STATUS).describe(),
      callRemote: router => calls.status(router),
    });
    const includedReports = reports.filter(item => this.isIncluded(item));
    const body: core.FleetStatus = {
      answered_by: this.kernel.find(fleet.FLEET).self(),
      in_force: countInForce(includedReports, offset.value),
      routers: includedReports.map(describeRouter),
      endpoints: this.endpoints(reports),
    };
    return resource.reply(body);
  }

  /** Whether to list the router: not if it is leaving and does not answer. */
  private isIncluded({
    router,
    result,
  }: fleetQuery.RouterReport<unknown>): boolean {
    const instance = this.kernel.find(fleet.FLEET).find(router);
    return result.ok || instance?.state !== 'leaving';
  }

  private endpoints(reports: Reports) {
    const fleetView = this.kernel.find(fleet.FLEET);
    const {pools} = this.kernel.find(configuration.CONFIGURATION).tables();
    const rows = Object.values(pools).map(({row}) => row);
    const sortedEndpoints = [...fleetView.endpoints()].sort((left, right) =>
      left.name.localeCompare(right.name),
    );
    return sortedEndpoints.map(({name, state}) => {
      const reportedEndpoints = reports.flatMap(({result}) =>
        result.ok ? result.value.endpoints : [],
      );
      const ownerReports = reportedEndpoints.filter(
        entry => entry.name === name,
      );
      const memberPools = rows.filter(row => fleetView.isMember(row, name));
      return {
        name,
        pools: memberPools.map(row => row.name),
        owners: ownerReports.map(entry => entry.owner),
        in_flight: ownerReports[0]?.in_flight ?? 0,
        is_ejected: ownerReports.some(entry => entry.is_ejected),
        is_settled: ownerReports.some(entry => entry.is_settled),
        is_leaving:
          state === 'leaving' || ownerReports.some(entry => entry.is_leaving),
        is_drained: memberPools.some(row =>
          row.drained_endpoints?.includes(name),
        ),
      };
    });
  }
}

/**
 * Counts the routers at which the edit at the requested offset is in force; the
 * newest offset that any router reports, if none was requested.
 */
function countInForce(reports: Reports, requested: number): core.ConfigRollout {
  const nextOffsets = reports.map(({result}) =>
    result.ok ? result.value.next_offset : 0,
  );
  const newest = Math.min(requested, Math.max(...nextOffsets) - 1);
  const target = requested === Number.MAX_SAFE_INTEGER ? newest : requested;
  const lagging = reports
    .map((item, index) => ({name: item.router, next: nextOffsets[index] ?? 0}))
    .filter(item => item.next <= target)
    .map(item => item.name);
  return {
    offset: target,
    routers: reports.length - lagging.length,
    of: reports.length,
    lagging,
  };
}

function describeRouter({
  router,
  result,
}: fleetQuery.RouterReport<status.RouterStatus>): core.FleetStatus['routers'][number] {
  if (!result.ok) {
    return {name: router, is_reached: false, detail: result.failure.detail};
  }
  const {endpoints, ...state} = result.value;
  return {is_reached: true, ...state, owns: endpoints.map(item => item.name)};
}
