/**
 * The fleet as this router sees it: live routers, live endpoints, and who owns
 * which endpoint. It joins the platform's lagging list with what the digests
 * tell.
 */
import * as core from '@oleanderrock/core';
import * as decide from '@oleanderrock/decide';
import type * as settings from './settings.js';
import * as platform from './platform.js';

const WATCH_MS = 10_000;
const RETRY_MS = 500;
/** Liveness changes with time; the owners are looked at again this often. */
const REFRESH_MS = 100;

/** View of routers and endpoints. */
export interface Fleet {
  /** This router's name. */
  self(): string;
  /** Whether a list has been read since the start. */
  isKnown(): boolean;
  /** Another router or an endpoint, by name. */
  find(name: string): core.Instance | undefined;
  /** All other routers on the list, also those thought gone. */
  peers(): readonly core.Instance[];
  /** Routers that may own endpoints: live and not draining. */
  routers(): readonly core.Instance[];
  /** Endpoints of a pool that are listed, not leaving and not drained. */
  members(pool: core.Pool): readonly core.Instance[];
  /** Whether the pool names the endpoint, whatever its state. */
  isMember(pool: core.Pool, endpoint: string): boolean;
  /** Every endpoint on the list, those that are leaving included. */
  endpoints(): readonly core.Instance[];
  /** The owner of an endpoint first, then those that would follow. */
  owners(endpoint: string): readonly string[];
  /** The routers that lead a task of the given name, the first in line first. */
  leaders(task: string): readonly string[];
  /** Notes whether a router drains, by its digest. */
  setDraining(router: string, isDraining: boolean): void;
  /** Notes that an endpoint said that it is leaving, or no longer says so. */
  setLeaving(endpoint: string, isLeaving: boolean): void;
  /** Notes that a connection to the router was refused. */
  refused(router: string): void;
  /** Notes that no connection to an endpoint could be made. */
  unreachable(endpoint: string): void;
  /** Whether the endpoint is leaving, by the list or by its own word. */
  isLeaving(endpoint: string): boolean;
  /** Whether the router is on the list, heard of, and not draining. */
  isLive(router: string): boolean;
  /** Changes whenever owners may have changed. */
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

/** The contract under which the membership is registered. */
export const MEMBERSHIP = core.contract<decide.Membership>('membership', [
  'heard',
  'watch',
  'isLive',
]);

/** The contract under which the ownership is registered. */
export const OWNERSHIP = core.contract<decide.Ownership>('ownership', [
  'assign',
  'leader',
]);

/** The contract under which the roster is registered. */
export const ROSTER = core.contract<decide.Roster<core.Instance>>('roster', [
  'update',
  'drop',
  'current',
]);

/** The contract under which the ejection is registered. */
export const EJECTION = core.contract<decide.Ejection>('ejection', [
  'observe',
  'usable',
  'isSettled',
]);

function site(instance: core.Instance): decide.Site {
  const {name, region, failure_domain: failureDomain} = instance;
  return {name, region, failureDomain};
}

function hasLabel(instance: core.Instance, label: string): boolean {
  const [key = '', value] = label.split('=', 2);
  return instance.labels[key] === value;
}

function isNamed(pool: core.Pool, instance: core.Instance): boolean {
  const {endpoints, endpoint_label: label} = pool;
  if (endpoints.includes(instance.name)) return true;
  return label !== undefined && hasLabel(instance, label);
}

/** The fleet by the platform's list. */
export class ListedFleet extends core.TaskService implements Fleet {
  private version = -1;
  private instances: readonly core.Instance[] = [];
  private byName = new Map<string, core.Instance>();
  private readonly draining = new Set<string>();
  private readonly leaving = new Set<string>();
  private table: decide.OwnerTable = new Map();
  private tableKey = '';
  private refreshedMs = 0;
  private isChanged = true;
  private readonly known = new Set<string>();

  constructor(
    kernel: core.Kernel,
    private readonly own: settings.Settings,
  ) {
    super(kernel, 'list');
  }

  self(): string {
    return this.own.name;
  }

  isKnown(): boolean {
    return this.version >= 0;
  }

  find(name: string): core.Instance | undefined {
    return this.byName.get(name);
  }

  peers(): readonly core.Instance[] {
    return this.instances.filter(
      item => item.kind === 'router' && item.name !== this.own.name,
    );
  }

  routers(): readonly core.Instance[] {
    return this.instances.filter(
      item => item.kind === 'router' && this.isLive(item.name),
    );
  }

  endpoints(): readonly core.Instance[] {
    return this.instances.filter(item => item.kind === 'endpoint');
  }

  members(pool: core.Pool): readonly core.Instance[] {
    const drained = pool.drained_endpoints ?? [];
    return this.endpoints().filter(
      item =>
        this.isServing(item) &&
        isNamed(pool, item) &&
        !drained.includes(item.name),
    );
  }

