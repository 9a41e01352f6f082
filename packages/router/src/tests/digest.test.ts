/** Digests: encoding round trip, size, authentication and ordering. */
import * as chai from 'chai';
import * as fc from 'fast-check';
import * as core from '@oleanderrock/core';
import * as decide from '@oleanderrock/decide';
import * as digest from '../digest.js';

const {expect} = chai;

const SEED = 413;
const RUNS = 500;
const SECRET = 'a-secret-of-the-fleet';
const MAX_BYTES = 100;

const hash = fc.nat({max: 0xff_ff_ff_ff});
const count = fc.nat({max: Number.MAX_SAFE_INTEGER});

const anyDigest: fc.Arbitrary<digest.Digest> = fc.record({
  routerHash: hash,
  incarnation: count,
  sequence: count,
  nextOffset: count,
  isDraining: fc.boolean(),
  counts: fc.array(
    fc.record({endpointHash: hash, inFlight: fc.nat(), isUsable: fc.boolean()}),
  ),
  down: fc.array(fc.record({routerHash: hash, incarnation: count})),
  suspects: fc.array(
    fc.record({
      signature: fc.string(),
      state: fc.constantFrom('suspect', 'condemned', 'cleared'),
      validMs: fc.nat(),
    }),
  ),
  usage: fc.array(
    fc.record({customer: fc.string(), requests: fc.nat(), tokens: fc.nat()}),
  ),
});

/** Digest of a router with two endpoints in normal operation. */
const TYPICAL_DIGEST: digest.Digest = {
  routerHash: core.hash32('router-17'),
  incarnation: 1_800_000_000,
  sequence: 1_000_000,
  nextOffset: 1_000_000,
  isDraining: false,
  counts: ['engine-1', 'engine-2'].map(name => ({
    endpointHash: core.hash32(name),
    inFlight: 1_000,
    isUsable: true,
  })),
  down: [],
  suspects: [],
  usage: [],
};

describe('digests', () => {
  it('are equal after encoding and decoding', () => {
    const property = fc.property(anyDigest, value => {
      const decoded = digest.decode(digest.encode(value, SECRET), SECRET);
      expect(decoded).to.deep.equal(value);
    });
    fc.assert(property, {seed: SEED, numRuns: RUNS});
  });

  it('carry the suspects of a crash, whose times are fractions', () => {
    const times = fc.double({min: 0, max: 1e9, noNaN: true});
    const property = fc.property(times, times, (crashMs, laterMs) => {
      const tracker = new decide.SignatureSuspectTracker();
      tracker.recordStart('a request', 'engine-1');
      tracker.recordCrash('engine-1', crashMs);
      const nowMs = crashMs + (laterMs % decide.DEFAULT_SUSPECT_MS);
      const suspects = tracker.takeChanges(nowMs);
      const value = {...TYPICAL_DIGEST, suspects};
      const decoded = digest.decode(digest.encode(value, SECRET), SECRET);
      expect(decoded?.counts).to.deep.equal(TYPICAL_DIGEST.counts);
      expect(decoded?.suspects).to.have.length(suspects.length);
      for (const [index, {validMs}] of suspects.entries()) {
        const decodedMs = decoded?.suspects[index]?.validMs;
        expect(decodedMs).to.be.closeTo(validMs, 1);
      }
    });
    fc.assert(property, {seed: SEED, numRuns: RUNS});
  });

  it('keep their other entries if one cannot be read', () => {
    const suspect = {signature: 'a', state: 'suspect', validMs: 1} as const;
    const unknown = {
      ...suspect,
      state: 'forgiven',
    } as unknown as typeof suspect;
    const value = {...TYPICAL_DIGEST, suspects: [suspect, unknown]};
    const decoded = digest.decode(digest.encode(value, SECRET), SECRET);
    expect(decoded?.counts).to.deep.equal(TYPICAL_DIGEST.counts);
    expect(decoded?.suspects).to.deep.equal([suspect]);
  });

  it('are refused under another secret or with a flipped bit', () => {
    const datagram = digest.encode(TYPICAL_DIGEST, SECRET);
    expect(digest.decode(datagram, `${SECRET}x`)).to.equal(undefined);
    for (let index = 0; index < datagram.length; index += 1) {
      const changed = Buffer.from(datagram);
      changed[index]! ^= 1;
      expect(digest.decode(changed, SECRET), `byte ${index}`).to.equal(
        undefined,
      );
    }
  });

  it('are not decoded from random bytes', () => {
    const property = fc.property(fc.uint8Array(), bytes => {
      const decoded = digest.decode(Buffer.from(bytes), SECRET);
      expect(decoded).to.equal(undefined);
    });
    fc.assert(property, {seed: SEED, numRuns: RUNS});
  });

  it(`take at most ${MAX_BYTES} bytes for two endpoints, headers included`, () => {
    const {length} = digest.encode(TYPICAL_DIGEST, SECRET);
    const bytes = length + digest.DATAGRAM_HEADER_BYTES;
    process.stdout.write(`      ${core.formatFields({digest_bytes: bytes})}\n`);
    expect(bytes).to.be.at.most(MAX_BYTES);
  });

  it('are refused when they arrive late or twice', () => {
    const filter = new digest.SequenceFilter();
    const accept = (incarnation: number, sequence: number) =>
      filter.accept({...TYPICAL_DIGEST, incarnation, sequence});
    const accepted = [
      accept(5, 1),
      accept(5, 3),
      accept(5, 2),
      accept(5, 3),
      accept(5, 4),
    ];
    expect(accepted).to.deep.equal([true, true, false, false, true]);
    expect([accept(6, 1), accept(5, 9), accept(6, 2)]).to.deep.equal([
      true,
      false,
      true,
    ]);
    const isOtherAccepted = filter.accept({
      ...TYPICAL_DIGEST,
      routerHash: 1,
      sequence: 1,
    });
    expect(isOtherAccepted).to.equal(true);
  });

  it('carry name hashes, which resolve to current names only', () => {
    const index = new digest.NameIndex();
    index.update(['r1', 'r2']);
    expect(index.find(core.hash32('r2'))).to.equal('r2');
    index.update(['r1', 'r3']);
    expect(index.find(core.hash32('r2'))).to.equal(undefined);
    expect(index.find(core.hash32('r3'))).to.equal('r3');
  });
});
