/**
 * Guards against streams that are joined from two versions of the endpoints'
 * software: a stream that breaks off goes on at the version that began it, in
 * the same answer or when its caller takes it up at any router, or not at all.
 */
import * as chai from 'chai';
import * as direct from '@oleanderrock/direct';
import type * as standins from '@oleanderrock/standins';
import * as support from './directfleet.js';
import * as polling from './polling.js';

const {expect} = chai;

const EVENTS = 8;
const LAST_EVENT = 4;
const STREAMS = 12;

/** The versions whose events a body holds, in order. */
function versionsIn(body: string): string[] {
  const labels = [...body.matchAll(/^data: (\S+) \d+$/gm)].map(
    ([, label]) => label!,
  );
  return [...new Set(labels)];
}

describe('a stream of one of several versions', () => {
  let fleet: support.DirectFleet;
  let streamCount = 0;

  beforeEach(async () => {
    fleet = new support.DirectFleet();
    await fleet.addEndpoint('other');
    await fleet.start(0, 2, {}, {isFirstStart: 'true'});
  });

  afterEach(() => fleet.stop());

  const knows = (id: string, isListed: boolean) =>
    fleet.kernels.every(kernel => {
      const endpoint = kernel.find(direct.ENDPOINT_REGISTRY).find(id);
      return (endpoint !== undefined) === isListed;
    });

  const add = async (version: string): Promise<standins.HostedEndpoint> => {
    const endpoint = await fleet.addEndpoint('pool', version);
    endpoint.defaultBehaviour = {
      type: 'stream',
      events: EVENTS,
      label: version,
    };
    await polling.until('it is known', () => knows(endpoint.id, true));
    return endpoint;
  };

  const remove = async ({id}: standins.HostedEndpoint) => {
    fleet.store.putEndpoint(id);
    await polling.until('it is gone', () => knows(id, false));
  };

  const configure = async (overrides: standins.HostedConfigFields) => {
    const version = fleet.version(0) + 1;
    fleet.store.put('keyed.op', 'config', support.config(version, overrides));
    await polling.until('the configuration is in force', () =>
      [0, 1].every(router => fleet.version(router) === version),
    );
  };

  /** Streams that all routers began, by attempt id, with their versions. */
  const beginStreams = async (count = STREAMS, path = '/chat/a') => {
    const begun = new Map<string, string>();
    for (let index = 0; index < count; index++) {
      streamCount += 1;
      const id = `stream-${streamCount}`;
      const headers = {'attempt-id': id};
      const {body} = await fleet.call(path, {headers}, index % 2);
      begun.set(id, versionsIn(body).join());
    }
    return begun;
  };

  const takeUp = (id: string, router: number, path = '/chat/a') =>
    fleet.call(
      path,
      {headers: {'last-event-id': String(LAST_EVENT), resumes: id}},
      router,
    );

  const loseRouters = async () => {
    await Promise.all(fleet.kernels.map(kernel => kernel.stop()));
    fleet.kernels.length = 0;
    await fleet.addRouter();
    await fleet.addRouter();
    await polling.until('the routers are ready', () =>
      [0, 1].every(router => fleet.phase(router) === 'ready'),
    );
  };

  /** Adds an endpoint that breaks off each stream that begins there. */
  const addBreaking = async (version: string) => {
    const endpoint = await add(version);
    endpoint.chooseBehaviour = ({headers}) => ({
      type: 'stream',
      events: EVENTS,
      label: version,
      cutInEvent: headers['last-event-id'] ? undefined : LAST_EVENT + 1,
    });
  };

  it('goes on at its version if it breaks off within its answer', async () => {
    for (const version of ['v1', 'v2', 'v1', 'v2']) await addBreaking(version);
    for (let index = 0; index < STREAMS; index++) {
      const {body, isComplete} = await fleet.call('/chat/a', {}, index % 2);
      expect(versionsIn(body)).to.have.length(1);
      expect(isComplete).to.equal(true);
    }
  });

  it('is broken off if no endpoint of its version is left', async () => {
    for (const version of ['v1', 'v2']) await addBreaking(version);
    for (let index = 0; index < STREAMS; index++) {
      const {body, isComplete} = await fleet.call('/chat/a', {}, index % 2);
      expect(versionsIn(body)).to.have.length(1);
      expect(isComplete).to.equal(false);
    }
  });

  it('goes on at its version if its caller takes it up elsewhere', async () => {
    for (const version of ['v1', 'v2']) await add(version);
    const begun = await beginStreams();
    expect(new Set(begun.values()).size).to.equal(2);
    for (const [id, version] of begun) {
      for (const router of [0, 1]) {
        const {status, body} = await takeUp(id, router);
        expect(status).to.equal(200);
        expect(versionsIn(body)).to.deep.equal([version]);
      }
    }
  });

  it('goes on at its version if only its caller may take it up', async () => {
    for (const version of ['v1', 'v2']) await add(version);
    const begun = await beginStreams(STREAMS, '/once/a');
    for (const [id, version] of begun) {
      for (const router of [0, 1]) {
        const {status, body} = await takeUp(id, router, '/once/a');
        expect(status).to.equal(200);
        expect(versionsIn(body)).to.deep.equal([version]);
      }
    }
  });

  it('goes on at its version if that came second', async () => {
    await add('v1');
    const begun = await beginStreams();
    await add('v2');
    for (const [id, version] of begun) {
      const {status, body} = await takeUp(id, 1);
      expect(status).to.equal(200);
      expect(versionsIn(body)).to.deep.equal([version]);
    }
  });

  it('is refused once its version has left', async () => {
    const old = await add('v1');
    const begun = await beginStreams();
    await add('v2');
    await remove(old);
    const runs = fleet.runs().length;
    for (const id of begun.keys()) {
      for (const router of [0, 1]) {
        const {status, body} = await takeUp(id, router);
        expect(status).to.equal(503);
        expect(JSON.parse(body)).to.include({kind: 'version_gone', ran: 'no'});
      }
    }
    expect(fleet.runs()).to.have.length(runs);
  });

  it('is refused after the loss of all routers, its version having left', async () => {
    const old = await add('v1');
    const begun = await beginStreams();
    await add('v2');
    await remove(old);
    await loseRouters();
    const runs = fleet.runs().length;
    for (const id of begun.keys()) {
      const {status, body} = await takeUp(id, 1);
      expect(status).to.equal(503);
      expect(JSON.parse(body)).to.include({kind: 'stream_unknown', ran: 'no'});
    }
    expect(fleet.runs()).to.have.length(runs);
  });

  it('goes on after the loss of all routers if there is one version', async () => {
    await add('v1');
    const begun = await beginStreams();
    await polling.until('the version is recorded', () =>
      fleet.store.requestUrls.some(url => /append.*keyed\.versions/.test(url)),
    );
    await loseRouters();
    for (const id of begun.keys()) {
      const {status, body} = await takeUp(id, 1);
      expect(status).to.equal(200);
      expect(versionsIn(body)).to.deep.equal(['v1']);
    }
  });

  it('goes on in its pool if its route has several', async () => {
    const split = [
      {service: 'pool', weight: 1},
      {service: 'canary', weight: 1},
    ];
    for (const [pool, version] of [
      ['pool', 'v1'],
      ['canary', 'v2'],
    ] as const) {
      const endpoint = await fleet.addEndpoint(pool, version);
      endpoint.defaultBehaviour = {
        type: 'stream',
        events: EVENTS,
        label: version,
      };
      await polling.until('it is known', () => knows(endpoint.id, true));
    }
    const routes = [support.route('/chat/', 'streaming', {split})];
    await configure({routes});
    const begun = await beginStreams();
    expect(new Set(begun.values()).size).to.equal(2);
    for (const [id, version] of begun) {
      for (const router of [0, 1]) {
        const {status, body} = await takeUp(id, router);
        expect(status).to.equal(200);
        expect(versionsIn(body)).to.deep.equal([version]);
      }
    }
  });

  it('is not confused with others if callers send empty ids', async () => {
    for (const version of ['v1', 'v2']) await add(version);
    for (let index = 0; index < 2; index++) {
      await fleet.call('/chat/a', {headers: {resumes: ''}}, index);
    }
    const unnamed = {'last-event-id': String(LAST_EVENT)};
    for (const router of [0, 1]) {
      for (const headers of [unnamed, {...unnamed, resumes: ''}]) {
        const {status} = await fleet.call('/chat/a', {headers}, router);
        expect(status).to.equal(503);
      }
    }
  });

  it('begins if its caller sends an empty id of the last event', async () => {
    for (const version of ['v1', 'v2']) await add(version);
    const {status} = await fleet.call('/chat/a', {
      headers: {'last-event-id': ''},
    });
    expect(status).to.equal(200);
  });

  it('is not given up as silent if no other endpoint may continue it', async () => {
    const routes = [support.route('/chat/', 'streaming', {timeoutMs: 10_000})];
    await configure({routes});
    const pausingMs = 2_200;
    for (const version of ['v1', 'v2']) {
      const endpoint = await add(version);
      endpoint.defaultBehaviour = {
        type: 'stream',
        events: 2,
        intervalMs: pausingMs,
        label: version,
      };
    }
    const {body, isComplete} = await fleet.call('/chat/a', {
      headers: {'deadline-ms': '10000'},
    });
    expect(versionsIn(body)).to.have.length(1);
    expect(isComplete).to.equal(true);
  });

  it('is not begun on a context that another version wrote', async () => {
    const engine = {kvTokenBytes: 327_680, linkMbps: 1_500_000};
    const services = [{name: 'pool', healthPath: '/health', engine}];
    fleet.store.put('keyed.op', 'config', support.config(2, {services}));
    await polling.until('version 2 is in force', () => fleet.version(0) === 2);
    const headers = {'prompt-prefix': 'p:9000,own:10'};
    const copiesOf = async (version: string) => {
      const endpoint = await add(version);
      fleet.store.putEndpoint(endpoint.id, endpoint.entry());
      for (const other of fleet.endpoints.slice(1)) {
        if (other === endpoint) continue;
        fleet.store.putEndpoint(other.id, other.entry('draining'));
      }
      await polling.until('it runs a request', async () => {
        await fleet.call('/chat/a', {headers});
        return endpoint.runs.length > 0;
      });
      return endpoint.runs[0]!.headers['kv-fetch'];
    };
    expect(await copiesOf('v1')).to.equal(undefined);
    expect(await copiesOf('v1')).not.to.equal(undefined);
    expect(await copiesOf('v2')).to.equal(undefined);
  });
});
