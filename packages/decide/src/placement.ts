/**
 * Placement: in which order a request tries the endpoints of its pool.
 */
import * as core from '@oleanderrock/core';
import type * as memory from './memory.js';

/** What placement may know of a request. */
export interface PlacementRequest {
  readonly requestId: string;
  /** The chat that the request continues; absent for calls without one. */
  readonly chat?: string;
}

/** An endpoint that could take the request. */
export interface Candidate {
  readonly name: string;
  /** Requests in flight, exact for owned endpoints, else the newest known. */
  readonly inFlight: number;
  /** False while the endpoint has come back too recently to be a home. */
  readonly isSettled: boolean;
}

/** Why an endpoint stands where it does in the order. */
export type PlacementReason =
  'memory' | 'home' | 'next' | 'least_load' | 'turn';

/** One endpoint of the order, with the reason for its place. */
export interface Choice {
  readonly endpoint: string;
  readonly reason: PlacementReason;
}

/** Strategy that orders the endpoints for a request. */
export interface Placement {
  /** All candidates, the best first. */
  order(
    request: PlacementRequest,
    candidates: readonly Candidate[],
  ): readonly Choice[];
}

/** What a rendezvous placement is made with. */
export interface RendezvousPlacementOptions {
  /** Where chats were last served, asked first. */
  readonly memory: memory.ChatMemory;
}

/**
 * Sends a chat back to where it was served last, else to its home by
 * rendezvous; a call without a chat goes to the least loaded endpoint.
 */
export class RendezvousPlacement implements Placement {
  private readonly memory: memory.ChatMemory;

  constructor(options: RendezvousPlacementOptions) {
    this.memory = options.memory;
  }

  order(
    request: PlacementRequest,
    candidates: readonly Candidate[],
  ): readonly Choice[] {
    if (request.chat === undefined) {
      return byLoad(request.requestId, candidates);
    }
    const homes = byChat(request.chat, candidates);
    const last = this.memory.recall(request.chat);
    const isCandidate = last !== undefined && homes.includes(last);
    return isCandidate ? recalledFirst(last, homes) : homesFirst(homes);
  }
}

function byLoad(key: string, candidates: readonly Candidate[]): Choice[] {
  const scored = candidates.map(candidate => ({
    endpoint: candidate.name,
    inFlight: candidate.inFlight,
    score: core.score(key, candidate.name),
  }));
  scored.sort(
    (a, b) =>
      a.inFlight - b.inFlight ||
      b.score - a.score ||
      (a.endpoint < b.endpoint ? -1 : 1),
  );
  return scored.map(({endpoint}) => ({endpoint, reason: 'least_load'}));
}

/** A chat's endpoints by rendezvous, those that may be a home first. */
function byChat(chat: string, candidates: readonly Candidate[]): string[] {
  const names = (isSettled: boolean) =>
    candidates
      .filter(candidate => candidate.isSettled === isSettled)
      .map(candidate => candidate.name);
  return [...core.rank(chat, names(true)), ...core.rank(chat, names(false))];
}

function homesFirst(homes: readonly string[]): Choice[] {
  return homes.map((endpoint, index) => ({
    endpoint,
    reason: index === 0 ? 'home' : 'next',
  }));
}

function recalledFirst(last: string, homes: readonly string[]): Choice[] {
  const others = homesFirst(homes).filter(choice => choice.endpoint !== last);
  return [{endpoint: last, reason: 'memory'}, ...others];
}

/** Takes the endpoints in turn, as each router does on its own. */
export class NaivePlacement implements Placement {
  private turn = 0;

  order(
    request: PlacementRequest,
    candidates: readonly Candidate[],
  ): readonly Choice[] {
    if (candidates.length === 0) return [];
    const start = this.turn++ % candidates.length;
    const turned = [...candidates.slice(start), ...candidates.slice(0, start)];
    return turned.map(({name}) => ({endpoint: name, reason: 'turn'}));
  }
}
