/** The state of the whole fleet, put together from all routers. */
import * as core from '@oleanderrock/core';
import * as configuration from './configuration.js';
import * as fleet from './fleet.js';
import * as peerCalls from './peercalls.js';
import * as resource from './resource.js';
import * as status from './status.js';
import * as survey from './survey.js';

/** Without an offset, the newest one is asked about. */
const NEWEST = Number.MAX_SAFE_INTEGER;
const OFFSET = {fallback: NEWEST, min: 0, max: NEWEST};

type Reports = ReadonlyArray<survey.Reported<status.RouterStatus>>;

/** Asks all routers for their own state. */
export class StatusResource implements resource.Resource {
  constructor(private readonly kernel: core.Kernel) {}

  async answer(ask: resource.Ask): Promise<core.Result<resource.Reply>> {
    if (ask.path.length > 0) return resource.missing(ask);
    if (ask.method !== 'GET') return resource.wrongMethod(ask, 'GET');
    const offset = resource.readNumber(ask, 'offset', OFFSET);
    if (!offset.ok) return offset;
    const calls = this.kernel.find(peerCalls.PEER_CALLS);
    const reports = await survey.survey(this.kernel, {
      own: () => this.kernel.find(status.STATUS).describe(),
      ask: router => calls.status(router),
    });
    const counted = reports.filter(item => this.counts(item));
    const body: core.FleetStatus = {
      answered_by: this.kernel.find(fleet.FLEET).self(),
      in_force: inForce(counted, offset.value),
      routers: counted.map(describeRouter),
      endpoints: this.endpoints(reports),
    };
    return resource.reply(body);
  }

  /** A router that leaves and answers no more is not waited for. */
  private counts({router, result}: survey.Reported<unknown>): boolean {
    const listed = this.kernel.find(fleet.FLEET).find(router);
    return result.ok || listed?.state !== 'leaving';
  }

  private endpoints(reports: Reports) {
    const known = this.kernel.find(fleet.FLEET);
    const {pools} = this.kernel.find(configuration.CONFIGURATION).tables();
    const rows = Object.values(pools).map(({row}) => row);
    const listed = [...known.endpoints()].sort((left, right) =>
      left.name.localeCompare(right.name),
    );
    return listed.map(({name, state}) => {
      const views = reports.flatMap(({result}) =>
        result.ok ? result.value.endpoints : [],
      );
      const owned = views.filter(view => view.name === name);
      const pool = rows.filter(row => known.isMember(row, name));
      return {
        name,
        pools: pool.map(row => row.name),
        owners: owned.map(view => view.owner),
        in_flight: owned[0]?.in_flight ?? 0,
        is_ejected: owned.some(view => view.is_ejected),
        is_settled: owned.some(view => view.is_settled),
        is_leaving: state === 'leaving' || owned.some(view => view.is_leaving),
        is_drained: pool.some(row => row.drained_endpoints?.includes(name)),
      };
    });
  }
}

/** How many routers have an offset in force; by default the newest known. */
function inForce(reports: Reports, asked: number): core.InForce {
  const next = reports.map(({result}) =>
    result.ok ? result.value.next_offset : 0,
  );
  const offset = Math.min(asked, Math.max(...next) - 1);
  const wanted = asked === Number.MAX_SAFE_INTEGER ? offset : asked;
  const lagging = reports
    .map((item, index) => ({name: item.router, next: next[index] ?? 0}))
    .filter(item => item.next <= wanted)
    .map(item => item.name);
  return {
    offset: wanted,
    routers: reports.length - lagging.length,
    of: reports.length,
    lagging,
  };
}

function describeRouter({
  router,
  result,
}: survey.Reported<status.RouterStatus>): core.FleetStatus['routers'][number] {
  if (!result.ok) {
    return {name: router, is_reached: false, detail: result.failure.detail};
  }
  const {endpoints, ...own} = result.value;
  return {is_reached: true, ...own, owns: endpoints.map(item => item.name)};
}
