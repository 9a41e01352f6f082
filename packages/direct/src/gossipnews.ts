/**
 * The news that this router tells others in its digests. In a large fleet it
 * also passes on what is new to it from the digests of others.
 */
import * as core from '@oleanderrock/core';
import * as decide from '@oleanderrock/decide';
import * as crashKeyHomes from './crashkeyhomes.js';
import type * as digestCodec from './digest.js';
import * as decisions from './decisions.js';
import * as endpointRegistry from './endpointregistry.js';
import * as endpointRecords from './endpointrecords.js';
import * as fleetRegistry from './fleetregistry.js';

/** Maximum numbers of items in one digest, so that it fits a datagram. */
const MAX_MEMBERS = 12;
const MAX_PLACEMENTS = 16;
const MAX_PLACEMENTS_TO_ALL = 64;
const MAX_CRASHES = 12;
const MAX_REPEATED = 48;
const MAX_PROOFS = 16;
const MAX_FAILURES = 12;
const MAX_LIMITS = 16;
const MAX_COLD = 16;

/** Limit on the keys of the crashes in one digest; most notes have few. */
const MAX_CRASH_KEYS = 96;

/** Maximum number of items of one kind that wait to be sent. */
const MAX_QUEUED = 512;

/** Age at which a failure is no longer worth telling, in ms. */
const MAX_FAILURE_AGE_MS = 1_500;

/**
 * Number of digests that carry an item if each goes to one router. With four,
 * one in fifty routers misses it; crashes are sent more often, since a router
 * that misses them errs for longer.
 */
const SAMPLED_REPEATS = 4;
const CRASH_REPEATS = 8;

/** Number of digests that carry a crash or a proof if each goes to all. */
const CRASH_REPEATS_TO_ALL = 3;

/** Number of digests that carry a limit if each goes to all. */
const LIMIT_REPEATS_TO_ALL = 2;

/** Number of digests that carry a note about a router if each goes to all. */
const MEMBER_REPEATS_TO_ALL = 2;

/** Collects, applies and passes on news. */
export class GossipNews {
  private readonly members = new decide.BoundedRumorQueue<decide.MemberNote>(
    MAX_QUEUED,
  );
  private readonly placements =
    new decide.BoundedRumorQueue<decide.PrefixLocation>(MAX_QUEUED);
  /** Crashes that this router saw; others do not pass them on. */
  private readonly ownCrashes = new decide.BoundedRumorQueue<decide.CrashNote>(
    MAX_QUEUED,
  );
  /** Crashes under keys that several crashes have in common. */
  private readonly repeatedCrashes =
    new decide.BoundedRumorQueue<decide.CrashNote>(MAX_QUEUED);
  private readonly proofs = new decide.BoundedRumorQueue<decide.ProofNote>(
    MAX_QUEUED,
  );
  private readonly failures = new decide.BoundedRumorQueue<decide.FailureNote>(
    MAX_QUEUED,
  );
  private readonly limits = new decide.BoundedRumorQueue<decide.LimitNote>(
    MAX_QUEUED,
  );

  private readonly cold = new decide.BoundedRumorQueue<decide.ColdNote>(
    MAX_QUEUED,
  );

  constructor(private readonly kernel: core.Kernel) {}

  /**
   * Adds a note about a router to the news.
   * @param isForAll whether digests go to all routers
   */
  addMember(note: decide.MemberNote, isForAll: boolean): void {
    const repeats = isForAll ? MEMBER_REPEATS_TO_ALL : SAMPLED_REPEATS;
    this.members.add(note.router.name, note, repeats);
  }

  /**
   * The news for the next digest.
   * @param isForAll whether the digest goes to all routers
   * @param isUrgent whether it is sent outside of the rounds
   */
  collect(
    isForAll: boolean,
    nowMs: number,
    isUrgent = false,
  ): digestCodec.DigestNews {
    this.gather(isForAll, nowMs);
    const isFresh = ({observedAtMs}: decide.FailureNote) =>
      nowMs - observedAtMs < MAX_FAILURE_AGE_MS;
    return {
      endpointChanges: this.kernel
        .find(endpointRegistry.ENDPOINT_REGISTRY)
        .recentChanges(nowMs),
      crashes: this.collectCrashes(isForAll || !isUrgent),
      proofs: this.proofs.take(MAX_PROOFS),
      placements: this.placements.take(
        isForAll ? MAX_PLACEMENTS_TO_ALL : MAX_PLACEMENTS,
      ),
      failures: this.failures.take(MAX_FAILURES).filter(isFresh),
      limits: this.limits.take(MAX_LIMITS),
      cold: this.cold.take(MAX_COLD).filter(({untilMs}) => untilMs > nowMs),
      members: this.members.take(MAX_MEMBERS),
    };
  }

