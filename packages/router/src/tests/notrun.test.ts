/** "Not run" is true: no endpoint counted a request that was refused so. */
import * as chai from 'chai';
import * as core from '@oleanderrock/core';
import type * as standins from '@oleanderrock/standins';
import * as uuid from 'uuid';
import * as v from 'valibot';
import * as support from './faultsupport.js';

const {expect} = chai;
const MAX_BODY_BYTES = 4_096;
const MINUTE_MS = 60_000;
const ENDPOINTS = ['e1', 's1'];

const countsSchema = v.object({
  runs_by_request: v.record(v.string(), v.number()),
});

interface Ask {
  readonly path: string;
  readonly headers?: Record<string, string>;
  readonly body?: string;
}

/** A kind, how to bring it about, and what to set up and undo. */
interface Case {
  readonly kind: core.Kind;
  /** Made when it is sent, since keys carry their time. */
  readonly ask: () => Ask;
  readonly setUp?: (fleet: standins.Fleet) => Promise<unknown>;
  readonly tearDown?: (fleet: standins.Fleet) => Promise<unknown>;
}

function keyed(key: string): Ask {
  return {path: '/order', headers: {'idempotency-key': key}, body: '{}'};
}

function keyAt(msecs: number): Ask {
  return keyed(uuid.v7({msecs}));
}

function rows() {
  const pool = (name: string, more: object) => ['pools', {name, ...more}];
  const route = (name: string, more: object) => [
    'routes',
    {name, match: {path_prefix: `/${name}`}, ...more},
  ];
  const one = {endpoints: ['e1'], max_in_flight: 1};
  return [
    pool('none', {}),
    pool('one', one),
    pool('lineless', {...one, max_queued: 0}),
    pool('dead', {endpoints: ['gone']}),
    route('none', {pool: 'none'}),
    route('atonce', {pool: 'one'}),
    route('brief', {pool: 'one', wait_ms: 50}),
    route('lineless', {pool: 'lineless', wait_ms: 50}),
    route('dead', {pool: 'dead'}),
    ['customers', {name: 'broke', requests_per_minute: 0}],
  ] as Array<readonly [core.TableName, support.Row]>;
}

/** Keeps the engine's one place taken until the engine is released. */
async function occupy(fleet: standins.Fleet): Promise<void> {
  await fleet.control('e1', {slow_ms: 1_500});
  const [address] = fleet.addresses();
  void support.call(address!, '/atonce', {body: '{}'});
  await support.until(
    async () => (await support.counts(fleet, 'e1')).in_flight > 0,
  );
}

async function release(fleet: standins.Fleet): Promise<void> {
  await fleet.control('e1', {slow_ms: 0});
  await support.until(
    async () => (await support.counts(fleet, 'e1')).in_flight === 0,
  );
}

const CASES: readonly Case[] = [
  {kind: 'no_route', ask: () => ({path: '/nowhere'})},
  {
    kind: 'bad_request',
    ask: () => ({path: '/chat', headers: {'oleander-chat': 'a b'}}),
  },
  {
    kind: 'too_large',
    ask: () => ({path: '/chat', body: 'x'.repeat(MAX_BODY_BYTES + 1)}),
  },
  {kind: 'key_required', ask: () => ({path: '/order', body: '{}'})},
  {kind: 'key_invalid', ask: () => keyed('no-such-key')},
  {kind: 'key_expired', ask: () => keyAt(Date.now() - 11 * MINUTE_MS)},
  {kind: 'key_from_future', ask: () => keyAt(Date.now() + MINUTE_MS)},
  {
    kind: 'customer_limit',
    ask: () => ({path: '/chat', headers: {'oleander-customer': 'broke'}}),
  },
  {kind: 'pool_empty', ask: () => ({path: '/none'})},
  {kind: 'endpoint_unreachable', ask: () => ({path: '/dead', body: '{}'})},
  {
    kind: 'endpoint_refused',
    ask: () => keyed(core.createId()),
    setUp: fleet => fleet.control('s1', {refuse: true}),
    tearDown: fleet => fleet.control('s1', {refuse: false}),
  },
  {
    kind: 'log_unavailable',
    ask: () => keyed(core.createId()),
    setUp: fleet => fleet.controlPlatform({log_down: true}),
    tearDown: fleet => fleet.controlPlatform({log_down: false}),
  },
  ...(
    [
      ['saturated', '/atonce'],
      ['wait_timeout', '/brief'],
      ['queue_full', '/lineless'],
    ] as const
  ).map(([kind, path]) => ({
    kind,
    ask: () => ({path, body: '{}'}),
    setUp: occupy,
    tearDown: release,
  })),
];

/** Kinds of callers' requests whose failure another file produces. */
const ELSEWHERE: Partial<Record<core.Kind, string>> = {
  draining: 'leaving.test.ts',
  hop_limit: 'owners.test.ts',
  not_owner: 'lists.test.ts',
  not_ready: 'inforce.test.ts',
  stale_config: 'inforce.test.ts',
  poison: 'poison.test.ts',
  quarantined: 'direct.test.ts',
};

/** Kinds of the administration interface and of the peers' port. */
const NOT_FOR_CALLERS: readonly core.Kind[] = [
  'unauthorized',
  'not_found',
  'method_not_allowed',
  'edit_conflict',
  'edit_invalid',
  'precondition_failed',
  'precondition_required',
];

describe('not run', () => {
  let fleet: standins.Fleet;

  before(async function () {
    this.timeout(30_000);
    fleet = await support.startFleet({
      routers: 2,
      engines: 1,
      services: 1,
      routerFlags: ['--max-body-bytes', String(MAX_BODY_BYTES)],
      pool: {load_multiple: 10},
    });
    const gone = await fleet.addEngine({name: 'gone'});
    await fleet.kill(gone.name);
    await support.edit(fleet, rows());
    await support.ready(fleet, '/dead');
  });

  after(() => fleet.stop());

  async function countOf(id: string): Promise<number> {
    let sum = 0;
    for (const name of ENDPOINTS) {
      const counts = v.parse(countsSchema, await fleet.stats(name));
      sum += counts.runs_by_request[id] ?? 0;
    }
    return sum;
  }

  for (const {kind, ask, setUp, tearDown} of CASES) {
    it(`is true of ${kind}`, async () => {
      await setUp?.(fleet);
      const {path, ...options} = ask();
      const [address] = fleet.addresses();
      const answer = await support.call(address!, path, options);
      await tearDown?.(fleet);
      const problem = v.parse(core.problemSchema, JSON.parse(answer.text));
      expect(problem.kind).to.equal(kind);
      expect(problem.ran).to.equal('no');
      expect(answer.status).to.equal(core.ANSWERS[kind].status);
      expect(await countOf(problem.request_id)).to.equal(0);
    });
  }

  it('counts a request that did run', async () => {
    const [address] = fleet.addresses();
    const answer = await support.call(address!, '/chat', {body: '{}'});
    const id = String(answer.headers[core.headers.REQUEST_ID]);
    expect(await countOf(id)).to.equal(1);
  });

  it('is produced for every kind that says so, but for those named', () => {
    const produced = new Set<core.Kind>(CASES.map(({kind}) => kind));
    const open = core.KINDS.filter(kind => core.ANSWERS[kind].ran === 'no')
      .filter(kind => !produced.has(kind) && !(kind in ELSEWHERE))
      .filter(kind => !NOT_FOR_CALLERS.includes(kind));
    expect(open).to.deep.equal(['peer_unreachable']);
  });
});
