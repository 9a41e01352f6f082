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
import * as rendezvousHomes from './rendezvoushomes.js';

/** Tells crashes to the homes of their keys. */
export interface CrashKeyHomes {
  /** Tells the homes of crashes that this router saw. */
  tell(notes: readonly decide.CrashNote[]): void;
}

/** The contract under which the homes of crash keys are registered. */
export const CRASH_KEY_HOMES = core.contract<CrashKeyHomes>('crash-key-homes', [
  'tell',
]);

/** Homes of a key; a crash that one of them misses is told by the other. */
const HOMES_PER_KEY = 2;

/** Chooses the homes by rendezvous, and tells them by datagrams. */
export class RendezvousCrashKeyHomes implements CrashKeyHomes, core.Lifecycle {
  private readonly homes: rendezvousHomes.RendezvousHomes;

  constructor(private readonly kernel: core.Kernel) {
    this.homes = new rendezvousHomes.RendezvousHomes(
      kernel,
      'crash keys',
      HOMES_PER_KEY,
    );
  }

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
      for (const {address} of this.homes.homesOf(key)) {
        const homeKeys = byAddress.get(address) ?? [];
        homeKeys.push(key);
        byAddress.set(address, homeKeys);
      }
    }
    return byAddress;
  }

  private get membership(): decide.FleetMembership {
    return this.kernel.find(decisions.MEMBERSHIP);
  }

  private nowMs(): number {
    return this.kernel.find(core.CLOCK).nowMs();
  }
}
