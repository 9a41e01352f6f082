/**
 * Placement: the order in which a request tries the endpoints of its pool.
 */
import * as core from '@oleanderrock/core';
import type * as memory from './memory.js';

/** The parts of a request that placement uses. */
export interface PlacementRequest {
  readonly requestId: string;
  /** The chat that the request continues; absent for calls without one. */
  readonly chat?: string;
}

/** An endpoint that could take the request. */
export interface Candidate {
  readonly name: string;
  /** Requests in flight: exact for owned endpoints, else the last received. */
  readonly inFlight: number;
  /** False if the endpoint returned too recently to become a chat's home. */
  readonly isSettled: boolean;
}

/** Why an endpoint has its rank in the order. */
export type PlacementReason =
  /** It last served the chat. */
  | 'memory'
  /** It is the chat's home, which ranks first by rendezvous score. */
  | 'home'
  /** It follows the home by rendezvous score. */
  | 'next'
  /** Its rank is by load. */
  | 'least_load'
  /** Its rank is by round robin. */
  | 'turn';

/** One endpoint of the order, with the reason for its rank. */
export interface PlacementChoice {
  readonly endpoint: string;
  readonly reason: PlacementReason;
}

/** Strategy that orders the endpoints for a request. */
export interface Placement {
  /** All candidates, in the order in which to try them. */
  order(
    request: PlacementRequest,
    candidates: readonly Candidate[],
  ): readonly PlacementChoice[];
}

/** Options of `RendezvousPlacement`. */
export interface RendezvousPlacementOptions {
  /** Endpoint that last served each chat; it precedes the chat's home. */
  readonly memory: memory.ChatMemory;
}

/**
 * Sends a chat to the endpoint that last served it, else to its home by
 * rendezvous hashing; a call without a chat goes to the least loaded endpoint.
 */
export class RendezvousPlacement implements Placement {
  private readonly memory: memory.ChatMemory;

  constructor(options: RendezvousPlacementOptions) {
    this.memory = options.memory;
  }

  order(
    request: PlacementRequest,
    candidates: readonly Candidate[],
  ): readonly PlacementChoice[] {
    if (request.chat === undefined) {
      return rankByLoad(request.requestId, candidates);
    }
    const ranked = rankByChat(request.chat, candidates);
    const lastEndpoint = this.memory.recall(request.chat);
    const isCandidate =
      lastEndpoint !== undefined && ranked.includes(lastEndpoint);
    return isCandidate ? putFirst(lastEndpoint, ranked) : toChoices(ranked);
  }
}

function rankByLoad(
  key: string,
  candidates: readonly Candidate[],
): PlacementChoice[] {
  const scored = candidates.map(candidate => ({
    endpoint: candidate.name,
    inFlight: candidate.inFlight,
    score: core.rendezvousScore(key, candidate.name),
  }));
  scored.sort(
    (a, b) =>
      a.inFlight - b.inFlight ||
      b.score - a.score ||
      (a.endpoint < b.endpoint ? -1 : 1),
  );
  return scored.map(({endpoint}) => ({endpoint, reason: 'least_load'}));
}

/** Endpoints by rendezvous score for the chat, with settled ones first. */
function rankByChat(chat: string, candidates: readonly Candidate[]): string[] {
  const names = (isSettled: boolean) =>
    candidates
      .filter(candidate => candidate.isSettled === isSettled)
      .map(candidate => candidate.name);
  return [
    ...core.rankNodes(chat, names(true)),
    ...core.rankNodes(chat, names(false)),
  ];
}

function toChoices(ranked: readonly string[]): PlacementChoice[] {
  return ranked.map((endpoint, index) => ({
    endpoint,
    reason: index === 0 ? 'home' : 'next',
  }));
}

function putFirst(
  lastEndpoint: string,
  ranked: readonly string[],
): PlacementChoice[] {
  const others = toChoices(ranked).filter(
    choice => choice.endpoint !== lastEndpoint,
  );
  return [{endpoint: lastEndpoint, reason: 'memory'}, ...others];
}

/** Baseline: round robin over the endpoints, separately at each router. */
export class NaivePlacement implements Placement {
  private nextStart = 0;

  order(
    request: PlacementRequest,
    candidates: readonly Candidate[],
  ): readonly PlacementChoice[] {
    if (candidates.length === 0) return [];
    const start = this.nextStart++ % candidates.length;
    const rotated = [...candidates.slice(start), ...candidates.slice(0, start)];
    return rotated.map(({name}) => ({endpoint: name, reason: 'turn'}));
  }
}
