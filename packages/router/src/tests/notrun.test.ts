/**
 * Guards against `ran: no` in the answer to a request that an endpoint did run.
 * The endpoints count their runs by request id.
 */
import * as chai from 'chai';
import * as core from '@oleanderrock/core';
import type * as standins from '@oleanderrock/standins';
import * as uuid from 'uuid';
import * as v from 'valibot';
import * as faultSupport from './faultsupport.js';

const {expect} = chai;
const MAX_BODY_BYTES = 4_096;
const MINUTE_MS = 60_000;
const ENDPOINTS = ['e1', 's1'];

const countsSchema = v.object({
  runs_by_request: v.record(v.string(), v.number()),
});

interface TestRequest {
  readonly path: string;
  readonly headers?: Record<string, string>;
  readonly body?: string;
}

/** Error kind and the request that produces it, with set-up and tear-down. */
interface Case {
  readonly kind: core.ErrorKind;
  /** Called just before sending, since keys carry their creation time. */
  readonly createRequest: () => TestRequest;
  readonly setUp?: (fleet: standins.Fleet) => Promise<unknown>;
  readonly tearDown?: (fleet: standins.Fleet) => Promise<unknown>;
}

function requestWithKey(key: string): TestRequest {
  return {path: '/order', headers: {'idempotency-key': key}, body: '{}'};
}

function requestWithKeyCreatedAt(msecs: number): TestRequest {
  return requestWithKey(uuid.v7({msecs}));
}

function createRows() {
  const pool = (name: string, fields: object) => ['pools', {name, ...fields}];
  const route = (name: string, fields: object) => [
    'routes',
    {name, match: {path_prefix: `/${name}`}, ...fields},
  ];
  const singleSlot = {endpoints: ['e1'], max_in_flight: 1};
  return [
    pool('none', {}),
    pool('one', singleSlot),
    pool('queueless', {...singleSlot, max_queued: 0}),
    pool('dead', {endpoints: ['gone']}),
    route('none', {pool: 'none'}),
    route('atonce', {pool: 'one'}),
    route('brief', {pool: 'one', wait_ms: 50}),
    route('queueless', {pool: 'queueless', wait_ms: 50}),
    route('dead', {pool: 'dead'}),
    ['customers', {name: 'broke', requests_per_minute: 0}],
  ] as Array<readonly [core.TableName, faultSupport.Row]>;
}

/** Occupies the engine's only slot until `release` is called. */
async function occupy(fleet: standins.Fleet): Promise<void> {
  await fleet.setFaults('e1', {slow_ms: 1_500});
  const [address] = fleet.entryAddresses();
  void faultSupport.call(address!, '/atonce', {body: '{}'});
  await faultSupport.until(
    async () => (await faultSupport.readCounts(fleet, 'e1')).in_flight > 0,
  );
}

async function release(fleet: standins.Fleet): Promise<void> {
  await fleet.setFaults('e1', {slow_ms: 0});
  await faultSupport.until(
    async () => (await faultSupport.readCounts(fleet, 'e1')).in_flight === 0,
  );
}

const CASES: readonly Case[] = [
  {kind: 'no_route', createRequest: () => ({path: '/nowhere'})},
  {
    kind: 'bad_request',
    createRequest: () => ({path: '/chat', headers: {'oleander-chat': 'a b'}}),
  },
  {
    kind: 'too_large',
    createRequest: () => ({
      path: '/chat',
      body: 'x'.repeat(MAX_BODY_BYTES + 1),
    }),
  },
  {kind: 'key_required', createRequest: () => ({path: '/order', body: '{}'})},
  {kind: 'key_invalid', createRequest: () => requestWithKey('no-such-key')},
  {
    kind: 'key_expired',
    createRequest: () => requestWithKeyCreatedAt(Date.now() - 11 * MINUTE_MS),
  },
  {
    kind: 'key_from_future',
    createRequest: () => requestWithKeyCreatedAt(Date.now() + MINUTE_MS),
  },
  {
    kind: 'customer_limit',
    createRequest: () => ({
      path: '/chat',
      headers: {'oleander-customer': 'broke'},
    }),
  },
  {kind: 'pool_empty', createRequest: () => ({path: '/none'})},
  {
    kind: 'endpoint_unreachable',
    createRequest: () => ({path: '/dead', body: '{}'}),
  },
  {
    kind: 'endpoint_refused',
    createRequest: () => requestWithKey(core.createId()),
    setUp: fleet => fleet.setFaults('s1', {refuse: true}),
    tearDown: fleet => fleet.setFaults('s1', {refuse: false}),
  },
  {
    kind: 'log_unavailable',
    createRequest: () => requestWithKey(core.createId()),
    setUp: fleet => fleet.setPlatformFaults({log_down: true}),
    tearDown: fleet => fleet.setPlatformFaults({log_down: false}),
  },
  ...(
    [
      ['saturated', '/atonce'],
      ['wait_timeout', '/brief'],
      ['queue_full', '/queueless'],
    ] as const
  ).map(([kind, path]) => ({
    kind,
    createRequest: () => ({path, body: '{}'}),
    setUp: occupy,
    tearDown: release,
  })),
];

