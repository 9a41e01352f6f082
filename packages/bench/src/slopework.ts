/** Slopes of processor time and of bytes of messages, without a network. */
import * as core from '@oleanderrock/core';
import * as decide from '@oleanderrock/decide';
import * as router from '@oleanderrock/router';
import * as samples from './samples.js';
import * as slopes from './slope.js';

const SECRET = 'secret-of-the-peers';
const DIGESTS = 20_000;
const PEERS = 32;
const RECORDS = 1_000;
const REPLAYS = 5;
const US_PER_MS = 1_000;
const FAR_MS = 1e12;
const PLANNED = {endpoints: 600, routers: 410, domains: 5, regions: 2};
const ASSIGNS = 5;
const BATCH = 20;

/** Times of messages, replays and ownership. */
export class WorkSlopes implements slopes.Measurement {
  run(): Promise<slopes.Slope[]> {
    return Promise.resolve([
      us('encode a digest of 2 endpoints', encodeUs()),
      us('decode and adopt a digest of 2 endpoints', adoptUs()),
      ms('replay of 1,000 edits', replayEditsMs()),
      ms('replay of 1,000 batches of one claim', replayClaimsMs()),
      ms('ownership of 600 endpoints over 410 routers', assignMs()),
    ]);
  }
}

/** Bytes of digests and claims. */
export class ByteSlopes implements slopes.Measurement {
  run(): Promise<slopes.Slope[]> {
    const bytes = (name: string, value: number) => ({name, value, unit: 'B'});
    const none = digestBytes(0);
    return Promise.resolve([
      bytes('digest without an endpoint, 4 limited customers', none),
      bytes('digest, each endpoint more', (digestBytes(16) - none) / 16),
      bytes('record of one claim and its end', claimBytes(1)),
      bytes(
        'each claim and its end more in a batch',
        (claimBytes(BATCH) - claimBytes(1)) / (BATCH - 1),
      ),
    ]);
  }
}

function us(name: string, value: number): slopes.Slope {
  return {name, value, unit: 'us'};
}

function ms(name: string, value: number): slopes.Slope {
  return {name, value, unit: 'ms'};
}

function encodeUs(): number {
  const digests = slopes.range(PEERS).map(index => samples.digest(index, 2));
  return slopes.timeUs(DIGESTS, index => {
    router.encode(digests[index % PEERS]!, SECRET);
  });
}

function adoptUs(): number {
  const state = new samples.PeerState();
  const datagrams = slopes
    .range(PEERS)
    .map(index => router.encode(samples.digest(index, 2), SECRET));
  return slopes.timeUs(DIGESTS, index => {
    const message = router.decode(datagrams[index % PEERS]!, SECRET);
    if (message) state.adopt(`router-${index % PEERS}`, message);
  });
}

function replayEditsMs(): number {
  const entries = slopes
    .range(RECORDS)
    .map(offset => ({offset, record: samples.edit(offset)}));
  const replayUs = slopes.timeUs(REPLAYS, () => {
    new decide.LogConfigReplica().apply(entries, 0);
  });
  return replayUs / US_PER_MS;
}

function replayClaimsMs(): number {
  const batches = slopes.range(RECORDS).map(() => samples.claims(1));
  const nowMs = Date.now();
  const replayUs = slopes.timeUs(REPLAYS, () => {
    const book = new decide.StreamClaimRegistry({windowMs: FAR_MS});
    for (const [offset, batch] of batches.entries()) {
      book.apply(offset, batch, nowMs);
    }
  });
  return replayUs / US_PER_MS;
}

function assignMs(): number {
  const sites = (kind: string, count: number) =>
    slopes.range(count).map(index => ({
      name: `${kind}-${index}`,
      region: `region-${index % PLANNED.regions}`,
      failureDomain: `domain-${index % PLANNED.domains}`,
    }));
  const endpoints = sites('engine', PLANNED.endpoints);
  const routers = sites('router', PLANNED.routers);
  const ownership = new decide.RendezvousOwnership();
  const assignUs = slopes.timeUs(ASSIGNS, () => {
    ownership.assign(endpoints, routers);
  });
  return assignUs / US_PER_MS;
}

function digestBytes(endpoints: number): number {
  const datagram = router.encode(samples.digest(1, endpoints), SECRET);
  return datagram.length + router.DATAGRAM_HEADER_BYTES;
}

function claimBytes(count: number): number {
  const record: core.ClaimBatch = samples.claims(count);
  return Buffer.byteLength(JSON.stringify({record}));
}