  /**
   * Applies the news of another router.
   * @param isPassedOn whether this router passes on what is new
   * @returns whether the news are urgent and new
   */
  apply(
    news: digestCodec.DigestNews,
    isPassedOn: boolean,
    nowMs: number,
  ): boolean {
    const areEndpointsNew = this.applyEndpointChanges(news);
    const areMembersNew = this.applyMembers(news, isPassedOn, nowMs);
    const areCrashesNew = this.applyCrashes(news, isPassedOn, nowMs);
    this.applyPlacements(news, isPassedOn, nowMs);
    const areFailuresNew = this.applyFailures(news, isPassedOn, nowMs);
    const areLimitsNew = this.applyLimits(news, isPassedOn);
    const areColdNew = this.applyCold(news, isPassedOn, nowMs);
    return (
      areEndpointsNew ||
      areMembersNew ||
      areCrashesNew ||
      areFailuresNew ||
      areLimitsNew ||
      areColdNew
    );
  }

  /**
   * What several crashes have in common goes first.
   * @param hasOwn whether crashes that this router saw follow
   */
  private collectCrashes(hasOwn: boolean): readonly decide.CrashNote[] {
    const costOf = ({keys}: decide.CrashNote) => keys.length;
    const limit = {maxCost: MAX_CRASH_KEYS, costOf};
    const repeated = this.repeatedCrashes.take(MAX_REPEATED, limit);
    const keyCount = repeated.reduce((sum, note) => sum + costOf(note), 0);
    const maxCost = MAX_CRASH_KEYS - keyCount;
    const merged = mergeNotes(repeated);
    if (!hasOwn || maxCost < decide.MAX_NOTE_KEYS) return merged;
    return [...merged, ...this.ownCrashes.take(MAX_CRASHES, {maxCost, costOf})];
  }

  /**
   * Queues what this router's own services have to tell, and tells the homes of
   * crash keys.
   */
  gather(isForAll: boolean, nowMs: number): void {
    const repeats = isForAll ? 1 : SAMPLED_REPEATS;
    for (const location of this.kernel
      .find(decisions.PREFIX_HOMES)
      .takeUnsent()) {
      this.placements.add(keyOf(location), location, repeats);
    }
    const {crashes, ownCrashes, repeated, proofs} =
      this.tracker.takeNews(nowMs);
    const crashRepeats = isForAll ? CRASH_REPEATS_TO_ALL : CRASH_REPEATS;
    for (const note of ownCrashes) {
      this.ownCrashes.add(crashNoteKey(note), note, crashRepeats);
    }
    if (!isForAll) {
      this.kernel.find(crashKeyHomes.CRASH_KEY_HOMES).tell(ownCrashes);
    }
    // In a small fleet those that saw the crashes tell all routers themselves.
    const notes = isForAll ? crashes : [...crashes, ...repeated];
    for (const note of notes) {
      this.repeatedCrashes.add(crashNoteKey(note), note, crashRepeats);
    }
    for (const note of proofs) this.proofs.add(note.key, note, crashRepeats);
    const limitRepeats = isForAll ? LIMIT_REPEATS_TO_ALL : SAMPLED_REPEATS;
    for (const note of this.kernel.find(decisions.ENDPOINT_LIMITS).takeNews()) {
      this.limits.add(note.id, note, limitRepeats);
    }
    for (const note of this.kernel.find(decisions.COLD_ENDPOINTS).takeNews()) {
      this.cold.add(note.id, note, limitRepeats);
    }
    const failures = this.kernel.find(decisions.ENDPOINT_HEALTH).takeFailures();
    // In a small fleet the counts of outcomes tell all routers the failures.
    if (isForAll) return;
    for (const note of failures) {
      this.failures.add(String(note.id), note, SAMPLED_REPEATS);
    }
  }

  private get tracker(): decide.CrashTracker {
    return this.kernel.find(decisions.CRASH_TRACKER);
  }

  private applyEndpointChanges(news: digestCodec.DigestNews): boolean {
    const endpoints = this.kernel.find(endpointRegistry.ENDPOINT_REGISTRY);
    const previousFingerprint = endpoints.fingerprint();
    for (const record of news.endpointChanges) {
      endpointRecords.applyRecord(this.kernel, record, 'router');
    }
    return endpoints.fingerprint() !== previousFingerprint;
  }

