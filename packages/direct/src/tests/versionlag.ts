/**
 * Test support: tables of the size of a grown site, and how long each version
 * takes until it is in force on the routers in touch.
 */
import type * as direct from '../index.js';
import * as simulatedFleet from './simulatedfleet.js';
import type * as simulatedTransfers from './simulatedtransfers.js';

/** Routers of the grown site. */
export const GROWN_ROUTERS = 141;

/** Failure domains of the grown site. */
export const GROWN_ZONES = 4;

/**
 * Costs of a small router of the grown site: measured with the flags of the
 * deploy file (0.009, 0.045 and 0.032 ms per KB), at a share of 0.227 of a core.
 */
export const SMALL_ROUTER_COSTS: simulatedTransfers.TransferCosts = {
  linkMbps: 10,
  encodeMsPerKb: 0.04,
  parseMsPerKb: 0.2,
  activateMsPerKb: 0.14,
};

/** Costs of a router of the small site: a share of 0.459 of a core. */
export const SMALL_SITE_COSTS: simulatedTransfers.TransferCosts = {
  linkMbps: 700,
  encodeMsPerKb: 0.02,
  parseMsPerKb: 0.1,
  activateMsPerKb: 0.07,
};

/** A router is in touch from this time after its start, in ms. */
const CONTACT_MS = 3_000;

const SAMPLE_MS = 20;
const CUSTOMERS = 24;
const KEYS_PER_CUSTOMER = 4;
const SERVICES = 9;

/** Tables of a grown site; `withdrawnKeys` customers have lost their keys. */
export function grownTables(
  version: number,
  routes: number,
  withdrawnKeys = 0,
): direct.Tables {
  const customers = [...Array(CUSTOMERS).keys()].map(index => ({
    name: `customer-${index}`,
    keys: [...Array(index < withdrawnKeys ? 0 : KEYS_PER_CUSTOMER).keys()].map(
      key => `n2ctnfzs989anu6wsj${index}-${key}`,
    ),
    priority: index % 5,
  }));
  return {
    version,
    routes: [...Array(routes).keys()].map(index => grownRoute(index, version)),
    pools: [...Array(SERVICES).keys()].map(index => ({name: `pool-${index}`})),
    customers,
    limits: {maxBodyBytes: 1_000_000, idleMs: 8_000},
  };
}

/** A route; only the first depends on the version. */
function grownRoute(index: number, version: number): direct.Route {
  return {
    name: `route-${index}`,
    host: `h${index % 7}abcd.example`,
    pathPrefix: `/service${index}/abcd/`,
    pools: [{name: `pool-${index % SERVICES}`, weight: 1}],
    repeat: 'stream',
    isResumable: true,
    maxRuns: 3,
    timeoutMs: index === 0 ? 10_000 + version : 12_004,
    goalMs: 2_100,
    priority: index % 5,
    isPublic: false,
  };
}

/** What the routers of a fleet did with the versions. */
export interface LagReport {
  /**
   * Longest time from a version's confirmation until it is in force on a router
   * that is in touch, in ms.
   */
  readonly longestLagMs: number;
  /** Routers in touch that were late by the limit at any time. */
  readonly lateRouters: number;
  /** Largest number of versions that a router in touch was behind. */
  readonly versionsBehind: number;
  readonly fetches: number;
  readonly failedFetches: number;
  /** Largest number of whole tables that one router served. */
  readonly wholeTablesOfOne: number;
  /** Most MB that one router served. */
  readonly servedMbOfOne: number;
}

/** Watches the versions in force in a fleet. */
export class LagWatch {
  private readonly putMs = new Map<number, number>();
  private readonly startedMs = new Map<
    simulatedFleet.SimulatedRouter,
    number
  >();
  private readonly seen = new Set<simulatedFleet.SimulatedRouter>();
  private readonly lateNames = new Set<string>();
  private longestLagMs = 0;
  private versionsBehind = 0;

  constructor(
    private readonly fleet: simulatedFleet.SimulatedFleet,
    private readonly limitMs: number,
  ) {
    for (const router of fleet.routers) {
      Object.assign(router.transfers, {
        fetches: 0,
        failedFetches: 0,
        servedWholeTables: 0,
        servedBytes: 0,
        requestBytes: 0,
      });
      this.seen.add(router);
    }
  }

  put(tables: direct.Tables): void {
    this.putMs.set(tables.version, this.fleet.clock.nowMs());
    this.fleet.putConfig(tables);
  }

  /** Counts the time of a version from now. */
  putNow(version: number): void {
    this.putMs.set(version, this.fleet.clock.nowMs());
  }

  /** Ends and starts a router, which is in touch some time later. */
  restart(router: simulatedFleet.SimulatedRouter): void {
    this.fleet.kill(router);
    const successor = this.fleet.restart(router);
    this.seen.add(successor);
    this.startedMs.set(successor, this.fleet.clock.nowMs());
  }

  async advance(durationMs: number): Promise<void> {
    const endMs = this.fleet.clock.nowMs() + durationMs;
    while (this.fleet.clock.nowMs() < endMs) {
      const leftMs = endMs - this.fleet.clock.nowMs();
      await this.fleet.clock.advance(Math.min(SAMPLE_MS, leftMs));
      this.sample();
    }
  }

  /** Advances until all routers in touch have the newest version. */
  async settle(maxMs: number): Promise<void> {
    const endMs = this.fleet.clock.nowMs() + maxMs;
    const newest = Math.max(...this.putMs.keys());
    const isSettled = () =>
      this.fleet
        .running()
        .every(router => this.fleet.version(router) === newest);
    while (!isSettled() && this.fleet.clock.nowMs() < endMs) {
      await this.advance(SAMPLE_MS);
    }
  }

  report(): LagReport {
    const counters = [...this.seen].map(({transfers}) => transfers);
    const total = (name: 'fetches' | 'failedFetches') =>
      counters.reduce((sum, each) => sum + each[name], 0);
    return {
      longestLagMs: this.longestLagMs,
      lateRouters: this.lateNames.size,
      versionsBehind: this.versionsBehind,
      fetches: total('fetches'),
      failedFetches: total('failedFetches'),
      wholeTablesOfOne: Math.max(
        ...counters.map(({servedWholeTables}) => servedWholeTables),
      ),
      servedMbOfOne: Math.max(
        ...counters.map(({servedBytes}) => servedBytes / 1_000_000),
      ),
    };
  }

  private sample(): void {
    const nowMs = this.fleet.clock.nowMs();
    for (const router of this.fleet.running()) {
      const startedMs = this.startedMs.get(router) ?? Number.NEGATIVE_INFINITY;
      if (nowMs - startedMs < CONTACT_MS) continue;
      const version = this.fleet.version(router);
      const missing = [...this.putMs].filter(([put]) => put > version);
      this.versionsBehind = Math.max(this.versionsBehind, missing.length);
      for (const [, putMs] of missing) {
        const lagMs = nowMs - putMs;
        this.longestLagMs = Math.max(this.longestLagMs, lagMs);
        if (lagMs > this.limitMs) this.lateNames.add(router.name);
      }
    }
  }
}
