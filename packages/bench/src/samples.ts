/** Messages and state of a usual size, for the slopes. */
import * as core from '@oleanderrock/core';
import * as decide from '@oleanderrock/decide';
import type * as router from '@oleanderrock/router';
import * as slopes from './slope.js';

const TIMEOUT_MS = 2_200;
const NOTE_MS = 10_000;
const STALE_MS = 5_000;
const LIMITED_CUSTOMERS = 4;

/** A digest with the counts of some endpoints. */
export function digest(sender: number, endpoints: number): router.Digest {
  return {
    routerHash: core.hash32(`router-${sender}`),
    incarnation: 1_800_000_000,
    sequence: 100_000 + sender,
    nextOffset: 10_000,
    isDraining: false,
    counts: slopes.range(endpoints).map(index => ({
      endpointHash: core.hash32(`engine-${sender}-${index}`),
      inFlight: 20,
      isUsable: true,
    })),
    down: [],
    suspects: [],
    usage: slopes.range(LIMITED_CUSTOMERS).map(index => ({
      customer: `customer-${index}`,
      requests: 100,
      tokens: 40_000,
    })),
  };
}

/** A batch with so many claims, each with the note that it was answered. */
export function claims(count: number): core.ClaimBatch {
  const entries = slopes.range(count).flatMap((): core.ClaimEntry[] => {
    const key = core.createId();
    const attempt = core.createId();
    return [
      {type: 'claim', key, attempt},
      {type: 'answered', key, attempt},
    ];
  });
  return {type: 'claims', entries};
}

/** An edit of one row that is accepted. */
export function edit(index: number): core.Edit {
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

/** What a router keeps of its peers. */
export class PeerState {
  readonly membership = new decide.ObservedMembership({
    timeoutMs: TIMEOUT_MS,
    noteLifetimeMs: NOTE_MS,
  });
  private readonly loads = new decide.CombinedLoadTracker({staleMs: STALE_MS});
  private readonly usage = new decide.MinuteUsageTracker();

  /** Takes in a digest as the peers' task does, its names made up. */
  adopt(name: string, message: router.Digest): void {
    this.membership.recordDigest(name, message.incarnation, 0);
    const counts = message.counts.map(({endpointHash, inFlight}) => ({
      endpoint: `engine-${endpointHash}`,
      router: name,
      inFlight,
    }));
    this.loads.applyRemote(name, counts, 0);
    this.usage.applyRemote(name, message.usage, 0);
  }
}
