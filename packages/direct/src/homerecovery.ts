/**
 * Recovery of homes: a router that starts takes the homes of prefixes from one
 * that has run for longer. Where the whole fleet starts anew, the endpoints
 * themselves say what they hold; each is asked by one router, which tells the
 * others.
 */
import * as core from '@oleanderrock/core';
import * as v from 'valibot';
import * as decisions from './decisions.js';
import * as dialects from './dialect.js';
import * as endpointBook from './endpointbook.js';
import * as fleetBook from './fleetbook.js';
import * as jsonFetch from './jsonfetch.js';
import * as lifecycle from './lifecycle.js';
import type * as model from './model.js';
import type * as settings from './settings.js';
import * as tablesBook from './tablesbook.js';

/** Path at which routers hand out the homes that they know. */
export const HOMES_PATH = '/homes';

/** Schema of the answer: prefixes with the endpoints that hold them. */
export const homesSchema = v.array(v.tuple([v.string(), v.string()]));

/** Pause between looks whether this router is ready, in ms. */
const LOOK_MS = 50;

/** Time from readiness until the others have told of themselves, in ms. */
const INTRODUCTION_MS = 300;

/** How much longer another router must have run to know more homes, in s. */
const DONOR_LEAD_S = 3;

/** Routers that are asked one after the other before that is given up. */
const MAX_DONORS = 3;

/**
 * Tokens from which on a part of a prompt is worth a note: shorter ones are
 * read in a few ms, and there are many that belong to one request alone.
 */
const MIN_TOKENS = 500;

/** The contract under which the recovery is registered. */
export const HOME_RECOVERY = core.contract<core.Lifecycle>('home-recovery', [
  'start',
]);

/** Recovers homes once, at the start. */
export class HomeRecovery extends core.TaskService {
  constructor(
    kernel: core.Kernel,
    private readonly own: settings.Settings,
  ) {
    super(kernel, 'home_recovery');
  }

  protected async run(signal: AbortSignal): Promise<void> {
    const clock = this.kernel.find(core.CLOCK);
    const life = this.kernel.find(lifecycle.LIFE);
    while (life.phase() === 'starting') {
      await clock.sleep(LOOK_MS, signal);
      if (signal.aborted) return;
    }
    await clock.sleep(INTRODUCTION_MS, signal);
    if (signal.aborted) return;
    const donors = this.donors();
    if (donors.length > 0) await this.askDonors(donors, signal);
    else if (!this.own.isFirstStart) await this.askEndpoints(signal);
  }

  /**
   * Routers that have run for longer, those of the own failure domain first, in
   * an order of its own for each router that asks.
   */
  private donors(): readonly model.Router[] {
    const fleet = this.kernel.find(fleetBook.FLEET_BOOK);
    const upS = this.kernel.find(lifecycle.LIFE).upS();
    const {name, zone} = fleet.self();
    const older = fleet
      .live(this.nowMs())
      .filter(({standing}) => (standing?.upS ?? 0) >= upS + DONOR_LEAD_S)
      .map(({router}) => router);
    const ranked = core
      .rank(
        name,
        older.map(router => router.name),
      )
      .map(other => older.find(router => router.name === other)!);
    const near = ranked.filter(router => router.zone === zone);
    const far = ranked.filter(router => router.zone !== zone);
    return [...near, ...far].slice(0, MAX_DONORS);
  }

  private async askDonors(
    donors: readonly model.Router[],
    signal: AbortSignal,
  ): Promise<void> {
    for (const {name, address} of donors) {
      const port = this.own.peerPort;
      const request = {address, port, path: HOMES_PATH, signal};
      const fetched = await jsonFetch.fetchJson(request);
      if (signal.aborted) return;
      const homes = v.safeParse(homesSchema, valueOf(fetched));
      if (homes.success) {
        this.learn(name, homes.output);
        return;
      }
      this.report(name, fetched);
    }
  }

  private learn(
    source: string,
    homes: v.InferOutput<typeof homesSchema>,
  ): void {
    const known = this.kernel.find(decisions.HOMES);
    for (const [prefix, endpoint] of homes) {
      known.learn({prefix, endpoint}, this.nowMs());
    }
    this.note(source, homes.length);
  }

  /** Asks the endpoints for which this router ranks first among the live. */
  private async askEndpoints(signal: AbortSignal): Promise<void> {
    const fleet = this.kernel.find(fleetBook.FLEET_BOOK);
    const {name} = fleet.self();
    const live = fleet.live(this.nowMs()).map(({router}) => router.name);
    const mine = this.holders().filter(
      ({id}) => core.best(id, [name, ...live]) === name,
    );
    await Promise.all(mine.map(endpoint => this.askEndpoint(endpoint, signal)));
  }

  /** Endpoints of pools that hold context. */
  private holders(): readonly model.Endpoint[] {
    const book = this.kernel.find(endpointBook.ENDPOINT_BOOK);
    const tables = this.kernel.find(tablesBook.TABLES_BOOK).current();
    return (tables?.pools ?? []).flatMap(({name}) => book.ready(name));
  }

  private async askEndpoint(
    {id, address, port}: model.Endpoint,
    signal: AbortSignal,
  ): Promise<void> {
    const dialect = this.kernel.find(dialects.DIALECT);
    const path = dialect.contextsPath();
    const request = {address, port, path, signal};
    const fetched = await jsonFetch.fetchJson(request);
    if (signal.aborted) return;
    const held = dialect.readContexts(valueOf(fetched));
    if (!held) {
      this.report(id, fetched);
      return;
    }
    const known = this.kernel.find(decisions.HOMES);
    const worth = held.filter(({tokens}) => tokens >= MIN_TOKENS);
    for (const {prefix} of worth) {
      known.placed({prefix, endpoint: id}, this.nowMs());
    }
    this.note(id, worth.length);
  }

  private note(source: string, homes: number): void {
    this.kernel.find(core.LOGGER).info('homes_recovered', {source, homes});
  }

  private report(source: string, fetched: jsonFetch.Fetched): void {
    const detail =
      fetched.type === 'failed' ? fetched.detail : 'it cannot be read';
    const log = this.kernel.find(core.LOGGER);
    log.info('home_recovery_failed', {source, detail});
  }

  private nowMs(): number {
    return this.kernel.find(core.CLOCK).nowMs();
  }
}

function valueOf(fetched: jsonFetch.Fetched): unknown {
  return fetched.type === 'json' ? fetched.value : undefined;
}
