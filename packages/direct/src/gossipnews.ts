/**
 * The news that this router tells others in its digests. In a large fleet it
 * also passes on what is new to it from the digests of others.
 */
import * as core from '@oleanderrock/core';
import * as decide from '@oleanderrock/decide';
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
const MAX_PROOFS = 16;
const MAX_FAILURES = 12;
const MAX_LIMITS = 16;

/** Limit on the keys of the crashes in one digest; most notes have few. */
const CRASH_KEYS: decide.CostLimit<decide.CrashNote> = {
  maxCost: 96,
  costOf: ({keys}) => keys.length,
};

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
  private readonly crashes = new decide.BoundedRumorQueue<decide.CrashNote>(
    MAX_QUEUED,
  );
  private readonly proofs = new decide.BoundedRumorQueue<decide.ProofNote>(
    MAX_QUEUED,
  );
  private readonly failures = new decide.BoundedRumorQueue<decide.FailureNote>(
    MAX_QUEUED,
  );
  private readonly limits = new decide.BoundedRumorQueue<decide.LimitNote>(
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
   */
  collect(isForAll: boolean, nowMs: number): digestCodec.DigestNews {
    this.collectOwn(isForAll, nowMs);
    const isFresh = ({observedAtMs}: decide.FailureNote) =>
      nowMs - observedAtMs < MAX_FAILURE_AGE_MS;
    return {
      endpointChanges: this.kernel
        .find(endpointRegistry.ENDPOINT_REGISTRY)
        .recentChanges(nowMs),
      crashes: this.crashes.take(MAX_CRASHES, CRASH_KEYS),
      proofs: this.proofs.take(MAX_PROOFS),
      placements: this.placements.take(
        isForAll ? MAX_PLACEMENTS_TO_ALL : MAX_PLACEMENTS,
      ),
      failures: this.failures.take(MAX_FAILURES).filter(isFresh),
      limits: this.limits.take(MAX_LIMITS),
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
    return (
      areEndpointsNew ||
      areMembersNew ||
      areCrashesNew ||
      areFailuresNew ||
      areLimitsNew
    );
  }

  /** Queues what this router's own services have to tell. */
  private collectOwn(isForAll: boolean, nowMs: number): void {
    const repeats = isForAll ? 1 : SAMPLED_REPEATS;
    for (const location of this.kernel
      .find(decisions.PREFIX_HOMES)
      .takeUnsent()) {
      this.placements.add(keyOf(location), location, repeats);
    }
    const {crashes, proofs} = this.tracker.takeNews(nowMs);
    const crashRepeats = isForAll ? CRASH_REPEATS_TO_ALL : CRASH_REPEATS;
    for (const note of crashes) {
      this.crashes.add(crashNoteKey(note), note, crashRepeats);
    }
    for (const note of proofs) this.proofs.add(note.key, note, crashRepeats);
    const limitRepeats = isForAll ? LIMIT_REPEATS_TO_ALL : SAMPLED_REPEATS;
    for (const note of this.kernel.find(decisions.ENDPOINT_LIMITS).takeNews()) {
      this.limits.add(note.id, note, limitRepeats);
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
    const newCrashes = news.crashes.filter(note =>
      tracker.applyCrash(note, nowMs),
    );
    if (isPassedOn) {
      for (const note of newProofs) {
        this.proofs.add(note.key, note, CRASH_REPEATS);
      }
      for (const note of newCrashes) {
        this.crashes.add(crashNoteKey(note), note, CRASH_REPEATS);
      }
    }
    return newProofs.length + newCrashes.length > 0;
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
}

function crashNoteKey({crash, reporter, keys}: decide.CrashNote): string {
  return `${crash} ${reporter} ${keys[0] ?? ''}`;
}

function keyOf({prefix, endpoint}: decide.PrefixLocation): string {
  return `${prefix} ${endpoint}`;
}
