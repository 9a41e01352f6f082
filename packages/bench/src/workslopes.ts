/** Slopes of CPU time and of message sizes, measured without a network. */
import * as core from '@oleanderrock/core';
import * as decide from '@oleanderrock/decide';
import * as router from '@oleanderrock/router';
import * as fixtures from './fixtures.js';
import * as measurements from './measurement.js';

const PEER_SECRET = 'secret-of-the-peers';
const DIGESTS = 20_000;
const PEERS = 32;
const RECORDS = 1_000;
const REPLAY_RUNS = 5;
const US_PER_MS = 1_000;
const NO_EXPIRY_MS = 1e12;
const DESIGN_SIZE = {endpoints: 600, routers: 410, domains: 5, regions: 2};
const ASSIGN_RUNS = 5;
const BATCH_SIZE = 20;

/** Measures the time to process digests, replay records and assign owners. */
export class WorkSlopes implements measurements.Measurement {
  measure(): Promise<measurements.Slope[]> {
    return Promise.resolve([
      slopeInUs('encode a digest of 2 endpoints', encodeUs()),
      slopeInUs('decode and adopt a digest of 2 endpoints', decodeAndApplyUs()),
      slopeInMs('replay of 1,000 edits', replayEditsMs()),
      slopeInMs('replay of 1,000 batches of one claim', replayClaimsMs()),
      slopeInMs('ownership of 600 endpoints over 410 routers', assignMs()),
    ]);
  }
}

/** Measures the bytes of digests and claims. */
export class ByteSlopes implements measurements.Measurement {
  measure(): Promise<measurements.Slope[]> {
    const slopeInBytes = (name: string, value: number) => ({
      name,
      value,
      unit: 'B',
    });
    const emptyDigestBytes = digestBytes(0);
    return Promise.resolve([
      slopeInBytes(
        'digest without an endpoint, 4 limited customers',
        emptyDigestBytes,
      ),
      slopeInBytes(
        'digest, each endpoint more',
        (digestBytes(16) - emptyDigestBytes) / 16,
      ),
      slopeInBytes('record of one claim and its end', claimBytes(1)),
      slopeInBytes(
        'each claim and its end more in a batch',
        (claimBytes(BATCH_SIZE) - claimBytes(1)) / (BATCH_SIZE - 1),
      ),
    ]);
  }
}

function slopeInUs(name: string, value: number): measurements.Slope {
  return {name, value, unit: 'us'};
}

function slopeInMs(name: string, value: number): measurements.Slope {
  return {name, value, unit: 'ms'};
}

function encodeUs(): number {
  const digests = measurements
    .indexes(PEERS)
    .map(index => fixtures.createDigest(index, 2));
  return measurements.timePerRunUs(DIGESTS, index => {
    router.encode(digests[index % PEERS]!, PEER_SECRET);
  });
}

function decodeAndApplyUs(): number {
  const state = new fixtures.PeerState();
  const datagrams = measurements
    .indexes(PEERS)
    .map(index => router.encode(fixtures.createDigest(index, 2), PEER_SECRET));
  return measurements.timePerRunUs(DIGESTS, index => {
    const message = router.decode(datagrams[index % PEERS]!, PEER_SECRET);
    if (message) state.applyDigest(`router-${index % PEERS}`, message);
  });
}

function replayEditsMs(): number {
  const entries = measurements
    .indexes(RECORDS)
    .map(offset => ({offset, record: fixtures.createEdit(offset)}));
  const replayUs = measurements.timePerRunUs(REPLAY_RUNS, () => {
    new decide.LogConfigReplica().apply(entries, 0);
  });
  return replayUs / US_PER_MS;
}

function replayClaimsMs(): number {
  const batches = measurements
    .indexes(RECORDS)
    .map(() => fixtures.createClaims(1));
  const nowMs = Date.now();
  const replayUs = measurements.timePerRunUs(REPLAY_RUNS, () => {
    const registry = new decide.StreamClaimRegistry({maxAgeMs: NO_EXPIRY_MS});
    for (const [offset, batch] of batches.entries()) {
      registry.apply(offset, batch, nowMs);
    }
  });
  return replayUs / US_PER_MS;
}

function assignMs(): number {
  const createMembers = (kind: string, count: number) =>
    measurements.indexes(count).map(index => ({
      name: `${kind}-${index}`,
      region: `region-${index % DESIGN_SIZE.regions}`,
      failureDomain: `domain-${index % DESIGN_SIZE.domains}`,
    }));
  const endpoints = createMembers('engine', DESIGN_SIZE.endpoints);
  const routers = createMembers('router', DESIGN_SIZE.routers);
  const ownership = new decide.RendezvousOwnership();
  const assignUs = measurements.timePerRunUs(ASSIGN_RUNS, () => {
    ownership.assign(endpoints, routers);
  });
  return assignUs / US_PER_MS;
}

function digestBytes(endpoints: number): number {
  const datagram = router.encode(
    fixtures.createDigest(1, endpoints),
    PEER_SECRET,
  );
  return datagram.length + router.DATAGRAM_HEADER_BYTES;
}

function claimBytes(count: number): number {
  const record: core.ClaimBatch = fixtures.createClaims(count);
  return Buffer.byteLength(JSON.stringify({record}));
}
