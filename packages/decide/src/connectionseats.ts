/**
 * Seats for the connections of callers, fewer than the descriptors of the
 * process, so that own connections always find one. If all are taken, a new
 * connection takes the seat of one that has asked for nothing: of the address
 * that has most seats, the one that rests longest. After these come connections
 * on which nothing has arrived for some time, between requests or within one.
 * Connections whose request is being served keep their seats.
 */

/** A connection that has a seat. */
export interface Seat {
  /** Address of the caller. */
  readonly address: string;
  /**
   * Time since which nothing has arrived on it; undefined while a request is
   * being served.
   */
  restsSinceMs: number | undefined;
  /** Whether it has ever made a request. */
  hasAsked: boolean;
  /** Closes the connection. */
  vacate(): void;
}

/** Time for which a connection that has asked for something may rest, in ms. */
const KEPT_REST_MS = 2_000;

/** The seats of one listener. */
export class ConnectionSeats {
  private readonly seats = new Set<Seat>();
  private readonly countsByAddress = new Map<string, number>();

  constructor(private readonly limit: () => number) {}

  get taken(): number {
    return this.seats.size;
  }

  /** Takes a seat; false if all are taken and none can be vacated. */
  take(seat: Seat, nowMs: number): boolean {
    if (this.seats.size >= this.limit()) {
      const idle = this.mostIdle(nowMs);
      if (!idle) return false;
      this.leave(idle);
      idle.vacate();
    }
    this.seats.add(seat);
    this.count(seat.address, 1);
    return true;
  }

  leave(seat: Seat): void {
    if (this.seats.delete(seat)) this.count(seat.address, -1);
  }

  private count(address: string, change: number): void {
    const count = (this.countsByAddress.get(address) ?? 0) + change;
    if (count > 0) this.countsByAddress.set(address, count);
    else this.countsByAddress.delete(address);
  }

  private mostIdle(nowMs: number): Seat | undefined {
    let best: Seat | undefined;
    let bestRank = Number.NEGATIVE_INFINITY;
    for (const seat of this.seats) {
      if (seat.restsSinceMs === undefined) continue;
      const restMs = nowMs - seat.restsSinceMs;
      if (seat.hasAsked && restMs < KEPT_REST_MS) continue;
      const rank = this.rankOf(seat, restMs);
      if (rank <= bestRank) continue;
      best = seat;
      bestRank = rank;
    }
    return best;
  }

  /** Those that never asked first, then by seats of the address, then by rest. */
  private rankOf({address, hasAsked}: Seat, restMs: number): number {
    const count = this.countsByAddress.get(address) ?? 0;
    return (hasAsked ? 0 : 1e15) + count * 1e9 + Math.min(restMs, 1e9 - 1);
  }
}
