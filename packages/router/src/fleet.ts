/**
 * This router's view of the fleet: live routers, live endpoints, and which
 * router owns each endpoint. It combines the platform's instance list, which
 * lags, with the state in the routers' digests.
 */
import * as core from '@oleanderrock/core';
import * as decide from '@oleanderrock/decide';
import type * as settings from './settings.js';
import * as platform from './platform.js';

const WATCH_TIMEOUT_MS = 10_000;
const RETRY_MS = 500;
/** Maximum age of the computed owners: a router can time out at any time. */
const REFRESH_MS = 100;

/** View of routers and endpoints. */
export interface Fleet {
  /** This router's name. */
  self(): string;
  /** Whether an instance list has been received since the start. */
  hasInstanceList(): boolean;
  /** Finds a listed router or endpoint by name. */
  find(name: string): core.Instance | undefined;
  /** All other listed routers, including those considered down. */
  peers(): readonly core.Instance[];
  /** Routers that may own endpoints: live and not draining, self included. */
  liveRouters(): readonly core.Instance[];
  /** Listed endpoints of a pool that are neither leaving nor drained. */
  members(pool: core.Pool): readonly core.Instance[];
  /** Whether the pool selects the endpoint, whatever the endpoint's state. */
  isMember(pool: core.Pool, endpoint: string): boolean;
  /** All listed endpoints, including those that are leaving. */
  endpoints(): readonly core.Instance[];
  /** The owner of an endpoint, followed by its successors in order. */
  owners(endpoint: string): readonly string[];
  /** Routers ranked as leaders of the named task; the first one leads it. */
  leaders(task: string): readonly string[];
  /** Records whether a router reports that it is draining. */
  setDraining(router: string, isDraining: boolean): void;
  /** Records whether an endpoint reports that it is leaving. */
  setLeaving(endpoint: string, isLeaving: boolean): void;
  /** Records that a router refused a connection. */
  recordRefusal(router: string): void;
  /** Records that an endpoint could not be connected to. */
  recordUnreachable(endpoint: string): void;
  /** Whether the endpoint is unlisted, or leaving by the list or its report. */
  isLeaving(endpoint: string): boolean;
  /** Whether the router is listed, not down and not draining. */
  isLive(router: string): boolean;
  /** Key of the inputs of ownership; changes whenever owners may change. */
  epoch(): string;
}

/** The contract under which the fleet is registered. */
export const FLEET = core.contract<Fleet>('fleet', [
  'self',
  'find',
  'members',
  'owners',
  'leaders',
  'epoch',
]);

/** The contract under which the router membership is registered. */
export const MEMBERSHIP = core.contract<decide.Membership>('membership', [
  'recordDigest',
  'watch',
  'isLive',
]);

/** The contract under which the ownership strategy is registered. */
export const OWNERSHIP = core.contract<decide.Ownership>('ownership', [
  'assign',
  'rankLeaders',
]);

/** The contract under which the roster is registered. */
export const ROSTER = core.contract<decide.Roster<core.Instance>>('roster', [
  'update',
  'drop',
  'currentInstances',
]);

/** The contract under which the ejection of failing endpoints is registered. */
export const EJECTION = core.contract<decide.Ejection>('ejection', [
  'observe',
  'filterUsable',
  'isSettled',
]);

function toSite(instance: core.Instance): decide.Site {
  const {name, region, failure_domain: failureDomain} = instance;
  return {name, region, failureDomain};
}

function hasLabel(instance: core.Instance, label: string): boolean {
  const [key = '', value] = label.split('=', 2);
  return instance.labels[key] === value;
}

function selects(pool: core.Pool, instance: core.Instance): boolean {
  const {endpoints, endpoint_label: label} = pool;
  if (endpoints.includes(instance.name)) return true;
  return label !== undefined && hasLabel(instance, label);
}

/** Fleet view that follows the platform's instance list. */
export class PlatformFleet extends core.TaskService implements Fleet {
  private listVersion = -1;
  private instances: readonly core.Instance[] = [];
  private byName = new Map<string, core.Instance>();
  private readonly drainingRouters = new Set<string>();
  private readonly leavingEndpoints = new Set<string>();
  private ownerTable: decide.OwnerTable = new Map();
  private ownerTableEpoch = '';
  private refreshedMs = 0;
  private needsRefresh = true;
  private readonly observedEndpoints = new Set<string>();

  constructor(
    kernel: core.Kernel,
    private readonly routerSettings: settings.Settings,
  ) {
    super(kernel, 'instance list');
  }

  self(): string {
    return this.routerSettings.name;
  }

  hasInstanceList(): boolean {
    return this.listVersion >= 0;
  }

  find(name: string): core.Instance | undefined {
    return this.byName.get(name);
  }

  peers(): readonly core.Instance[] {
    return this.instances.filter(
      item => item.kind === 'router' && item.name !== this.routerSettings.name,
    );
  }

  liveRouters(): readonly core.Instance[] {
    return this.instances.filter(
      item => item.kind === 'router' && this.isLive(item.name),
    );
  }

  endpoints(): readonly core.Instance[] {
    return this.instances.filter(item => item.kind === 'endpoint');
  }

  members(pool: core.Pool): readonly core.Instance[] {
    const drainedNames = pool.drained_endpoints ?? [];
    return this.endpoints().filter(
      item =>
        this.isServing(item) &&
        selects(pool, item) &&
        !drainedNames.includes(item.name),
    );
  }

  isMember(pool: core.Pool, endpoint: string): boolean {
    const instance = this.byName.get(endpoint);
    if (instance) return selects(pool, instance);
    return pool.endpoints.includes(endpoint);
  }

