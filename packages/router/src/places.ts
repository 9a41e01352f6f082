/**
 * Places at endpoints: whether an endpoint has room for a request now. Only
 * the owner of an endpoint reserves a place there; for the endpoints of other
 * owners this router makes an estimate, and their owner decides.
 */
import * as core from '@oleanderrock/core';
import type * as decide from '@oleanderrock/decide';
import type * as exchange from './exchange.js';
import * as fleet from './fleet.js';
import * as peers from './peers.js';
import * as pools from './pools.js';
import * as suspects from './suspects.js';
import * as trails from './trails.js';

/** How long an endpoint that refused for want of room is passed by. */
export const FULL_MS = 100;
/** Endpoints that a trail shows of those that a choice looked at. */
const MAX_SHOWN = 6;

/** A place at an endpoint, or the router to ask for one. */
export type Grant =
  | {readonly type: 'local'; readonly choice: decide.Choice}
  | {
      readonly type: 'remote';
      readonly choice: decide.Choice;
      readonly owner: string;
    };

/** A wish for a place. */
export interface Wish {
  readonly request: exchange.RouterRequest;
  readonly route: core.Route;
  readonly pool: core.Pool;
  readonly excluded: ReadonlySet<string>;
  /** Monotonic time until which the request may wait. */
  readonly deadlineMs: number;
  readonly gone: AbortSignal;
}

/** Places at the endpoints of all pools. */
export interface Places {
  /** The request's endpoints, the best first, with the pool's load. */
  order(wish: Wish): PlaceOrder;
  /** Takes the first place that is free. */
  choose(wish: Wish): Grant | undefined;
  /** Takes a place at one endpoint. */
  chooseAt(wish: Wish, endpoint: string): Grant | undefined;
  /** Gives a local place back. */
  release(endpoint: string): void;
  /** Notes that another router's endpoint had no room. */
  noteFull(endpoint: string): void;
  /** Notes fresh counts of another router's endpoint. */
  noteCounts(endpoint: string): void;
}

/** The order for one request. */
export interface PlaceOrder {
  readonly view: pools.PoolView;
  readonly choices: readonly decide.Choice[];
}

/** The contract under which the places are registered. */
export const PLACES = core.contract<Places>('places', [
  'choose',
  'chooseAt',
  'release',
]);

/** The contract under which the admission is registered. */
export const ADMISSION = core.contract<decide.Admission>('admission', [
  'bound',
  'admits',
]);

/** Places by the load book, the admission and the owners. */
export class OwnedPlaces implements Places {
  private readonly fullUntilMs = new Map<string, number>();
  /** Requests passed to other owners since their last counts came. */
  private readonly sent = new Map<string, number>();

  constructor(private readonly kernel: core.Kernel) {}

  order(wish: Wish): PlaceOrder {
    const source = this.kernel.find(pools.POOLS);
    const view = source.view(wish.pool);
    const choices = source.order(wish.request, view, wish.excluded);
    return {view, choices};
  }

  choose(wish: Wish): Grant | undefined {
    const {view, choices} = this.order(wish);
    const tried: decide.Choice[] = [];
    for (const choice of choices) {
      tried.push(choice);
      const grant = this.take(wish, choice, view);
      if (!grant) continue;
      this.noteChoice(wish, tried, view);
      return grant;
    }
    return undefined;
  }

  chooseAt(wish: Wish, endpoint: string): Grant | undefined {
    const {view, choices} = this.order(wish);
    const choice = choices.find(item => item.endpoint === endpoint);
    const grant = choice && this.take(wish, choice, view);
    if (grant) this.noteChoice(wish, [grant.choice], view);
    return grant;
  }

  release(endpoint: string): void {
    this.kernel.find(pools.LOADS).ended(endpoint);
    this.kernel.find(peers.PEERS).announce('load');
  }

  noteFull(endpoint: string): void {
    this.fullUntilMs.set(endpoint, this.nowMs() + FULL_MS);
  }

  noteCounts(endpoint: string): void {
    this.sent.delete(endpoint);
    this.fullUntilMs.delete(endpoint);
  }

  /** Notes the endpoints looked at, the last one taken, with their load. */
  private noteChoice(
    wish: Wish,
    tried: readonly decide.Choice[],
    view: pools.PoolView,
  ): void {
    const bound = this.kernel.find(ADMISSION).bound(view.load);
    const shown = tried.slice(-MAX_SHOWN).map(({endpoint, reason}) => {
      const known = view.candidates.find(item => item.name === endpoint);
      return `${endpoint} (${reason}, ${known?.inFlight ?? 0} in flight)`;
    });
    const skipped = tried.length - shown.length;
    const rest = skipped > 0 ? `${skipped} without room, ` : '';
    const rows = `route ${wish.route.name}, pool ${wish.pool.name}`;
    const detail = `${rows}: ${rest}${shown.join(', ')}; bound ${bound}, ${view.candidates.length} usable`;
    const taken = tried.at(-1)?.endpoint;
    const notes = this.kernel.find(trails.TRAILS);
    notes.note(wish.request.id, 'considered', detail, taken);
  }

  private take(
    wish: Wish,
    choice: decide.Choice,
    view: pools.PoolView,
  ): Grant | undefined {
    const known = this.kernel.find(fleet.FLEET);
    const [owner] = known.owners(choice.endpoint);
    if (owner === undefined) return undefined;
    if (owner === known.self()) return this.takeLocal(wish, choice, view);
    if (wish.request.target !== undefined) return undefined;
    return this.takeRemote(choice, owner, view);
  }

  private takeLocal(
    wish: Wish,
    choice: decide.Choice,
    view: pools.PoolView,
  ): Grant | undefined {
    const {endpoint} = choice;
    const book = this.kernel.find(suspects.SUSPECTS);
    const signature = suspects.sign(wish.request, wish.route);
    const verdict = book.check(signature, endpoint, this.nowMs());
    if (verdict !== 'free') return undefined;
    const loads = this.kernel.find(pools.LOADS);
    const inFlight = loads.inFlight(endpoint, this.nowMs());
    const admission = this.kernel.find(ADMISSION);
    if (!admission.admits(inFlight, view.load)) return undefined;
    loads.began(endpoint);
    this.kernel.find(peers.PEERS).announce('load');
    return {type: 'local', choice};
  }

  private takeRemote(
    choice: decide.Choice,
    owner: string,
    view: pools.PoolView,
  ): Grant | undefined {
    const {endpoint} = choice;
    if ((this.fullUntilMs.get(endpoint) ?? 0) > this.nowMs()) return undefined;
    const known = view.candidates.find(item => item.name === endpoint);
    const sent = this.sent.get(endpoint) ?? 0;
    const estimate = (known?.inFlight ?? 0) + sent;
    if (!this.kernel.find(ADMISSION).admits(estimate, view.load)) {
      return undefined;
    }
    this.sent.set(endpoint, sent + 1);
    return {type: 'remote', choice, owner};
  }

  private nowMs(): number {
    return this.kernel.find(core.CLOCK).nowMs();
  }
}
