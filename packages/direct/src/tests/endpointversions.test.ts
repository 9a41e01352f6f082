/**
 * Tests that a router learns the versions of endpoints that it heard of from a
 * router of an older build, which passes entries on without them.
 */
import * as chai from 'chai';
import * as core from '@oleanderrock/core';
import * as direct from '../index.js';

const {expect} = chai;

function createRegistry(): direct.InMemoryEndpointRegistry {
  const kernel = new core.Kernel();
  kernel.register(core.LOGGER, new core.SilentLogger());
  return new direct.InMemoryEndpointRegistry(kernel);
}

function endpoint(softwareVersion?: string): direct.Endpoint {
  const place = {pool: 'pool', address: '127.0.0.1', port: 1, zone: 'z'};
  return {id: 'e1', ...place, isDraining: false, bornMs: 1, softwareVersion};
}

describe('endpoints heard of without their versions', () => {
  it('differ from those that others know, so that they are fetched', () => {
    const reader = createRegistry();
    const other = createRegistry();
    const nowMs = 0;
    other.applyPeerRecord({key: 'e1', offset: 5, value: endpoint()}, nowMs);
    reader.applyFeedRecord(
      {key: 'e1', offset: 6, value: endpoint('v1')},
      nowMs,
    );
    expect(other.fingerprint()).not.to.equal(reader.fingerprint());
    for (const record of reader.allRecords()) {
      other.applyPeerRecord(record, nowMs);
    }
    expect(other.find('e1')).to.include({softwareVersion: 'v1'});
    expect(other.fingerprint()).to.equal(reader.fingerprint());
  });
});
