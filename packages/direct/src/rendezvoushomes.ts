/**
 * Homes of keys: a few routers in different failure domains to which a key is
 * told, the same by all views of the fleet.
 */
import * as core from '@oleanderrock/core';
import * as decide from '@oleanderrock/decide';
import * as decisions from './decisions.js';

type Router = decide.FleetRouter;

/** Number of groups of keys, each with homes of its own. */
const GROUPS = 256;

/** Chooses homes among the routers that are ready, by rendezvous. */
export class RendezvousHomes {
  /** The homes by group, as chosen from the members `homesFor`. */
  private readonly homes = new Map<number, readonly Router[]>();
  private homesFor: readonly decide.MemberNote[] | undefined;

  /**
   * @param label distinguishes the homes of one kind of key from others
   * @param homesPerKey number of homes, in as many failure domains
   */
  constructor(
    private readonly kernel: core.Kernel,
    private readonly label: string,
    private readonly homesPerKey: number,
  ) {}

  /** The homes of a key; this router may be one of them. */
  homesOf(key: string): readonly Router[] {
    const membership = this.kernel.find(decisions.MEMBERSHIP);
    const live = membership.live();
    if (this.homesFor !== live) {
      this.homesFor = live;
      this.homes.clear();
    }
    const group = core.hash32(key) % GROUPS;
    const known = this.homes.get(group);
    if (known) return known;
    const ready = [membership.self(), ...live]
      .filter(({phase}) => phase === 'ready')
      .map(({router}) => router);
    const homes = this.chooseHomes(group, ready);
    this.homes.set(group, homes);
    return homes;
  }

  /** The first by rendezvous score, and the first of each further failure domain. */
  private chooseHomes(
    group: number,
    routers: readonly Router[],
  ): readonly Router[] {
    const homes: Router[] = [];
    let others = routers;
    while (homes.length < this.homesPerKey) {
      const next = this.topRouter(group, others);
      if (!next) break;
      homes.push(next);
      others = others.filter(({zone}) => zone !== next.zone);
    }
    return homes;
  }

  private topRouter(
    group: number,
    routers: readonly Router[],
  ): Router | undefined {
    const names = routers.map(({name}) => name);
    const top = core.topNode(`${this.label} ${group}`, names);
    return routers.find(({name}) => name === top);
  }
}
