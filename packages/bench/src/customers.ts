/** Distribution of requests over customers: one hot, Zipf for the others. */
import type * as core from '@oleanderrock/core';

/** Options of the distribution. */
export interface CustomerShareOptions {
  readonly count?: number;
  /** Share of all requests that the first customer sends. */
  readonly hotShare?: number;
  /** Exponent of the Zipf shares of the others. */
  readonly exponent?: number;
}

/** Name of the customer with the hot share. */
export const HOT_CUSTOMER = 'customer-1';

/** The customers with their shares of all requests. */
export class CustomerShares {
  private readonly shareByCustomer: ReadonlyMap<string, number>;

  constructor(options: CustomerShareOptions = {}) {
    const {count = 10, hotShare = 0.5, exponent = 1} = options;
    const ranks = [...Array(count - 1).keys()].map(index => index + 1);
    const weights = ranks.map(rank => 1 / rank ** exponent);
    const sum = weights.reduce((total, weight) => total + weight, 0);
    const others = weights.map(
      (weight, index) =>
        [`customer-${index + 2}`, ((1 - hotShare) * weight) / sum] as const,
    );
    this.shareByCustomer = new Map([[HOT_CUSTOMER, hotShare], ...others]);
  }

  /** A customer's share of all requests. */
  shareOf(customer: string): number {
    return this.shareByCustomer.get(customer) ?? 0;
  }

  /** Draws a customer with the probability of its share. */
  pickCustomer(random: core.Random): string {
    let remaining = random.nextFloat();
    for (const [customer, share] of this.shareByCustomer) {
      remaining -= share;
      if (remaining < 0) return customer;
    }
    return HOT_CUSTOMER;
  }
}