  isMember(pool: core.Pool, endpoint: string): boolean {
    const item = this.byName.get(endpoint);
    if (item) return isNamed(pool, item);
    return pool.endpoints.includes(endpoint);
  }

  owners(endpoint: string): readonly string[] {
    this.refresh();
    return this.table.get(endpoint) ?? [];
  }

  leaders(task: string): readonly string[] {
    const ownership = this.kernel.find(OWNERSHIP);
    return ownership.leader(task, this.routers().map(site));
  }

  setDraining(router: string, isDraining: boolean): void {
    if (isDraining === this.draining.has(router)) return;
    if (isDraining) this.draining.add(router);
    else this.draining.delete(router);
    this.isChanged = true;
  }

  setLeaving(endpoint: string, isLeaving: boolean): void {
    if (isLeaving === this.leaving.has(endpoint)) return;
    if (isLeaving) this.leaving.add(endpoint);
    else this.leaving.delete(endpoint);
    this.isChanged = true;
  }

  refused(router: string): void {
    const nowMs = this.kernel.find(core.CLOCK).nowMs();
    this.kernel.find(MEMBERSHIP).refused(router, nowMs);
    this.isChanged = true;
  }

  unreachable(endpoint: string): void {
    this.kernel.find(ROSTER).drop(endpoint);
    this.isChanged = true;
  }

  isLeaving(endpoint: string): boolean {
    const item = this.byName.get(endpoint);
    return item === undefined || !this.isServing(item);
  }

  isLive(router: string): boolean {
    const item = this.byName.get(router);
    if (!item || item.state === 'leaving') return false;
    if (this.draining.has(router)) return false;
    if (router === this.own.name) return true;
    const nowMs = this.kernel.find(core.CLOCK).nowMs();
    return this.kernel.find(MEMBERSHIP).isLive(router, nowMs);
  }

  epoch(): string {
    const names = (items: readonly core.Instance[]) =>
      items.map(item => item.name).join();
    return `${this.version}|${names(this.routers())}|${names(this.endpoints())}`;
  }

  private isServing(item: core.Instance): boolean {
    return item.state === 'live' && !this.leaving.has(item.name);
  }

  private refresh(): void {
    const nowMs = this.kernel.find(core.CLOCK).nowMs();
    const isFresh = nowMs - this.refreshedMs < REFRESH_MS;
    if (!this.isChanged && isFresh) return;
    this.isChanged = false;
    this.refreshedMs = nowMs;
    this.adoptRoster(nowMs);
    const key = this.epoch();
    if (key === this.tableKey) return;
    const ownership = this.kernel.find(OWNERSHIP);
    this.table = ownership.assign(
      this.endpoints().map(site),
      this.routers().map(site),
    );
    this.tableKey = key;
  }

  protected async run(signal: AbortSignal): Promise<void> {
    const source = this.kernel.find(platform.INSTANCE_SOURCE);
    const clock = this.kernel.find(core.CLOCK);
    const log = this.kernel.find(core.LOGGER);
    while (!signal.aborted) {
      const result = await source.watch(this.version, WATCH_MS, signal);
      if (result.ok) {
        if (result.value) this.adopt(result.value);
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

  private adopt(list: core.InstanceList): void {
    const nowMs = this.kernel.find(core.CLOCK).nowMs();
    this.kernel.find(ROSTER).update(list.instances, nowMs);
    this.version = list.version;
    this.isChanged = true;
    this.adoptRoster(nowMs);
    const log = this.kernel.find(core.LOGGER);
    log.info('list', {version: list.version, size: list.instances.length});
    this.checkSite();
    if (this.byName.get(this.own.name)?.kind === 'router') return;
    const reason = 'the list has no router of this name; it gets no endpoint';
    log.warn('not_listed', {reason});
  }

  /** Owners follow the list; a setting that differs from it is a mistake. */
  private checkSite(): void {
    const listed = this.byName.get(this.own.name);
    if (!listed) return;
    const {region, failure_domain: failureDomain} = listed;
    const isSame =
      region === this.own.region && failureDomain === this.own.failureDomain;
    if (isSame) return;
    const log = this.kernel.find(core.LOGGER);
    log.warn('site_differs', {region, failure_domain: failureDomain});
  }

  /** Takes over the roster, where it has changed. */
  private adoptRoster(nowMs: number): void {
    const instances = this.kernel.find(ROSTER).current(nowMs);
    const isSame =
      instances.length === this.instances.length &&
      instances.every((item, index) => item === this.instances[index]);
    if (isSame) return;
    this.instances = instances;
    this.byName = new Map(instances.map(item => [item.name, item]));
    const ejection = this.kernel.find(EJECTION);
    const gone = new Set(this.known);
    for (const item of instances) {
      if (item.kind !== 'endpoint') continue;
      gone.delete(item.name);
      this.known.add(item.name);
      ejection.observe(item.name, item.state === 'live', nowMs);
    }
    for (const name of gone) {
      ejection.observe(name, false, nowMs);
      this.leaving.delete(name);
      this.known.delete(name);
    }
  }
}
