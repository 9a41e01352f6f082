/** Unit tests of the encoding of digests. */
import * as chai from 'chai';
import * as fc from 'fast-check';
import * as digestCodec from '../digest.js';
import * as direct from '../index.js';

const {expect} = chai;

const PROPERTY_PARAMETERS = {seed: 20_261_204, numRuns: 200};

function createEndpoint(id: string, isDraining = false): direct.Endpoint {
  return {
    id,
    pool: 'pool',
    address: '127.0.0.1',
    port: 1,
    zone: 'z',
    isDraining,
  };
}

describe('the digest', () => {
  const NOW_MS = 100_000;
  const ENDED_LIMIT = {id: 'f', bornMs: undefined, perSecond: undefined};
  const senderAddress = '127.0.0.1';
  const findIdByHash = (hash: number) =>
    ['e', 'f', 'h'].find(id => direct.endpointHash(id) === hash);
  const findEndpoint = (id: string) => createEndpoint(id);
  const options = {senderAddress, findIdByHash, findEndpoint, nowMs: NOW_MS};
  const digest: digestCodec.Digest = {
    sender: {
      router: {name: 'r', address: senderAddress, zone: 'z'},
      epoch: 4,
      phase: 'ready',
      isStoreLost: true,
    },
    wantsReply: true,
    status: {
      version: 3,
      endpointsFingerprint: 9,
      membersFingerprint: 2 ** 32 - 1,
      uptimeS: 7,
    },
    load: {
      inFlight: new Map([['e', 2]]),
      outcomes: new Map([['e', {good: 1.5, failed: 0.5}]]),
      workLeft: new Map([['e', 120]]),
    },
    evacuations: [
      {zone: 'y', offset: 2 ** 33, isEvacuated: true},
      {zone: 'z', offset: 3, isEvacuated: false},
    ],
    reports: [{endpoint: 'f', inFlight: 12, observedAtMs: NOW_MS - 40}],
    news: {
      endpointChanges: [
        {key: 'f', offset: 8, value: undefined},
        {key: 'g', offset: 9, value: {...createEndpoint('g'), bornMs: 5}},
        {key: 'h', offset: 9, value: createEndpoint('h', true)},
      ],
      limits: [
        {id: 'e', bornMs: 5, perSecond: 4.25, observedAtMs: NOW_MS - 60},
        {...ENDED_LIMIT, observedAtMs: NOW_MS},
      ],
      cold: [{id: 'e', bornMs: 5, untilMs: NOW_MS + 900}],
      crashes: [
        {
          crash: 2 ** 32 - 1,
          reporter: 3,
          atMs: NOW_MS - 60,
          keys: ['w1', 'p2'],
        },
      ],
      proofs: [{key: 'p2', atMs: NOW_MS - 20}],
      placements: [{prefix: 'p', endpoint: 'e'}],
      failures: [
        {
          id: 77,
          endpoint: 'e',
          isUnreachable: true,
          observedAtMs: NOW_MS - 100,
        },
      ],
      members: [
        {
          router: {name: 'q', address: '127.0.0.2', zone: 'y'},
          epoch: 5,
          phase: 'down',
          isStoreLost: false,
        },
      ],
    },
  };

  it('decodes what it encoded, and rejects other bytes', () => {
    const bytes = digestCodec.encode(digest, NOW_MS);
    expect(digestCodec.decode(bytes, options)).to.deep.equal(digest);
    expect(digestCodec.decode(Buffer.from('{}'), options)).to.equal(undefined);
    fc.assert(
      fc.property(fc.uint8Array(), randomBytes => {
        const decoded = digestCodec.decode(Buffer.from(randomBytes), options);
        expect(decoded).to.equal(undefined);
      }),
      PROPERTY_PARAMETERS,
    );
  });

  it('leaves out what concerns endpoints that this router does not know', () => {
    const bytes = digestCodec.encode(digest, NOW_MS);
    const decoded = digestCodec.decode(bytes, {
      ...options,
      findIdByHash: () => undefined,
    });
    expect(decoded?.load?.inFlight.size).to.equal(0);
    expect(decoded?.reports).to.deep.equal([]);
    expect(decoded?.news.placements).to.deep.equal([]);
    expect(decoded?.news.failures).to.deep.equal([]);
    expect(decoded?.news.limits).to.deep.equal([]);
    expect(decoded?.news.endpointChanges).to.deep.equal(
      digest.news.endpointChanges.slice(0, 2),
    );
    expect(decoded?.news.members).to.deep.equal(digest.news.members);
  });

  it('leaves out that another lifetime of an endpoint drains', () => {
    const bytes = digestCodec.encode(digest, NOW_MS);
    const decoded = digestCodec.decode(bytes, {
      ...options,
      findEndpoint: id => ({...createEndpoint(id), bornMs: 2}),
    });
    expect(decoded?.news.endpointChanges).to.deep.equal(
      digest.news.endpointChanges.slice(0, 2),
    );
  });

  it('is rejected or decoded as a whole, whichever of its bytes changes', () => {
    const bytes = digestCodec.encode(digest, NOW_MS);
    fc.assert(
      fc.property(fc.nat(bytes.length - 1), fc.nat(255), (index, byte) => {
        const changed = Buffer.from(bytes);
        changed[index] = byte;
        const decoded = digestCodec.decode(changed, options);
        for (const {observedAtMs} of decoded?.reports ?? []) {
          expect(observedAtMs).to.be.at.most(NOW_MS);
        }
      }),
      PROPERTY_PARAMETERS,
    );
  });
});
