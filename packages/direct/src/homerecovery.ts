/**
 * Recovers the homes of prompt prefixes at the start: the endpoints that cache
 * them. They are fetched from a router that has run for longer. If the whole
 * fleet restarts, the endpoints list the prefixes in their caches; each
 * endpoint is queried by one router, which shares the result with the others.
 */
import * as core from '@oleanderrock/core';
import * as v from 'valibot';
import * as decisions from './decisions.js';
import * as wireProtocol from './wireprotocol.js';
import * as endpointNotices from './endpointnotices.js';
import * as fleetRegistry from './fleetregistry.js';
import * as jsonFetch from './jsonfetch.js';
import * as runState from './runstate.js';
import type * as model from './model.js';
import type * as settings from './settings.js';
import * as activeTables from './activetables.js';

/** Path at which routers serve their prefix homes. */
export const HOMES_PATH = '/homes';

/** Schema of the response: prefixes with the endpoints that cache them. */
export const homesSchema = v.array(v.tuple([v.string(), v.string()]));

/** Interval between checks of whether this router is ready, in ms. */
const POLL_INTERVAL_MS = 50;

/**
 * Time from readiness until the digests of some other routers have arrived, and
 * the time without a change after which all members count as known, in ms. If
 * members keep changing, the recovery starts after the longest wait.
 */
const FIRST_DIGESTS_WAIT_MS = 300;
const STABLE_MEMBERS_MS = 500;
const MAX_MEMBERS_WAIT_MS = 3_000;

/**
 * How much longer than this router a donor must have run, in s. A donor is a
 * router from which homes are fetched.
 */
const MIN_DONOR_LEAD_S = 3;

/** Maximum number of donors that are tried one after the other. */
const MAX_DONORS = 3;

/**
 * Minimum number of tokens of a recovered prefix: shorter ones are processed in
 * a few ms, and many of them belong to one request alone.
 */
const MIN_PREFIX_TOKENS = 500;

/** The contract under which the recovery of homes is registered. */
export const HOME_RECOVERY = core.contract<core.Lifecycle>('home-recovery', [
  'start',
]);

/** Recovers prefix homes once, at the start. */
export class HomeRecovery extends core.TaskService {
  constructor(
    kernel: core.Kernel,
    private readonly routerSettings: settings.Settings,
  ) {
    super(kernel, 'home_recovery');
  }

  protected async run(signal: AbortSignal): Promise<void> {
    const clock = this.kernel.find(core.CLOCK);
    const ownState = this.kernel.find(runState.RUN_STATE);
    while (ownState.phase() === 'starting') {
      await clock.sleep(POLL_INTERVAL_MS, signal);
      if (signal.aborted) return;
    }
    await clock.sleep(FIRST_DIGESTS_WAIT_MS, signal);
    if (signal.aborted) return;
    const donors = this.findDonors();
    if (donors.length > 0) await this.fetchFromDonors(donors, signal);
    else if (!this.routerSettings.isFirstStart) {
      await this.waitForMembers(signal);
      if (!signal.aborted) await this.fetchFromEndpoints(signal);
    }
  }

  /**
   * Waits until all members are known, so that two routers do not query the
   * same endpoint.
   */
  private async waitForMembers(signal: AbortSignal): Promise<void> {
    const clock = this.kernel.find(core.CLOCK);
    const membership = this.kernel.find(decisions.MEMBERSHIP);
    const endMs = clock.nowMs() + MAX_MEMBERS_WAIT_MS;
    let changedMs = clock.nowMs();
    let fingerprint = membership.fingerprint();
    while (!signal.aborted && clock.nowMs() < endMs) {
      if (clock.nowMs() - changedMs >= STABLE_MEMBERS_MS) return;
      await clock.sleep(POLL_INTERVAL_MS, signal);
      if (membership.fingerprint() === fingerprint) continue;
      fingerprint = membership.fingerprint();
      changedMs = clock.nowMs();
    }
  }