  private applyMembers(
    news: digestCodec.DigestNews,
    isPassedOn: boolean,
    nowMs: number,
  ): boolean {
    const fleet = this.kernel.find(fleetRegistry.FLEET_REGISTRY);
    let isUrgent = false;
    for (const note of news.members) {
      const ownNews = fleet.applyNote(note, nowMs);
      if (!ownNews) continue;
      this.addMember(ownNews, !isPassedOn);
      isUrgent ||= ownNews.phase === 'down' || ownNews.phase === 'leaving';
    }
    return isUrgent;
  }

  /** The proofs go first, so that none of them is older than a new crash. */
  private applyCrashes(
    news: digestCodec.DigestNews,
    isPassedOn: boolean,
    nowMs: number,
  ): boolean {
    const {tracker} = this;
    const newProofs = news.proofs.filter(note =>
      tracker.applyProof(note, nowMs),
    );
    let isUrgent = newProofs.length > 0;
    if (isPassedOn) {
      for (const note of newProofs) {
        this.proofs.add(note.key, note, CRASH_REPEATS);
      }
    }
    for (const note of news.crashes) {
      const repeated = tracker.applyCrash(note, nowMs);
      isUrgent ||= repeated.length > 0;
      if (!isPassedOn) continue;
      for (const known of repeated) {
        this.repeatedCrashes.add(crashNoteKey(known), known, CRASH_REPEATS);
      }
    }
    return isUrgent;
  }

  private applyPlacements(
    news: digestCodec.DigestNews,
    isPassedOn: boolean,
    nowMs: number,
  ): void {
    const homes = this.kernel.find(decisions.PREFIX_HOMES);
    for (const location of news.placements) {
      const isNew = homes.applyRemote(location, nowMs);
      if (!isNew || !isPassedOn) continue;
      this.placements.add(keyOf(location), location, SAMPLED_REPEATS);
    }
  }

  private applyFailures(
    news: digestCodec.DigestNews,
    isPassedOn: boolean,
    nowMs: number,
  ): boolean {
    const health = this.kernel.find(decisions.ENDPOINT_HEALTH);
    let isUrgent = false;
    for (const note of news.failures) {
      const isNew = health.applyFailure(note, nowMs);
      if (!isNew || !isPassedOn) continue;
      this.failures.add(String(note.id), note, SAMPLED_REPEATS);
      isUrgent ||= note.isUnreachable;
    }
    return isUrgent;
  }

  private applyLimits(
    news: digestCodec.DigestNews,
    isPassedOn: boolean,
  ): boolean {
    const limits = this.kernel.find(decisions.ENDPOINT_LIMITS);
    const newNotes = news.limits.filter(note => limits.applyNote(note));
    if (isPassedOn) {
      for (const note of newNotes) {
        this.limits.add(note.id, note, SAMPLED_REPEATS);
      }
    }
    return newNotes.length > 0;
  }

  private applyCold(
    news: digestCodec.DigestNews,
    isPassedOn: boolean,
    nowMs: number,
  ): boolean {
    const cold = this.kernel.find(decisions.COLD_ENDPOINTS);
    const newNotes = news.cold.filter(note => cold.applyNote(note, nowMs));
    if (isPassedOn) {
      for (const note of newNotes) {
        this.cold.add(note.id, note, SAMPLED_REPEATS);
      }
    }
    return newNotes.length > 0;
  }
}

function crashNoteKey({crash, reporter, keys}: decide.CrashNote): string {
  return `${crash} ${reporter} ${keys[0] ?? ''}`;
}

/** Joins the keys of notes of one router on one crash. */
function mergeNotes(
  notes: readonly decide.CrashNote[],
): readonly decide.CrashNote[] {
  const merged = new Map<string, decide.CrashNote>();
  const full: decide.CrashNote[] = [];
  for (const note of notes) {
    const id = `${note.crash} ${note.reporter}`;
    const others = merged.get(id);
    const keys = [...new Set([...(others?.keys ?? []), ...note.keys])];
    if (others && keys.length > decide.MAX_NOTE_KEYS) {
      full.push(others);
      merged.set(id, note);
    } else {
      merged.set(id, {...note, keys});
    }
  }
  return [...full, ...merged.values()];
}

function keyOf({prefix, endpoint}: decide.PrefixLocation): string {
  return `${prefix} ${endpoint}`;
}
