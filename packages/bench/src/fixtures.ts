/** Messages and router state of a typical size, for the slope measurements. */
import * as core from '@oleanderrock/core';
import * as decide from '@oleanderrock/decide';
import type * as router from '@oleanderrock/router';
import * as measurements from './measurement.js';

const PEER_TIMEOUT_MS = 2_200;
const NOTE_LIFETIME_MS = 10_000;
const LOAD_STALE_MS = 5_000;
const LIMITED_CUSTOMERS = 4;

/** Creates a digest with in-flight counts of the given number of endpoints. */
export function createDigest(sender: number, endpoints: number): router.Digest {
  return {
    routerHash: core.hash32(`router-${sender}`),
    incarnation: 1_800_000_000,
    sequence: 100_000 + sender,
    nextOffset: 10_000,
    isDraining: false,
    counts: measurements.indexes(endpoints).map(index => ({
      endpointHash: core.hash32(`engine-${sender}-${index}`),
      inFlight: 20,
      isUsable: true,
    })),
    down: [],
    suspects: [],
    usage: measurements.indexes(LIMITED_CUSTOMERS).map(index => ({
      customer: `customer-${index}`,
      requests: 100,
      tokens: 40_000,
    })),
  };
}

/** Creates a batch of `count` claims, each followed by its `answered` entry. */
export function createClaims(count: number): core.ClaimBatch {
  const entries = measurements.indexes(count).flatMap((): core.ClaimEntry[] => {
    const key = core.createId();
    const attempt = core.createId();
    return [
      {type: 'claim', key, attempt},
      {type: 'answered', key, attempt},
    ];
  });
  return {type: 'claims', entries};
}

/** Creates a valid edit that adds one customer row. */
export function createEdit(index: number): core.Edit {
  const name = `customer-${index}`;
  return {
    type: 'edit',
    edit_id: core.createId(),
    operator: 'bench',
    at_ms: index,
    changes: [
      {
        table: 'customers',
        name,
        expected_version: 0,
        row: {name, requests_per_minute: 100},
      },
    ],
  };
}

/** State that a router keeps about its peers. */
export class PeerState {
  readonly membership = new decide.ObservedMembership({
    timeoutMs: PEER_TIMEOUT_MS,
    noteLifetimeMs: NOTE_LIFETIME_MS,
  });
  private readonly loadTracker = new decide.CombinedLoadTracker({
    staleMs: LOAD_STALE_MS,
  });
  private readonly usageTracker = new decide.MinuteUsageTracker();

  /**
   * Applies a digest to the state as a router does. Endpoint names are derived
   * from the hashes, as there is no endpoint list to look them up in.
   */
  applyDigest(name: string, message: router.Digest): void {
    this.membership.recordDigest(name, message.incarnation, 0);
    const counts = message.counts.map(({endpointHash, inFlight}) => ({
      endpoint: `engine-${endpointHash}`,
      router: name,
      inFlight,
    }));
    this.loadTracker.applyRemote(name, counts, 0);
    this.usageTracker.applyRemote(name, message.usage, 0);
  }
}