  owners(endpoint: string): readonly string[] {
    this.refreshOwners();
    return this.ownerTable.get(endpoint) ?? [];
  }

  leaders(task: string): readonly string[] {
    const ownership = this.kernel.find(OWNERSHIP);
    return ownership.rankLeaders(task, this.liveRouters().map(toSite));
  }

  setDraining(router: string, isDraining: boolean): void {
    if (isDraining === this.drainingRouters.has(router)) return;
    if (isDraining) this.drainingRouters.add(router);
    else this.drainingRouters.delete(router);
    this.needsRefresh = true;
  }

  setLeaving(endpoint: string, isLeaving: boolean): void {
    if (isLeaving === this.leavingEndpoints.has(endpoint)) return;
    if (isLeaving) this.leavingEndpoints.add(endpoint);
    else this.leavingEndpoints.delete(endpoint);
    this.needsRefresh = true;
  }

  recordRefusal(router: string): void {
    const nowMs = this.kernel.find(core.CLOCK).nowMs();
    this.kernel.find(MEMBERSHIP).recordRefusal(router, nowMs);
    this.needsRefresh = true;
  }

  recordUnreachable(endpoint: string): void {
    this.kernel.find(ROSTER).drop(endpoint);
    this.needsRefresh = true;
  }

  isLeaving(endpoint: string): boolean {
    const instance = this.byName.get(endpoint);
    return instance === undefined || !this.isServing(instance);
  }

  isLive(router: string): boolean {
    const instance = this.byName.get(router);
    if (!instance || instance.state === 'leaving') return false;
    if (this.drainingRouters.has(router)) return false;
    if (router === this.routerSettings.name) return true;
    const nowMs = this.kernel.find(core.CLOCK).nowMs();
    return this.kernel.find(MEMBERSHIP).isLive(router, nowMs);
  }

  epoch(): string {
    const joinNames = (items: readonly core.Instance[]) =>
      items.map(item => item.name).join();
    return `${this.listVersion}|${joinNames(this.liveRouters())}|${joinNames(this.endpoints())}`;
  }

  private isServing(item: core.Instance): boolean {
    return item.state === 'live' && !this.leavingEndpoints.has(item.name);
  }

  private refreshOwners(): void {
    const nowMs = this.kernel.find(core.CLOCK).nowMs();
    const isFresh = nowMs - this.refreshedMs < REFRESH_MS;
    if (!this.needsRefresh && isFresh) return;
    this.needsRefresh = false;
    this.refreshedMs = nowMs;
    this.applyRoster(nowMs);
    const epoch = this.epoch();
    if (epoch === this.ownerTableEpoch) return;
    const ownership = this.kernel.find(OWNERSHIP);
    this.ownerTable = ownership.assign(
      this.endpoints().map(toSite),
      this.liveRouters().map(toSite),
    );
    this.ownerTableEpoch = epoch;
  }

  protected async run(signal: AbortSignal): Promise<void> {
    const source = this.kernel.find(platform.INSTANCE_SOURCE);
    const clock = this.kernel.find(core.CLOCK);
    const log = this.kernel.find(core.LOGGER);
    while (!signal.aborted) {
      const result = await source.watch(
        this.listVersion,
        WATCH_TIMEOUT_MS,
        signal,
      );
      if (result.ok) {
        if (result.value) this.applyList(result.value);
        continue;
      }
      if (signal.aborted) return;
      log.warn('list_unavailable', {
        reason: result.failure.detail,
        retry_ms: RETRY_MS,
      });
      await clock.sleep(RETRY_MS, signal);
    }
  }

  private applyList(list: core.InstanceList): void {
    const nowMs = this.kernel.find(core.CLOCK).nowMs();
    this.kernel.find(ROSTER).update(list.instances, nowMs);
    this.listVersion = list.version;
    this.needsRefresh = true;
    this.applyRoster(nowMs);
    const log = this.kernel.find(core.LOGGER);
    log.info('list', {version: list.version, size: list.instances.length});
    this.warnIfSiteDiffers();
    if (this.byName.get(this.routerSettings.name)?.kind === 'router') return;
    const reason =
      'the instance list has no router of this name; it will own no endpoint';
    log.warn('not_listed', {reason});
  }

  /**
   * Ownership uses region and failure domain of the list, so a setting that
   * differs from the list is a configuration error.
   */
  private warnIfSiteDiffers(): void {
    const instance = this.byName.get(this.routerSettings.name);
    if (!instance) return;
    const {region, failure_domain: failureDomain} = instance;
    const isSame =
      region === this.routerSettings.region &&
      failureDomain === this.routerSettings.failureDomain;
    if (isSame) return;
    const log = this.kernel.find(core.LOGGER);
    log.warn('site_differs', {region, failure_domain: failureDomain});
  }

  /** Applies the roster's current instances, if they changed. */
  private applyRoster(nowMs: number): void {
    const instances = this.kernel.find(ROSTER).currentInstances(nowMs);
    const isSame =
      instances.length === this.instances.length &&
      instances.every((item, index) => item === this.instances[index]);
    if (isSame) return;
    this.instances = instances;
    this.byName = new Map(instances.map(item => [item.name, item]));
    const ejection = this.kernel.find(EJECTION);
    const vanishedNames = new Set(this.observedEndpoints);
    for (const item of instances) {
      if (item.kind !== 'endpoint') continue;
      vanishedNames.delete(item.name);
      this.observedEndpoints.add(item.name);
      ejection.observe(item.name, item.state === 'live', nowMs);
    }
    for (const name of vanishedNames) {
      ejection.observe(name, false, nowMs);
      this.leavingEndpoints.delete(name);
      this.observedEndpoints.delete(name);
    }
  }
}
