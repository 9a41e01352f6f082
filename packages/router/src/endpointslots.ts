/**
 * Slots: the capacity of endpoints for concurrent requests. Only the owner of
 * an endpoint reserves a slot there. For an endpoint of another owner this
 * router estimates whether a slot is free, and the owner decides.
 */
import * as core from '@oleanderrock/core';
import type * as decide from '@oleanderrock/decide';
import type * as exchange from './exchange.js';
import * as fleet from './fleet.js';
import * as digestExchange from './digestexchange.js';
import * as pools from './pools.js';
import * as suspects from './suspects.js';
import * as requestTraces from './requesttraces.js';

/** How long an endpoint that refused a request as full is skipped. */
export const FULL_HOLD_OFF_MS = 100;
/** Maximum number of considered endpoints that a trace step lists. */
const MAX_TRACED_ENDPOINTS = 6;

/** A reserved slot, or the owner that decides whether a slot is free. */
export type Reservation =
  | {readonly type: 'local'; readonly choice: decide.PlacementChoice}
  | {
      readonly type: 'remote';
      readonly choice: decide.PlacementChoice;
      readonly owner: string;
    };

/** A request for a slot. */
export interface SlotRequest {
  readonly request: exchange.RouterRequest;
  readonly route: core.Route;
  readonly pool: core.Pool;
  readonly excludedEndpoints: ReadonlySet<string>;
  /** Monotonic time until which the request may wait. */
  readonly deadlineMs: number;
  /** Aborts when the caller closes its connection. */
  readonly callerGone: AbortSignal;
}

/** Slots at the endpoints of all pools. */
export interface Slots {
  /** The pool's view, with its endpoints for the request, the best first. */
  rank(slotRequest: SlotRequest): RankedEndpoints;
  /** Reserves a slot at the best endpoint that has one free. */
  reserveFirst(slotRequest: SlotRequest): Reservation | undefined;
  /** Reserves a slot at one endpoint. */
  reserveAt(
    slotRequest: SlotRequest,
    endpoint: string,
  ): Reservation | undefined;
  /** Releases a slot at an endpoint that this router owns. */
  release(endpoint: string): void;
  /** Skips an endpoint for a short time after its owner refused a request. */
  markFull(endpoint: string): void;
  /**
   * Records the end of a request that this router sent to another owner and that
   * the owner accepted.
   */
  recordRemoteEnd(endpoint: string): void;
  /** Resets the estimate for an endpoint when its owner reports its load. */
  resetEstimate(endpoint: string): void;
}

/** A pool's view with the order of its endpoints for one request. */
export interface RankedEndpoints {
  readonly view: pools.PoolView;
  readonly choices: readonly decide.PlacementChoice[];
}

/** The contract under which the slots are registered. */
export const SLOTS = core.contract<Slots>('slots', [
  'reserveFirst',
  'reserveAt',
  'release',
]);

/** The contract under which the admission policy is registered. */
export const ADMISSION = core.contract<decide.Admission>('admission', [
  'limit',
  'admits',
]);

/** Slots that are reserved by load, admission limit and ownership. */
export class OwnerSlots implements Slots {
  /** Monotonic time until which a full endpoint of another owner is skipped. */
  private readonly fullUntilMs = new Map<string, number>();
  /**
   * Requests forwarded to each endpoint since its owner's last load report that
   * have not ended, as far as known. The report counts those before it.
   */
  private readonly sentSinceReport = new Map<string, number>();

  constructor(private readonly kernel: core.Kernel) {}

  rank(slotRequest: SlotRequest): RankedEndpoints {
    const poolViews = this.kernel.find(pools.POOLS);
    const view = poolViews.view(slotRequest.pool);
    const choices = poolViews.order(
      slotRequest.request,
      view,
      slotRequest.excludedEndpoints,
    );
    return {view, choices};
  }

  reserveFirst(slotRequest: SlotRequest): Reservation | undefined {
    const {view, choices} = this.rank(slotRequest);
    const considered: decide.PlacementChoice[] = [];
    for (const choice of choices) {
      considered.push(choice);
      const reservation = this.tryReserve(slotRequest, choice, view);
      if (!reservation) continue;
      this.traceChoice(slotRequest, considered, view);
      return reservation;
    }
    return undefined;
  }

  reserveAt(
    slotRequest: SlotRequest,
    endpoint: string,
  ): Reservation | undefined {
    const {view, choices} = this.rank(slotRequest);
    const choice = choices.find(item => item.endpoint === endpoint);
    const reservation = choice && this.tryReserve(slotRequest, choice, view);
    if (reservation) this.traceChoice(slotRequest, [reservation.choice], view);
    return reservation;
  }

