/**
 * Tests of the tables, the lists of endpoints and routers, and the graceful
 * shutdown of routers, also while the platform's store fails.
 */
import * as timers from 'node:timers/promises';
import * as chai from 'chai';
import * as core from '@oleanderrock/core';
import * as direct from '@oleanderrock/direct';
import * as support from './directfleet.js';
import * as polling from './polling.js';

const {expect} = chai;

function endpointIds(kernel: core.Kernel): string[] {
  const readyEndpoints = kernel
    .find(direct.ENDPOINT_REGISTRY)
    .readyEndpoints('pool');
  return readyEndpoints.map(({id}) => id).sort();
}

/** Interval at which endpoints renew their entries, in ms. */
const RENEWAL_MS = 1_200;

function renewedEntries({endpoints}: support.DirectFleet, seq: number) {
  return endpoints.map(endpoint => ({
    id: endpoint.id,
    entry: {...endpoint.entry(), seq},
  }));
}

/** Time within which endpoints that left get no request, in ms. */
const REMOVED_WITHIN_MS = 2_000;

describe("routers on the users' platform", () => {
  let fleet: support.DirectFleet;

  beforeEach(async () => {
    fleet = new support.DirectFleet();
    await fleet.start(2, 3);
  });

  afterEach(() => fleet.stop());

  it('put a new version in force at all routers, and never return to an older one', async () => {
    fleet.store.put('keyed.op', 'config', support.config(7));
    for (const router of [0, 1, 2]) {
      await polling.until(
        'version 7 is in force',
        () => fleet.version(router) === 7,
        2_000,
      );
    }
    const offset = fleet.store.put('keyed.op', 'config', support.config(3));
    fleet.store.put('keyed.op', 'config', support.config(8));
    await polling.until('version 8 is in force', () => fleet.version(0) === 8);
    expect(offset).to.be.greaterThan(0);
    expect(fleet.version(1)).to.be.greaterThanOrEqual(7);
  });

  it('fetch a new version from another router if they cannot read it from the store', async () => {
    fleet.store.refusedAddresses.add(fleet.address(1));
    fleet.store.refusedAddresses.add('127.0.0.1');
    const callCount = fleet.store.requestPaths.length;
    await polling.until(
      'the store is called',
      () => fleet.store.requestPaths.length > callCount,
    );
    fleet.store.refusedAddresses.delete('127.0.0.1');
    fleet.store.put('keyed.op', 'config', support.config(9));
    for (const router of [0, 1, 2]) {
      await polling.until(
        'version 9 is in force',
        () => fleet.version(router) === 9,
        3_000,
      );
    }
  });

  it('send no requests to a draining endpoint', async () => {
    const [drainingEndpoint] = fleet.endpoints;
    fleet.store.put('keyed.servers', 'e1', drainingEndpoint!.entry('draining'));
    for (const kernel of fleet.kernels) {
      await polling.until(
        'the draining endpoint is not ready',
        () => endpointIds(kernel)[0] === 'e2',
      );
    }
    for (let count = 0; count < 9; count++) {
      await fleet.call('/read/a', {}, count % 3);
    }
    expect(drainingEndpoint!.runs).to.have.length(0);
  });

  it('keep serving while the store is unavailable', async () => {
    for (const mode of ['refusing', 'resetting', 'silent'] as const) {
      fleet.store.mode = mode;
      const response = await fleet.call('/read/a');
      expect(response.status).to.equal(200);
    }
  });

  it('read the whole list of endpoints again after the store has dropped its history', async () => {
    await fleet.addEndpoint();
    fleet.store.put('keyed.servers', 'e1');
    fleet.store.compact('keyed.servers');
    for (const kernel of fleet.kernels) {
      await polling.until('the router has read the new list', () => {
        return endpointIds(kernel).join() === 'e2,e3';
      });
    }
  });

  it('keep the endpoints of a pool that all disappear at once until they had time to return', async () => {
    for (const {id} of fleet.endpoints) fleet.store.put('keyed.servers', id);
    const endMs = performance.now() + 1_500;
    while (performance.now() < endMs) {
      const response = await fleet.call('/read/a', {}, 1);
      expect(response.status).to.equal(200);
    }
    const [firstEndpoint] = fleet.endpoints;
    fleet.store.put('keyed.servers', 'e1', firstEndpoint!.entry());
    for (const kernel of fleet.kernels) {
      await polling.until('the other endpoint is removed', () => {
        return endpointIds(kernel).join() === 'e1';
      });
    }
  });

  it('remove two of three endpoints at once if they leave together while the store can be read', async () => {
    await fleet.addEndpoint();
    for (const kernel of fleet.kernels) {
      await polling.until('all endpoints are known', () => {
        return endpointIds(kernel).join() === 'e1,e2,e3';
      });
    }
    for (const id of ['e1', 'e2']) fleet.store.put('keyed.servers', id);
    const startMs = performance.now();
    for (const kernel of fleet.kernels) {
      await polling.until('both are removed', () => {
        return endpointIds(kernel).join() === 'e3';
      });
    }
    expect(performance.now() - startMs).to.be.below(REMOVED_WITHIN_MS);
  });

  it('remove a whole pool in time if its endpoints renewed their entries until they left', async () => {
    for (let seq = 2; seq <= 3; seq++) {
      for (const {id, entry} of renewedEntries(fleet, seq)) {
        fleet.store.put('keyed.servers', id, entry);
      }
      await timers.setTimeout(RENEWAL_MS);
    }
    for (const {id} of fleet.endpoints) fleet.store.put('keyed.servers', id);
    const startMs = performance.now();
    for (const kernel of fleet.kernels) {
      await polling.until('all are removed', () => {
        return endpointIds(kernel).length === 0;
      });
    }
    expect(performance.now() - startMs).to.be.below(REMOVED_WITHIN_MS);
    expect((await fleet.call('/read/a')).status).to.equal(503);
  });

  it('receive endpoint changes in digests of routers that read the store sooner', async () => {
    const slowReader = await fleet.addRouter({endpointsPaceMs: '60000'});
    const waitForEndpoints = (ids: string) =>
      polling.until(
        'the router lists these endpoints',
        () => endpointIds(slowReader).join() === ids,
      );
    await waitForEndpoints('e1,e2');
    await fleet.addEndpoint();
    await waitForEndpoints('e1,e2,e3');
    const [drainingEndpoint] = fleet.endpoints;
    fleet.store.put('keyed.servers', 'e1', drainingEndpoint!.entry('draining'));
    await waitForEndpoints('e2,e3');
    fleet.store.put('keyed.servers', 'e1', drainingEndpoint!.entry());
    await waitForEndpoints('e1,e2,e3');
    fleet.store.put('keyed.servers', 'e2');
    await waitForEndpoints('e1,e3');
  });

  it('start with state fetched from another router while the store is unavailable', async () => {
    fleet.store.mode = 'refusing';
    await fleet.addRouter();
    await polling.until(
      'the new router is ready',
      () => fleet.phase(3) === 'ready',
    );
    const response = await fleet.call('/read/a', {}, 3);
    expect(response.status).to.equal(200);
  });

  it('ignore entries of the store that cannot be decoded', async () => {
    fleet.store.put('keyed.servers', 'bad1', {service: 'pool', slots: 'x'});
    fleet.store.putRaw('keyed.servers', 'bad2', Buffer.from([0xff, 0x00]));
    fleet.store.put('keyed.servers', 'e3', fleet.endpoints[0]!.entry());
    const [kernel] = fleet.kernels;
    await polling.until(
      'the valid entry is read',
      () => endpointIds(kernel!).length === 3,
    );
    expect(endpointIds(kernel!)).to.deep.equal(['e1', 'e2', 'e3']);
  });

  it('list ready routers to callers, only those of the same failure domain if it has enough', async () => {
    const sameZone = await fleet.resolveAddresses('zone-a');
    expect(sameZone).to.deep.equal([fleet.address(0), fleet.address(2)]);
    const allZones = await fleet.resolveAddresses('zone-b');
    expect(allZones).to.have.length(3);
  });

  it('refuse new requests early enough in the shutdown for running ones to end', async () => {
    for (const endpoint of fleet.endpoints) {
      endpoint.defaultBehaviour = {type: 'stream', events: 60, intervalMs: 25};
    }
    const call = fleet.call('/chat/a', {}, 2);
    await polling.until(
      'an endpoint runs the request',
      () => fleet.runs().length === 1,
    );
    const routerSettings = {graceS: 4} as direct.settings.Settings;
    const startMs = performance.now();
    const shutdown = direct.run.shutDown(fleet.kernels[2]!, routerSettings);
    await polling.until('the router accepts no connections', () =>
      fleet.call('/none/a', {}, 2).then(
        () => false,
        () => true,
      ),
    );
    expect(performance.now() - startMs).to.be.below(
      routerSettings.graceS * 375,
    );
    const response = await call;
    expect(response.body).to.equal(support.events(60));
    expect(response.isComplete).to.equal(true);
    await shutdown;
    fleet.kernels.pop();
  });

  it('are withdrawn from the address lists at once on shutdown, and truncate no running response', async () => {
    for (const endpoint of fleet.endpoints) {
      endpoint.defaultBehaviour = {type: 'stream', events: 40, intervalMs: 25};
    }
    const call = fleet.call('/chat/a', {}, 2);
    await polling.until(
      'an endpoint runs the request',
      () => fleet.runs().length === 1,
    );
    const routerSettings = {graceS: 4} as direct.settings.Settings;
    const shutdown = direct.run.shutDown(fleet.kernels[2]!, routerSettings);
    expect((await fleet.getReadiness(2)).status).to.equal(503);
    await polling.until(
      'the other routers no longer list this one',
      async () => {
        return !(await fleet.resolveAddresses('zone-a')).includes(
          fleet.address(2),
        );
      },
    );
    const response = await call;
    expect(response.body).to.equal(support.events(40));
    expect(response.isComplete).to.equal(true);
    await shutdown;
    expect(fleet.store.keys('keyed.status')).not.to.include('router/router-2');
    fleet.kernels.pop();
  });
});

describe('a router without tables', () => {
  it('responds with 503 and is not ready', async () => {
    const fleet = new support.DirectFleet();
    fleet.store.mode = 'refusing';
    const startup = fleet.start(1, 1).catch(() => undefined);
    await polling.until('the router listens', async () => {
      return fleet.call('/read/a').then(
        response => response.status === 503,
        () => false,
      );
    });
    expect((await fleet.getReadiness()).status).to.equal(503);
    // A caller that retried sooner would only be refused again.
    await polling.until(
      'retry-after reflects the unavailable store',
      async () => {
        const {status, headers} = await fleet.call('/read/a');
        expect(status).to.equal(503);
        return Number(headers['retry-after']) >= 1;
      },
    );
    fleet.store.mode = 'up';
    await startup;
    await fleet.stop();
  });
});
