/**
 * Guards against an endpoint that drains coming back by a heartbeat which the
 * store executed late.
 */
import * as chai from 'chai';
import * as core from '@oleanderrock/core';
import * as direct from '../index.js';

const {expect} = chai;

describe('the registry of endpoints', () => {
  let registry: direct.InMemoryEndpointRegistry;

  beforeEach(() => {
    const kernel = new core.Kernel();
    kernel.register(core.LOGGER, new core.SilentLogger());
    registry = new direct.InMemoryEndpointRegistry(kernel);
    registry.advanceTo(1);
  });

  function record(
    offset: number,
    isDraining: boolean,
    bornMs?: number,
  ): direct.EndpointRecord {
    const value: direct.Endpoint = {
      id: 'e1',
      pool: 'pool',
      address: '127.0.0.1',
      port: 80,
      zone: 'z',
      isDraining,
      bornMs,
    };
    return {key: 'e1', offset, value};
  }

  const readyIds = () => registry.readyEndpoints('pool').map(({id}) => id);

  for (const apply of ['applyFeedRecord', 'applyPeerRecord'] as const) {
    it(`keeps a lifetime that drains, whatever comes later: ${apply}`, () => {
      registry.applyFeedRecord(record(1, false, 7), 0);
      expect(readyIds()).to.deep.equal(['e1']);
      registry.applyFeedRecord(record(2, true, 7), 0);
      expect(registry[apply](record(3, false, 7), 0)).to.equal(true);
      expect(readyIds()).to.deep.equal([]);
      expect(registry.allRecords()[0]).to.include({offset: 3});
    });

    it(`takes the next lifetime, and one that names no start: ${apply}`, () => {
      registry.applyFeedRecord(record(1, true, 7), 0);
      registry[apply](record(2, false, 8), 0);
      expect(readyIds()).to.deep.equal(['e1']);
      registry.applyFeedRecord(record(3, true), 0);
      registry[apply](record(4, false), 0);
      expect(readyIds()).to.deep.equal(['e1']);
    });
  }

  it('takes the same lifetime again after its entry was removed', () => {
    registry.applyFeedRecord(record(1, true, 7), 0);
    registry.applyFeedRecord({key: 'e1', offset: 2, value: undefined}, 0);
    registry.applyFeedRecord(record(3, false, 7), 0);
    expect(readyIds()).to.deep.equal(['e1']);
  });
});
