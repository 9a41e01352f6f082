/**
 * The homes of crash keys, which sum up the evidence against them in a large
 * fleet. Most keys at a crash are under no other one, and every router that had
 * requests there has some; if all passed on all of them, what each sends would
 * grow with the number of routers that see the crash. So a router tells its keys
 * to their homes only: two routers in different failure domains, the same by all
 * views of the fleet. A home at which several crashes meet under a key tells all.
 */
import * as core from '@oleanderrock/core';
import * as decide from '@oleanderrock/decide';
import * as crashNotes from './crashnotes.js';
import * as datagrams from './datagrams.js';
import * as decisions from './decisions.js';

/** Tells crashes to the homes of their keys. */
export interface CrashKeyHomes {
  /** Tells the homes of crashes that this router saw. */
  tell(notes: readonly decide.CrashNote[]): void;
}

/** The contract under which the homes of crash keys are registered. */
export const CRASH_KEY_HOMES = core.contract<CrashKeyHomes>('crash-key-homes', [
  'tell',
]);

type Router = decide.FleetRouter;

/** Number of groups of keys, each with homes of its own. */
const GROUPS = 256;

/** Chooses the homes by rendezvous, and tells them by datagrams. */
export class RendezvousCrashKeyHomes implements CrashKeyHomes, core.Lifecycle {
  /** The homes by group, as chosen from the members `homesFor`. */
  private readonly homes = new Map<number, readonly Router[]>();
  private homesFor: readonly decide.MemberNote[] | undefined;

  constructor(private readonly kernel: core.Kernel) {}

  start(): Promise<void> {
    this.kernel
      .find(datagrams.DATAGRAMS)
      .onReceive('crash', bytes => this.receive(bytes));
    return Promise.resolve();
  }

  stop(): Promise<void> {
    return Promise.resolve();
  }

  tell(notes: readonly decide.CrashNote[]): void {
    const {address: ownAddress} = this.membership.self().router;
    const notesByAddress = new Map<string, decide.CrashNote[]>();
    for (const note of notes) {
      for (const [address, keys] of this.keysByAddress(note.keys)) {
        if (address === ownAddress) continue;
        const told = notesByAddress.get(address) ?? [];
        told.push(decide.withKeys(note, keys));
        notesByAddress.set(address, told);
      }
    }
    const nowMs = this.nowMs();
    const transport = this.kernel.find(datagrams.DATAGRAMS);
    for (const [address, told] of notesByAddress) {
      transport.send('crash', crashNotes.encode(told, nowMs), address);
    }
  }

  private receive(bytes: Buffer): void {
    const nowMs = this.nowMs();
    const notes = crashNotes.decode(bytes, nowMs);
    if (!notes) {
      const fields = {bytes: bytes.length};
      this.kernel.find(core.LOGGER).warn('crash_note_unreadable', fields);
      return;
    }
    const tracker = this.kernel.find(decisions.CRASH_TRACKER);
    for (const note of notes) tracker.applyReported(note, nowMs);
  }

  /** The keys by the addresses of their homes. */
  private keysByAddress(
    keys: readonly string[],
  ): ReadonlyMap<string, readonly string[]> {
    const byAddress = new Map<string, string[]>();
    for (const key of keys) {
      for (const {address} of this.homesOf(core.hash32(key) % GROUPS)) {
        const homeKeys = byAddress.get(address) ?? [];
        homeKeys.push(key);
        byAddress.set(address, homeKeys);
      }
    }
    return byAddress;
  }

  private homesOf(group: number): readonly Router[] {
    const live = this.membership.live();
    if (this.homesFor !== live) {
      this.homesFor = live;
      this.homes.clear();
    }
    const known = this.homes.get(group);
    if (known) return known;
    const ready = [this.membership.self(), ...live]
      .filter(({phase}) => phase === 'ready')
      .map(({router}) => router);
    const homes = chooseHomes(group, ready);
    this.homes.set(group, homes);
    return homes;
  }

  private get membership(): decide.FleetMembership {
    return this.kernel.find(decisions.MEMBERSHIP);
  }

  private nowMs(): number {
    return this.kernel.find(core.CLOCK).nowMs();
  }
}

/** The first by rendezvous score, and the first of the other failure domains. */
function chooseHomes(
  group: number,
  routers: readonly Router[],
): readonly Router[] {
  const first = topRouter(group, routers);
  if (!first) return [];
  const others = routers.filter(({zone}) => zone !== first.zone);
  const second = topRouter(group, others);
  return second ? [first, second] : [first];
}

function topRouter(
  group: number,
  routers: readonly Router[],
): Router | undefined {
  const names = routers.map(({name}) => name);
  const top = core.topNode(`crash keys ${group}`, names);
  return routers.find(({name}) => name === top);
}
