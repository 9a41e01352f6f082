/**
 * Guards against requests to endpoints of an evacuated failure domain: none is
 * begun there, whatever it waited for, and those that run there end in peace.
 */
import * as chai from 'chai';
import * as direct from '@oleanderrock/direct';
import type * as standins from '@oleanderrock/standins';
import * as support from './directfleet.js';
import * as polling from './polling.js';

const {expect} = chai;

const KEY = 'evacuate/zone-a';
const PATHS = ['/read/a', '/book/a', '/chat/a'];

describe('an evacuated failure domain', () => {
  let fleet: support.DirectFleet;
  let evacuated: standins.HostedEndpoint;
  let other: standins.HostedEndpoint;

  beforeEach(async () => {
    fleet = new support.DirectFleet();
    await fleet.start(2, 2);
    [evacuated, other] = fleet.endpoints as [
      standins.HostedEndpoint,
      standins.HostedEndpoint,
    ];
    await putZone(other, 'zone-b');
  });

  afterEach(() => fleet.stop());

  const putZone = async (endpoint: standins.HostedEndpoint, zone: string) => {
    fleet.store.put('keyed.servers', endpoint.id, {...endpoint.entry(), zone});
    await polling.until('the zone is known', () =>
      fleet.kernels.every(
        kernel =>
          kernel.find(direct.ENDPOINT_REGISTRY).find(endpoint.id)?.zone ===
          zone,
      ),
    );
  };

  const isEvacuated = (zone: string) =>
    fleet.kernels.every(kernel =>
      kernel.find(direct.EVACUATED_ZONES).isEvacuated(zone),
    );

  const evacuate = async (key = KEY, value: unknown = {}) => {
    fleet.store.put('keyed.op', key, value);
    await polling.until('the evacuation is in force', () =>
      isEvacuated(key.split('/')[1]!),
    );
  };

  const callAll = async (count = 8) => {
    const statuses = new Set<number>();
    for (let index = 0; index < count; index++) {
      for (const path of PATHS) {
        statuses.add((await fleet.call(path, {}, index % 2)).status);
      }
    }
    return [...statuses];
  };

  it('gets no request until that is withdrawn', async () => {
    await evacuate();
    expect(await callAll()).to.deep.equal([200]);
    expect(evacuated.arrivalCount).to.equal(0);
    fleet.store.put('keyed.op', KEY);
    await polling.until('it gets requests again', async () => {
      await fleet.call('/read/a');
      return evacuated.arrivalCount > 0;
    });
  });

  it('stays evacuated if what was written later cannot be read', async () => {
    await evacuate();
    fleet.store.put('keyed.op', KEY, 'x');
    fleet.store.put('keyed.op', 'evacuate/zone-b', 'x');
    fleet.store.put('keyed.op', 'config', support.config(2));
    await polling.until('version 2', () => fleet.version(1) === 2);
    expect(isEvacuated('zone-a')).to.equal(true);
    expect(await callAll()).to.deep.equal([200]);
    expect(evacuated.arrivalCount).to.equal(0);
  });

  it('completes what runs there', async () => {
    const stream = {type: 'stream', events: 40, intervalMs: 20} as const;
    fleet.setBehaviour(stream);
    const streams = [...Array(8).keys()].map(() => fleet.call('/chat/a'));
    await polling.until(
      'all streams run',
      () => fleet.runs().length === streams.length && evacuated.runs.length > 0,
    );
    const runCount = evacuated.runs.length;
    await evacuate();
    const {body} = await fleet.getReadiness(0, '/metrics');
    expect(body).to.include(
      `oleander_zone_evacuated_in_flight{zone="zone-a"} ${runCount}`,
    );
    for (const response of await Promise.all(streams)) {
      expect(response).to.include({body: support.events(40), isComplete: true});
    }
    expect(evacuated.runs).to.have.length(runCount);
  });

  it('is not sent a request that waits for its connection', async () => {
    const kernel = fleet.kernels[0]!;
    const selector = kernel.find(direct.ENDPOINT_SELECTOR);
    const select = selector.select.bind(selector);
    const zones = kernel.find(direct.EVACUATED_ZONES);
    let first: string | undefined;
    selector.select = async (request, scope) => {
      const selection = await select(request, scope);
      if (selection.type === 'selected' && first === undefined) {
        const {id, zone} = selection.choice.endpoint;
        first = id;
        const record = {zone, offset: 1_000, isEvacuated: true};
        queueMicrotask(() => zones.apply(record, 'router'));
      }
      return selection;
    };
    expect((await fleet.call('/book/a')).status).to.equal(200);
    const reached = fleet.endpoints.filter(
      ({arrivalCount}) => arrivalCount > 0,
    );
    expect(reached.map(({id}) => id)).to.have.length(1);
    expect(reached[0]!.id).not.to.equal(first);
  });

  it('is no source from which another copies a context', async () => {
    const engine = {kvTokenBytes: 327_680, linkMbps: 1_500_000};
    const services = [{name: 'pool', healthPath: '/health', engine}];
    fleet.store.put('keyed.op', 'config', support.config(2, {services}));
    await polling.until('version 2 is in force', () => fleet.version(0) === 2);
    const headers = {'prompt-prefix': 'p:9000,own:10'};
    await fleet.call('/read/a', {headers});
    const home = fleet.endpoints.find(({runs}) => runs.length === 1)!;
    const next = fleet.endpoints.find(endpoint => endpoint !== home)!;
    await evacuate(home === evacuated ? KEY : 'evacuate/zone-b');
    await fleet.call('/read/a', {headers});
    expect(next.runs).to.have.length(1);
    expect(next.runs[0]?.headers).not.to.have.property('kv-fetch');
  });

  it('leaves requests that nothing else can run refused at once', async () => {
    await evacuate();
    await evacuate('evacuate/zone-b');
    for (const path of PATHS) {
      const startMs = performance.now();
      const response = await fleet.call(path);
      expect(performance.now() - startMs).to.be.below(500);
      expect(response.status).to.equal(503);
      expect(response.body).to.include('"ran":"no"').and.include('evacuated');
      expect(Number(response.headers['retry-after'])).to.be.above(0);
    }
    expect(fleet.runs()).to.have.length(0);
  });
});
