/**
 * Rumors: items of news that every router passes on to a few others, so that
 * they reach the whole fleet in a number of steps that grows with its logarithm.
 * A router passes on what is new to it in a fixed number of messages and then
 * stops.
 */

/** Limit on the items of one message beside their number. */
export interface CostLimit<T> {
  readonly maxCost: number;
  costOf(item: T): number;
}

/** News to pass on in the next messages. */
export interface RumorQueue<T> {
  /**
   * Adds news for the next messages; a later item with the same key replaces
   * the earlier one.
   * @param repeats number of messages that carry the item
   */
  add(key: string, item: T, repeats: number): void;
  /**
   * The news for the next message, at most `maxItems`, and as many as the limit
   * allows, but at least one.
   */
  take(maxItems: number, limit?: CostLimit<T>): readonly T[];
  /** Number of items that are still to be sent. */
  readonly size: number;
}

interface Rumor<T> {
  readonly item: T;
  readonly sendsLeft: number;
}

/** Sends the items in rotation; if it is full, the one sent most makes room. */
export class BoundedRumorQueue<T> implements RumorQueue<T> {
  /** Items that were not sent for the longest time come first. */
  private readonly rumors = new Map<string, Rumor<T>>();
  /** The keys by the sends that are left, each set in the same order. */
  private readonly keysBySendsLeft = new Map<number, Set<string>>();

  constructor(private readonly maxItems: number) {}

  get size(): number {
    return this.rumors.size;
  }

  add(key: string, item: T, repeats: number): void {
    this.remove(key);
    if (this.rumors.size >= this.maxItems) this.evictOne();
    this.append(key, {item, sendsLeft: repeats});
  }

  take(maxItems: number, limit?: CostLimit<T>): readonly T[] {
    const batch: Array<readonly [string, Rumor<T>]> = [];
    let cost = 0;
    for (const entry of this.rumors) {
      if (batch.length >= maxItems) break;
      cost += limit?.costOf(entry[1].item) ?? 0;
      if (limit && batch.length > 0 && cost > limit.maxCost) break;
      batch.push(entry);
    }
    for (const [key, {item, sendsLeft}] of batch) {
      this.remove(key);
      // At the end of the map, so that the next message begins with the items
      // that this one left out.
      if (sendsLeft > 1) this.append(key, {item, sendsLeft: sendsLeft - 1});
    }
    return batch.map(([, {item}]) => item);
  }

  private append(key: string, rumor: Rumor<T>): void {
    this.rumors.set(key, rumor);
    const {sendsLeft} = rumor;
    const keys = this.keysBySendsLeft.get(sendsLeft);
    if (keys) keys.add(key);
    else this.keysBySendsLeft.set(sendsLeft, new Set([key]));
  }

  private remove(key: string): void {
    const rumor = this.rumors.get(key);
    if (!rumor) return;
    this.rumors.delete(key);
    const keys = this.keysBySendsLeft.get(rumor.sendsLeft);
    keys?.delete(key);
    if (keys?.size === 0) this.keysBySendsLeft.delete(rumor.sendsLeft);
  }

  private evictOne(): void {
    const fewestSends = Math.min(...this.keysBySendsLeft.keys());
    const [victim] = this.keysBySendsLeft.get(fewestSends) ?? [];
    if (victim !== undefined) this.remove(victim);
  }
}
