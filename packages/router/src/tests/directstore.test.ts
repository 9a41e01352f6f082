/** Tables, lists and leaving, while the platform's store fails. */
import * as chai from 'chai';
import * as core from '@oleanderrock/core';
import * as direct from '@oleanderrock/direct';
import * as support from './directfleet.js';
import * as until from './until.js';

const {expect} = chai;

function endpointIds(kernel: core.Kernel): string[] {
  const ready = kernel.find(direct.ENDPOINT_REGISTRY).readyEndpoints('pool');
  return ready.map(({id}) => id).sort();
}

describe('routers on the platform of the users', () => {
  let fleet: support.DirectFleet;

  beforeEach(async () => {
    fleet = new support.DirectFleet();
    await fleet.start(2, 3);
  });

  afterEach(() => fleet.stop());

  it('put a version in force everywhere, and none goes back', async () => {
    fleet.store.put('keyed.op', 'config', support.config(7));
    for (const router of [0, 1, 2]) {
      await until.until('version 7', () => fleet.version(router) === 7, 2_000);
    }
    const offset = fleet.store.put('keyed.op', 'config', support.config(3));
    fleet.store.put('keyed.op', 'config', support.config(8));
    await until.until('version 8', () => fleet.version(0) === 8);
    expect(offset).to.be.greaterThan(0);
    expect(fleet.version(1)).to.be.greaterThanOrEqual(7);
  });

  it('learn from each other what the store does not tell one of them', async () => {
    fleet.store.refused.add(fleet.address(1));
    fleet.store.refused.add('127.0.0.1');
    const calls = fleet.store.calls.length;
    await until.until('calls', () => fleet.store.calls.length > calls);
    fleet.store.refused.delete('127.0.0.1');
    fleet.store.put('keyed.op', 'config', support.config(9));
    for (const router of [0, 1, 2]) {
      await until.until('version 9', () => fleet.version(router) === 9, 3_000);
    }
  });

  it('send nothing to an endpoint that drains', async () => {
    const [leaving] = fleet.endpoints;
    fleet.store.put('keyed.servers', 'e1', leaving!.entry('draining'));
    for (const kernel of fleet.kernels) {
      await until.until('it is known', () => endpointIds(kernel)[0] === 'e2');
    }
    for (let count = 0; count < 9; count++) {
      await fleet.call('/read/a', {}, count % 3);
    }
    expect(leaving!.runs).to.have.length(0);
  });

  it('serve on while the store is away', async () => {
    for (const mode of ['refusing', 'resetting', 'silent'] as const) {
      fleet.store.mode = mode;
      const got = await fleet.call('/read/a');
      expect(got.status).to.equal(200);
    }
  });

  it('follow the store after its history was dropped', async () => {
    await fleet.addEndpoint();
    fleet.store.put('keyed.servers', 'e1');
    fleet.store.compact('keyed.servers');
    for (const kernel of fleet.kernels) {
      await until.until('the new list', () => {
        return endpointIds(kernel).join() === 'e2,e3';
      });
    }
  });

  it('keep a pool whose entries expired unseen, until they had time to return', async () => {
    for (const {id} of fleet.endpoints) fleet.store.put('keyed.servers', id);
    const untilMs = performance.now() + 1_500;
    while (performance.now() < untilMs) {
      const got = await fleet.call('/read/a', {}, 1);
      expect(got.status).to.equal(200);
    }
    const [first] = fleet.endpoints;
    fleet.store.put('keyed.servers', 'e1', first!.entry());
    for (const kernel of fleet.kernels) {
      await until.until('the other is gone', () => {
        return endpointIds(kernel).join() === 'e1';
      });
    }
  });

  it('hear what comes and leaves from whoever reads the store', async () => {
    const rare = await fleet.addRouter({endpointsPaceMs: '60000'});
    const sees = (ids: string) =>
      until.until('it is known', () => endpointIds(rare).join() === ids);
    await sees('e1,e2');
    await fleet.addEndpoint();
    await sees('e1,e2,e3');
    const [leaving] = fleet.endpoints;
    fleet.store.put('keyed.servers', 'e1', leaving!.entry('draining'));
    await sees('e2,e3');
    fleet.store.put('keyed.servers', 'e1', leaving!.entry());
    await sees('e1,e2,e3');
    fleet.store.put('keyed.servers', 'e2');
    await sees('e1,e3');
  });

  it('start from another router while the store is away', async () => {
    fleet.store.mode = 'refusing';
    await fleet.addRouter();
    await until.until('it is ready', () => fleet.phase(3) === 'ready');
    const got = await fleet.call('/read/a', {}, 3);
    expect(got.status).to.equal(200);
  });

  it('name no endpoint by an entry that cannot be read', async () => {
    fleet.store.put('keyed.servers', 'bad1', {service: 'pool', slots: 'x'});
    fleet.store.putRaw('keyed.servers', 'bad2', Buffer.from([0xff, 0x00]));
    fleet.store.put('keyed.servers', 'e3', fleet.endpoints[0]!.entry());
    const [kernel] = fleet.kernels;
    await until.until('all were read', () => endpointIds(kernel!).length === 3);
    expect(endpointIds(kernel!)).to.deep.equal(['e1', 'e2', 'e3']);
  });

  it('tell callers of ready routers, own failure domain first', async () => {
    const near = await fleet.resolveAddresses('zone-a');
    expect(near).to.deep.equal([fleet.address(0), fleet.address(2)]);
    const few = await fleet.resolveAddresses('zone-b');
    expect(few).to.have.length(3);
  });

  it('take no request that could not end before they do', async () => {
    for (const each of fleet.endpoints) {
      each.usual = {type: 'stream', events: 60, paceMs: 25};
    }
    const call = fleet.call('/chat/a', {}, 2);
    await until.until('it runs', () => fleet.runs().length === 1);
    const own = {graceS: 4} as direct.settings.Settings;
    const beganMs = performance.now();
    const stopped = direct.run.shutDown(fleet.kernels[2]!, own);
    await until.until('it takes no more', () =>
      fleet.call('/none/a', {}, 2).then(
        () => false,
        () => true,
      ),
    );
    expect(performance.now() - beganMs).to.be.below(own.graceS * 375);
    const got = await call;
    expect(got.body).to.equal(support.events(60));
    expect(got.isWhole).to.equal(true);
    await stopped;
    fleet.kernels.pop();
  });

  it('leave without cutting a request, unnamed at once', async () => {
    for (const each of fleet.endpoints) {
      each.usual = {type: 'stream', events: 40, paceMs: 25};
    }
    const call = fleet.call('/chat/a', {}, 2);
    await until.until('it runs', () => fleet.runs().length === 1);
    const own = {graceS: 4} as direct.settings.Settings;
    const stopped = direct.run.shutDown(fleet.kernels[2]!, own);
    expect((await fleet.ready(2)).status).to.equal(503);
    await until.until('the others know', async () => {
      return !(await fleet.resolveAddresses('zone-a')).includes(
        fleet.address(2),
      );
    });
    const got = await call;
    expect(got.body).to.equal(support.events(40));
    expect(got.isWhole).to.equal(true);
    await stopped;
    expect(fleet.store.keys('keyed.status')).not.to.include('router/router-2');
    fleet.kernels.pop();
  });
});

describe('a router without tables', () => {
  it('answers 503 and is not ready', async () => {
    const fleet = new support.DirectFleet();
    fleet.store.mode = 'refusing';
    const started = fleet.start(1, 1).catch(() => undefined);
    await until.until('it listens', async () => {
      return fleet.call('/read/a').then(
        got => got.status === 503,
        () => false,
      );
    });
    expect((await fleet.ready()).status).to.equal(503);
    // Callers that come back at once would only be refused again.
    await until.until('it tells callers to wait for the store', async () => {
      const {status, headers} = await fleet.call('/read/a');
      expect(status).to.equal(503);
      return Number(headers['retry-after']) >= 1;
    });
    fleet.store.mode = 'up';
    await started;
    await fleet.stop();
  });
});