  release(endpoint: string): void {
    this.kernel.find(pools.LOADS).recordEnd(endpoint);
    this.kernel.find(digestExchange.DIGEST_EXCHANGE).announce('load');
  }

  markFull(endpoint: string): void {
    this.fullUntilMs.set(endpoint, this.nowMs() + FULL_HOLD_OFF_MS);
  }

  recordRemoteEnd(endpoint: string): void {
    const sent = this.sentSinceReport.get(endpoint) ?? 0;
    this.sentSinceReport.set(endpoint, Math.max(0, sent - 1));
  }

  resetEstimate(endpoint: string): void {
    this.sentSinceReport.delete(endpoint);
    this.fullUntilMs.delete(endpoint);
  }

  /** Traces the considered endpoints and their load; the last is reserved. */
  private traceChoice(
    slotRequest: SlotRequest,
    considered: readonly decide.PlacementChoice[],
    view: pools.PoolView,
  ): void {
    const limit = this.kernel.find(ADMISSION).limit(view.load);
    const tracedEndpoints = considered
      .slice(-MAX_TRACED_ENDPOINTS)
      .map(({endpoint, reason}) => {
        const candidate = view.candidates.find(item => item.name === endpoint);
        return `${endpoint} (${reason}, ${candidate?.inFlight ?? 0} in flight)`;
      });
    const skippedCount = considered.length - tracedEndpoints.length;
    const skippedText = skippedCount > 0 ? `${skippedCount} skipped, ` : '';
    const routeAndPool = `route ${slotRequest.route.name}, pool ${slotRequest.pool.name}`;
    const detail = `${routeAndPool}: ${skippedText}${tracedEndpoints.join(', ')}; bound ${limit}, ${view.candidates.length} usable`;
    const reservedEndpoint = considered.at(-1)?.endpoint;
    const traces = this.kernel.find(requestTraces.REQUEST_TRACES);
    traces.record(
      slotRequest.request.id,
      'considered',
      detail,
      reservedEndpoint,
    );
  }

  private tryReserve(
    slotRequest: SlotRequest,
    choice: decide.PlacementChoice,
    view: pools.PoolView,
  ): Reservation | undefined {
    const fleetView = this.kernel.find(fleet.FLEET);
    const [owner] = fleetView.owners(choice.endpoint);
    if (owner === undefined) return undefined;
    if (owner === fleetView.self()) {
      return this.reserveLocal(slotRequest, choice, view);
    }
    if (slotRequest.request.targetEndpoint !== undefined) return undefined;
    return this.reserveRemote(choice, owner, view);
  }

  private reserveLocal(
    slotRequest: SlotRequest,
    choice: decide.PlacementChoice,
    view: pools.PoolView,
  ): Reservation | undefined {
    const {endpoint} = choice;
    const suspectTracker = this.kernel.find(suspects.SUSPECTS);
    const signature = suspects.signatureOf(
      slotRequest.request,
      slotRequest.route,
    );
    const verdict = suspectTracker.check(signature, endpoint, this.nowMs());
    if (verdict !== 'free') return undefined;
    const loads = this.kernel.find(pools.LOADS);
    const inFlight = loads.inFlight(endpoint, this.nowMs());
    const admission = this.kernel.find(ADMISSION);
    if (!admission.admits(inFlight, view.load)) return undefined;
    loads.recordStart(endpoint);
    this.kernel.find(digestExchange.DIGEST_EXCHANGE).announce('load');
    return {type: 'local', choice};
  }

  private reserveRemote(
    choice: decide.PlacementChoice,
    owner: string,
    view: pools.PoolView,
  ): Reservation | undefined {
    const {endpoint} = choice;
    if ((this.fullUntilMs.get(endpoint) ?? 0) > this.nowMs()) return undefined;
    const candidate = view.candidates.find(item => item.name === endpoint);
    const sent = this.sentSinceReport.get(endpoint) ?? 0;
    const estimate = (candidate?.inFlight ?? 0) + sent;
    if (!this.kernel.find(ADMISSION).admits(estimate, view.load)) {
      return undefined;
    }
    this.sentSinceReport.set(endpoint, sent + 1);
    return {type: 'remote', choice, owner};
  }

  private nowMs(): number {
    return this.kernel.find(core.CLOCK).nowMs();
  }
}
