/**
 * Cold endpoints as this router knows them: from the list of endpoints and their
 * own responses, from other routers, and from what it has to expect after an
 * evacuation or an absence. Each is treated like an endpoint that names a limit
 * for all routers together, until it is warm.
 */
import * as core from '@oleanderrock/core';
import * as activeTables from './activetables.js';
import * as decisions from './decisions.js';
import * as endpointRegistry from './endpointregistry.js';
import type * as model from './model.js';

/** Knows what cold endpoints take. */
export interface ColdStarts {
  /** Whether any endpoint may be cold. */
  areAny(): boolean;
  /** Requests a second that all routers may send it; undefined once warm. */
  limitOf(endpoint: model.Endpoint): number | undefined;
  /**
   * Records how long the endpoint says that it is cold, and tells the others if
   * that is news.
   */
  recordStatement(endpoint: model.Endpoint, leftMs: number): void;
  /** Records what another router says of it, who has told all. */
  recordHearsay(endpoint: model.Endpoint, leftMs: number): void;
  /**
   * Records that the endpoints of a zone get requests again, and may be cold
   * without having said so.
   */
  recordReturn(zone: string): void;
}

/** The contract under which the cold starts are registered. */
export const COLD_STARTS = core.contract<ColdStarts>('cold-starts', [
  'areAny',
  'limitOf',
  'recordStatement',
  'recordHearsay',
  'recordReturn',
]);

/**
 * Share of what a cold endpoint takes that the fleet sends. Permits of before
 * may be used at the same moment as later ones, and a fleet that is cut in two
 * grants twice.
 */
const SENT_SHARE = 0.6;

/**
 * Time for which an endpoint stays cold beyond what was said, in ms: its clock
 * and ours need not run alike.
 */
const MARGIN_MS = 200;

/** Limits cold endpoints by what their pool takes. */
export class PooledColdStarts implements ColdStarts {
  constructor(private readonly kernel: core.Kernel) {}

  areAny(): boolean {
    return this.cold.areAny() || this.health.areAnyReturning();
  }

  limitOf(endpoint: model.Endpoint): number | undefined {
    if (!this.areAny()) return undefined;
    const nowMs = this.nowMs();
    const isCold =
      this.cold.leftMs(endpoint, nowMs) > 0 ||
      this.health.isReturning(endpoint.id, nowMs);
    const perSecond = isCold ? this.coldPerSecond(endpoint.pool) : 0;
    return perSecond > 0 ? perSecond * SENT_SHARE : undefined;
  }

  recordStatement(endpoint: model.Endpoint, leftMs: number): void {
    const {id, pool, bornMs} = endpoint;
    if (leftMs <= 0 || this.coldPerSecond(pool) <= 0) return;
    const nowMs = this.nowMs();
    const untilMs = nowMs + leftMs + MARGIN_MS;
    if (!this.cold.recordCold({id, bornMs, untilMs}, nowMs)) return;
    const forMs = Math.round(untilMs - nowMs);
    const fields = {endpoint: id, pool, for_ms: forMs};
    this.kernel.find(core.LOGGER).info('endpoint_cold', fields);
  }

  recordHearsay({id, bornMs}: model.Endpoint, leftMs: number): void {
    const nowMs = this.nowMs();
    const untilMs = nowMs + leftMs + MARGIN_MS;
    this.cold.applyNote({id, bornMs, untilMs}, nowMs);
  }

  recordReturn(zone: string): void {
    const endpoints = this.kernel.find(endpointRegistry.ENDPOINT_REGISTRY);
    const nowMs = this.nowMs();
    for (const id of endpoints.ids()) {
      const endpoint = endpoints.find(id);
      if (endpoint?.zone !== zone) continue;
      const {pool, bornMs} = endpoint;
      const warmupMs = this.tables.findPool(pool)?.warmupMs ?? 0;
      if (warmupMs <= 0 || this.coldPerSecond(pool) <= 0) continue;
      // Every router finds this by itself, so there is nothing to tell.
      const untilMs = nowMs + warmupMs + MARGIN_MS;
      this.cold.applyNote({id, bornMs, untilMs}, nowMs);
    }
  }

  private coldPerSecond(pool: string): number {
    return this.tables.findPool(pool)?.coldPerSecond ?? 0;
  }

  private get cold() {
    return this.kernel.find(decisions.COLD_ENDPOINTS);
  }

  private get health() {
    return this.kernel.find(decisions.ENDPOINT_HEALTH);
  }

  private get tables(): activeTables.ActiveTables {
    return this.kernel.find(activeTables.ACTIVE_TABLES);
  }

  private nowMs(): number {
    return this.kernel.find(core.CLOCK).nowMs();
  }
}