/** Test files that cover the other kinds with `ran: no`. */
const TESTED_ELSEWHERE: Partial<Record<core.ErrorKind, string>> = {
  draining: 'leaving.test.ts',
  head_too_large: 'badinput.test.ts',
  hop_limit: 'owners.test.ts',
  not_owner: 'lists.test.ts',
  not_ready: 'inforce.test.ts',
  overloaded: 'overloaded.test.ts',
  stale_config: 'inforce.test.ts',
  poison: 'poison.test.ts',
  request_timeout: 'badinput.test.ts',
  quarantined: 'direct.test.ts',
  stream_unknown: 'directversions.test.ts',
  version_gone: 'directversions.test.ts',
};

/** Kinds that only the administration interface and the peer port return. */
const NOT_SENT_TO_CALLERS: readonly core.ErrorKind[] = [
  'unauthorized',
  'not_found',
  'method_not_allowed',
  'edit_conflict',
  'edit_invalid',
  'precondition_failed',
  'precondition_required',
];

describe('an answer with ran: no', () => {
  let fleet: standins.Fleet;

  before(async function () {
    this.timeout(30_000);
    fleet = await faultSupport.startFleet({
      routers: 2,
      engines: 1,
      services: 1,
      routerFlags: ['--max-body-bytes', String(MAX_BODY_BYTES)],
      pool: {load_multiple: 10},
    });
    const killedEngine = await fleet.addEngine({name: 'gone'});
    await fleet.kill(killedEngine.name);
    await faultSupport.createRows(fleet, createRows());
    await faultSupport.waitForRoute(fleet, '/dead');
  });

  after(() => fleet.stop());

  async function countRuns(id: string): Promise<number> {
    let sum = 0;
    for (const name of ENDPOINTS) {
      const counts = v.parse(countsSchema, await fleet.stats(name));
      sum += counts.runs_by_request[id] ?? 0;
    }
    return sum;
  }

  for (const {kind, createRequest, setUp, tearDown} of CASES) {
    it(`is true for ${kind}`, async () => {
      await setUp?.(fleet);
      const {path, ...options} = createRequest();
      const [address] = fleet.entryAddresses();
      const answer = await faultSupport.call(address!, path, options);
      await tearDown?.(fleet);
      const problem = v.parse(core.problemSchema, JSON.parse(answer.text));
      expect(problem.kind).to.equal(kind);
      expect(problem.ran).to.equal('no');
      expect(answer.status).to.equal(core.ERROR_RESPONSES[kind].status);
      expect(await countRuns(problem.request_id)).to.equal(0);
    });
  }

  it('is checked against counts that include a request that ran', async () => {
    const [address] = fleet.entryAddresses();
    const answer = await faultSupport.call(address!, '/chat', {body: '{}'});
    const id = String(answer.headers[core.headers.REQUEST_ID]);
    expect(await countRuns(id)).to.equal(1);
  });

  it('is tested for every kind with ran: no except peer_unreachable', () => {
    const testedKinds = new Set<core.ErrorKind>(CASES.map(({kind}) => kind));
    const untested = core.ERROR_KINDS.filter(
      kind => core.ERROR_RESPONSES[kind].ran === 'no',
    )
      .filter(kind => !testedKinds.has(kind) && !(kind in TESTED_ELSEWHERE))
      .filter(kind => !NOT_SENT_TO_CALLERS.includes(kind));
    expect(untested).to.deep.equal(['peer_unreachable']);
  });
});