  /**
   * Routers that have run for longer, those of the same failure domain first.
   * The rank order depends on this router's name, so that starting routers
   * spread over the donors.
   */
  private findDonors(): readonly model.Router[] {
    const fleet = this.kernel.find(fleetRegistry.FLEET_REGISTRY);
    const uptimeS = this.kernel.find(runState.RUN_STATE).uptimeS();
    const {name, zone} = fleet.self();
    const olderRouters = fleet
      .livePeers()
      .filter(
        ({status}) => (status?.uptimeS ?? 0) >= uptimeS + MIN_DONOR_LEAD_S,
      )
      .map(({note}) => note.router);
    const rankedRouters = core
      .rankNodes(
        name,
        olderRouters.map(router => router.name),
      )
      .map(rankedName =>
        olderRouters.find(router => router.name === rankedName)!,
      );
    const sameZoneRouters = rankedRouters.filter(
      router => router.zone === zone,
    );
    const otherZoneRouters = rankedRouters.filter(
      router => router.zone !== zone,
    );
    return [...sameZoneRouters, ...otherZoneRouters].slice(0, MAX_DONORS);
  }

  private async fetchFromDonors(
    donors: readonly model.Router[],
    signal: AbortSignal,
  ): Promise<void> {
    for (const {name, address} of donors) {
      const port = this.routerSettings.peerPort;
      const request = {address, port, path: HOMES_PATH, signal};
      const result = await jsonFetch.fetchJson(request);
      if (signal.aborted) return;
      const homes = v.safeParse(homesSchema, jsonOf(result));
      if (homes.success) {
        this.addHomes(name, homes.output);
        return;
      }
      this.logFailure(name, result);
    }
  }

  private addHomes(
    source: string,
    homes: v.InferOutput<typeof homesSchema>,
  ): void {
    const prefixHomes = this.kernel.find(decisions.PREFIX_HOMES);
    for (const [prefix, endpoint] of homes) {
      prefixHomes.applyRemote({prefix, endpoint}, this.nowMs());
    }
    this.logRecovered(source, homes.length);
  }

  /**
   * Queries the endpoints for which this router ranks first among the live
   * routers.
   */
  private async fetchFromEndpoints(signal: AbortSignal): Promise<void> {
    const fleet = this.kernel.find(fleetRegistry.FLEET_REGISTRY);
    const {name} = fleet.self();
    const livePeerNames = fleet.livePeers().map(({note}) => note.router.name);
    const assignedEndpoints = this.cachingEndpoints().filter(
      ({id}) => core.topNode(id, [name, ...livePeerNames]) === name,
    );
    await Promise.all(
      assignedEndpoints.map(endpoint =>
        this.fetchFromEndpoint(endpoint, signal),
      ),
    );
  }

  /** Endpoints of pools that cache the context of prompts. */
  private cachingEndpoints(): readonly model.Endpoint[] {
    const tables = this.kernel.find(activeTables.ACTIVE_TABLES).current();
    const pools = tables?.pools ?? [];
    return pools
      .filter(({cachesContext}) => cachesContext !== false)
      .flatMap(({name}) => endpointNotices.willingEndpoints(this.kernel, name));
  }

  private async fetchFromEndpoint(
    {id, address, port}: model.Endpoint,
    signal: AbortSignal,
  ): Promise<void> {
    const protocol = this.kernel.find(wireProtocol.WIRE_PROTOCOL);
    const path = protocol.cachedPrefixesPath();
    const request = {address, port, path, signal};
    const result = await jsonFetch.fetchJson(request);
    if (signal.aborted) return;
    const cachedPrefixes = protocol.readCachedPrefixes(jsonOf(result));
    if (!cachedPrefixes) {
      this.logFailure(id, result);
      return;
    }
    const prefixHomes = this.kernel.find(decisions.PREFIX_HOMES);
    const longPrefixes = cachedPrefixes.filter(
      ({tokens}) => tokens >= MIN_PREFIX_TOKENS,
    );
    for (const {prefix} of longPrefixes) {
      prefixHomes.recordPlacement({prefix, endpoint: id}, this.nowMs());
    }
    this.logRecovered(id, longPrefixes.length);
  }

  private logRecovered(source: string, homes: number): void {
    this.kernel.find(core.LOGGER).info('homes_recovered', {source, homes});
  }

  private logFailure(source: string, result: jsonFetch.FetchResult): void {
    const detail =
      result.type === 'failed'
        ? result.detail
        : 'the response has an unexpected format';
    const log = this.kernel.find(core.LOGGER);
    log.info('home_recovery_failed', {source, detail});
  }

  private nowMs(): number {
    return this.kernel.find(core.CLOCK).nowMs();
  }
}

function jsonOf(result: jsonFetch.FetchResult): unknown {
  return result.type === 'json' ? result.value : undefined;
}
