/** Digests: what goes in comes out, small, and only under the secret. */
import * as chai from 'chai';
import * as fc from 'fast-check';
import * as core from '@oleanderrock/core';
import * as digest from '../digest.js';

const {expect} = chai;

const SEED = 413;
const RUNS = 500;
const SECRET = 'a-secret-of-the-fleet';
const MAX_BYTES = 100;

const hash = fc.nat({max: 0xff_ff_ff_ff});
const count = fc.nat({max: Number.MAX_SAFE_INTEGER});

const ANY: fc.Arbitrary<digest.Digest> = fc.record({
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
  uses: fc.array(
    fc.record({customer: fc.string(), requests: fc.nat(), tokens: fc.nat()}),
  ),
});

/** What a router with two endpoints sends when nothing is out of order. */
const USUAL: digest.Digest = {
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
  uses: [],
};

describe('digests', () => {
  it('come out as they went in', () => {
    const property = fc.property(ANY, one => {
      const read = digest.decode(digest.encode(one, SECRET), SECRET);
      expect(read).to.deep.equal(one);
    });
    fc.assert(property, {seed: SEED, numRuns: RUNS});
  });

  it('are refused under another secret or with a bit changed', () => {
    const datagram = digest.encode(USUAL, SECRET);
    expect(digest.decode(datagram, `${SECRET}x`)).to.equal(undefined);
    for (let at = 0; at < datagram.length; at += 1) {
      const changed = Buffer.from(datagram);
      changed[at]! ^= 1;
      expect(digest.decode(changed, SECRET), `byte ${at}`).to.equal(undefined);
    }
  });

  it('are refused where they are none', () => {
    const property = fc.property(fc.uint8Array(), bytes => {
      const read = digest.decode(Buffer.from(bytes), SECRET);
      expect(read).to.equal(undefined);
    });
    fc.assert(property, {seed: SEED, numRuns: RUNS});
  });

  it(`take at most ${MAX_BYTES} bytes for two endpoints, headers in`, () => {
    const {length} = digest.encode(USUAL, SECRET);
    const bytes = length + digest.DATAGRAM_HEADER_BYTES;
    process.stdout.write(`      ${core.line({digest_bytes: bytes})}\n`);
    expect(bytes).to.be.at.most(MAX_BYTES);
  });

  it('are taken in order only: none late, none twice', () => {
    const order = new digest.OrderGuard();
    const from = (incarnation: number, sequence: number) =>
      order.accepts({...USUAL, incarnation, sequence});
    const given = [from(5, 1), from(5, 3), from(5, 2), from(5, 3), from(5, 4)];
    expect(given).to.deep.equal([true, true, false, false, true]);
    expect([from(6, 1), from(5, 9), from(6, 2)]).to.deep.equal([
      true,
      false,
      true,
    ]);
    const other = order.accepts({...USUAL, routerHash: 1, sequence: 1});
    expect(other).to.equal(true);
  });

  it('name routers by hashes that can be found', () => {
    const index = new digest.NameIndex();
    index.update(['r1', 'r2']);
    expect(index.find(core.hash32('r2'))).to.equal('r2');
    index.update(['r1', 'r3']);
    expect(index.find(core.hash32('r2'))).to.equal(undefined);
    expect(index.find(core.hash32('r3'))).to.equal('r3');
  });
});
