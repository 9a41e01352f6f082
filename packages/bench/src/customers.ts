/** Customers of very different size: Zipf shares, one of them hot. */
import type * as core from '@oleanderrock/core';

/** Options of the customers. */
export interface CustomerOptions {
  readonly count?: number;
  /** Share of all requests that the first customer sends. */
  readonly hotShare?: number;
  /** Exponent of the Zipf shares of the others. */
  readonly exponent?: number;
}

/** Name of the customer with the hot share. */
export const HOT_CUSTOMER = 'customer-1';

/** Customers with their shares of the requests. */
export class Customers {
  private readonly shares: ReadonlyMap<string, number>;

  constructor(options: CustomerOptions = {}) {
    const {count = 10, hotShare = 0.5, exponent = 1} = options;
    const ranks = [...Array(count - 1).keys()].map(index => index + 1);
    const weights = ranks.map(rank => 1 / rank ** exponent);
    const sum = weights.reduce((total, weight) => total + weight, 0);
    const others = weights.map(
      (weight, index) =>
        [`customer-${index + 2}`, ((1 - hotShare) * weight) / sum] as const,
    );
    this.shares = new Map([[HOT_CUSTOMER, hotShare], ...others]);
  }

  /** A customer's share of all requests. */
  share(customer: string): number {
    return this.shares.get(customer) ?? 0;
  }

  /** A customer, by the shares. */
  pick(random: core.Random): string {
    let left = random.nextFloat();
    for (const [customer, share] of this.shares) {
      left -= share;
      if (left < 0) return customer;
    }
    return HOT_CUSTOMER;
  }
}
