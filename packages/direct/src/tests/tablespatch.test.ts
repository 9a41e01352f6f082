/**
 * Property tests of patches: whatever way a version reaches a router, requests
 * are matched as the whole tables of that version match them.
 */
import * as chai from 'chai';
import * as core from '@oleanderrock/core';
import * as fc from 'fast-check';
import * as v from 'valibot';
import * as direct from '../index.js';
import * as tablesPatch from '../tablespatch.js';

const {expect} = chai;

const PROPERTY_PARAMETERS = {seed: 20_261_205, numRuns: 500};

const HOSTS = ['a.example', 'A.Example', 'b.example'];
const PREFIXES = ['/', '/x/', '/x/y/', '/x/yz/', '/w/'];
const PATHS = ['/', '/x/', '/x/y', '/x/y/z?q=/w/', '/x/yz/1', '/w/1', '/v', ''];
const KEYS = ['k1', 'k2', 'k3', 'k4', 'k5', '__proto__'];
const NAMES = ['n1', 'n2', 'n3', 'n4', 'n5', 'n6', '__proto__', '7'];

/** A version without its number. */
type Content = Omit<direct.Tables, 'version'>;

const routeArbitrary = fc.record({
  name: fc.constantFrom(...NAMES),
  host: fc.constantFrom(...HOSTS),
  pathPrefix: fc.constantFrom(...PREFIXES),
  pools: fc.array(
    fc.record({name: fc.constantFrom('p', 'q'), weight: fc.nat(3)}),
    {minLength: 1, maxLength: 2},
  ),
  repeat: fc.constantFrom('idempotent' as const, 'once' as const),
  isResumable: fc.boolean(),
  maxRuns: fc.nat(3),
  timeoutMs: fc.nat(3),
  goalMs: fc.nat(3),
  priority: fc.nat(9),
  isPublic: fc.boolean(),
});

const customerArbitrary = fc.record(
  {
    name: fc.constantFrom(...NAMES),
    keys: fc.uniqueArray(fc.constantFrom(...KEYS), {maxLength: 4}),
    priority: fc.option(fc.nat(9), {nil: undefined}),
  },
  {requiredKeys: ['name', 'keys']},
);

/** Tables in which names, host with prefix, and keys are unique. */
const contentArbitrary: fc.Arbitrary<Content> = fc
  .record({
    routes: fc.uniqueArray(routeArbitrary, {
      maxLength: 8,
      selector: ({name}) => name,
    }),
    pools: fc.uniqueArray(
      fc.record({name: fc.constantFrom('p', 'q'), copyUsPerToken: fc.nat(9)}),
      {selector: ({name}) => name},
    ),
    customers: fc.option(
      fc.uniqueArray(customerArbitrary, {
        maxLength: 5,
        selector: ({name}) => name,
      }),
      {nil: undefined},
    ),
    limits: fc.record({maxBodyBytes: fc.nat(9), idleMs: fc.nat(9)}),
  })
  .map(content => ({
    ...content,
    routes: uniqueBy(
      content.routes,
      ({host, pathPrefix}) => `${host.toLowerCase()} ${pathPrefix}`,
    ),
    customers: content.customers && withoutSharedKeys(content.customers),
  }));

function uniqueBy<T>(rows: readonly T[], keyOf: (row: T) => string): T[] {
  return [...new Map(rows.map(row => [keyOf(row), row])).values()];
}

function withoutSharedKeys(customers: direct.Customer[]): direct.Customer[] {
  const taken = new Set<string>();
  return customers.map(customer => {
    const keys = customer.keys.filter(key => !taken.has(key));
    for (const key of keys) taken.add(key);
    return {...customer, keys};
  });
}

function createRouter(): direct.IndexedTables {
  const kernel = new core.Kernel();
  kernel.register(core.LOGGER, new core.SilentLogger());
  kernel.register(core.CLOCK, new core.SystemClock());
  return new direct.IndexedTables(kernel);
}

/** How all requests are matched; undefined without tables. */
function behaviour(tables: direct.IndexedTables): unknown {
  const current = tables.current();
  if (!current) return undefined;
  const needsKeys = current.customers !== undefined;
  return {
    routes: HOSTS.flatMap(host =>
      PATHS.map(path => tables.findRoute(host, path)),
    ),
    holders: needsKeys && KEYS.map(key => tables.findKeyHolder(key)),
    needsKeys,
    copyUs: ['p', 'q'].map(name => tables.copyUsPerToken(name)),
    limits: current.limits,
    version: current.version,
  };
}

/** What JSON keeps; an absent priority equals one that is undefined. */
function toPlain(value: unknown): unknown {
  return value === undefined ? value : JSON.parse(JSON.stringify(value));
}

function expectTables(
  router: direct.IndexedTables,
  whole: direct.Tables,
): void {
  const reference = createRouter();
  reference.activate(whole, 'reference');
  expect(toPlain(behaviour(router))).to.deep.equal(
    toPlain(behaviour(reference)),
  );
}

/** The tables and patches as another router receives them. */
function overTheWire(
  sender: direct.IndexedTables,
  version: number,
): direct.tablesUpdate.TablesUpdate {
  const kernel = new core.Kernel();
  kernel.register(direct.ACTIVE_TABLES, sender);
  const update = direct.tablesUpdate.collect(kernel, version);
  const text = JSON.stringify(update);
  return v.parse(direct.tablesUpdate.tablesUpdateSchema, JSON.parse(text));
}

function fetchFrom(
  sender: direct.IndexedTables,
  receiver: direct.IndexedTables,
): void {
  const {tables, patches = []} = overTheWire(sender, receiver.version());
  if (tables) receiver.activate(tables, 'router');
  else receiver.applyPatches(patches, 'router');
}

function manyRoutes(count: number): direct.Route[] {
  return [...Array(count).keys()].map(index => ({
    name: `route-${index}`,
    host: 'a.example',
    pathPrefix: `/r${index}/`,
    pools: [{name: 'p', weight: 1}],
    repeat: 'idempotent',
    isResumable: false,
    maxRuns: 1,
    timeoutMs: 1,
    goalMs: 1,
    priority: 1,
    isPublic: false,
  }));
}

function largeTables(version: number, routes: number): direct.Tables {
  const limits = {maxBodyBytes: 1, idleMs: version};
  return {version, routes: manyRoutes(routes), pools: [], limits};
}

describe('a patch of the tables', () => {
  it('leads to tables that match requests as the next version does', () => {
    fc.assert(
      fc.property(contentArbitrary, contentArbitrary, (base, next) => {
        const baseTables = {...base, version: 1};
        const nextTables = {...next, version: 3};
        const patch = tablesPatch.diffTables(baseTables, nextTables);
        if (!patch) return;
        const received = v.parse(
          tablesPatch.tablesPatchSchema,
          JSON.parse(JSON.stringify(patch)),
        );
        const router = createRouter();
        router.activate(baseTables, 'store');
        expect(router.applyPatches([received], 'router')).to.equal(true);
        expectTables(router, nextTables);
      }),
      PROPERTY_PARAMETERS,
    );
  });

  it('leads to the rows of the next version, in any order', () => {
    const sorted = (rows: ReadonlyArray<{readonly name: string}> = []) =>
      [...rows].sort((a, b) => (a.name < b.name ? -1 : 1));
    fc.assert(
      fc.property(contentArbitrary, contentArbitrary, (base, next) => {
        const nextTables = {...next, version: 2};
        const patch = tablesPatch.diffTables({...base, version: 1}, nextTables);
        if (!patch) return;
        const patched = tablesPatch.applyPatch({...base, version: 1}, patch)!;
        for (const table of ['routes', 'pools', 'customers'] as const) {
          expect(toPlain(sorted(patched[table]))).to.deep.equal(
            toPlain(sorted(nextTables[table])),
          );
        }
      }),
      PROPERTY_PARAMETERS,
    );
  });

  it('keeps the order of rows where it decides: two routes of the same host and prefix, or two holders of a key', () => {
    const [first, second] = manyRoutes(2).map(route => ({
      ...route,
      pathPrefix: '/',
    }));
    const customers = ['c', 'd'].map(name => ({name, keys: ['k']}));
    const limits = {maxBodyBytes: 1, idleMs: 1};
    const base = {version: 1, pools: [], limits};
    const router = createRouter();
    const whole = createRouter();
    const baseTables = {...base, routes: [first!, second!], customers};
    const nextTables = {
      ...base,
      version: 2,
      routes: [second!, first!],
      customers: [...customers].reverse(),
    };
    router.activate(baseTables, 'store');
    whole.activate(nextTables, 'store');
    const patch = tablesPatch.diffTables(baseTables, nextTables);
    // Without a patch, the whole tables are sent.
    if (patch) router.applyPatches([patch], 'router');
    else router.activate(nextTables, 'router');
    expect(router.findKeyHolder('k')).to.deep.equal(whole.findKeyHolder('k'));
    expect(router.findRoute('a.example', '/x')?.name).to.equal(
      whole.findRoute('a.example', '/x')?.name,
    );
  });
});

describe('versions that reach routers in several ways', () => {
  it('match requests as the whole tables of the version in force, whoever skipped what', () => {
    const ROUTERS = 4;
    const action = fc.record({
      router: fc.nat(ROUTERS - 1),
      /** The router to fetch from; the own number: read the store. */
      from: fc.nat(ROUTERS - 1),
      isNewVersion: fc.boolean(),
    });
    fc.assert(
      fc.property(
        fc.array(contentArbitrary, {minLength: 2, maxLength: 16}),
        fc.array(action, {maxLength: 60}),
        (contents, actions) => {
          const versions = contents.map((content, index) => ({
            ...content,
            version: index * 3 + 1,
          }));
          const routers = [...Array(ROUTERS).keys()].map(() => createRouter());
          let newest = 0;
          for (const {router: index, from, isNewVersion} of actions) {
            if (isNewVersion) {
              newest = Math.min(newest + 1, versions.length - 1);
            }
            const router = routers[index]!;
            const before = router.version();
            if (from === index) router.activate(versions[newest]!, 'store');
            else fetchFrom(routers[from]!, router);
            const sender = routers[from]!.version();
            expect(router.version()).to.equal(Math.max(before, sender));
            if (router.version() === direct.NO_VERSION) continue;
            const whole = versions.find(
              ({version}) => version === router.version(),
            );
            expectTables(router, whole!);
          }
        },
      ),
      PROPERTY_PARAMETERS,
    );
  });

  it('match requests as the whole tables after more rows changed than a patch may hold', () => {
    const sender = createRouter();
    const receiver = createRouter();
    sender.activate(largeTables(1, 50), 'store');
    fetchFrom(sender, receiver);
    for (const [version, routes] of [
      [2, 49],
      [3, 249],
      [4, 250],
      [5, 10],
      [6, 400],
      [7, 401],
    ] as const) {
      sender.activate(largeTables(version, routes), 'store');
      if (version % 2 === 0) continue;
      fetchFrom(sender, receiver);
      expectTables(receiver, largeTables(version, routes));
    }
  });
});

describe('the state for a router with another history', () => {
  it('holds no tables if that router has a newer version', () => {
    const behind = createRouter();
    behind.activate(largeTables(1, 300), 'store');
    const state = overTheWire(behind, 2);
    expect(state.tables, 'tables that are not newer').to.equal(undefined);
  });

  it('holds no more rows than differ if that router skipped other versions of a storm', () => {
    // Two readers of the store see other versions of a storm.
    const [sender, receiver] = [createRouter(), createRouter()];
    for (const version of [1, 4, 7]) {
      sender.activate(largeTables(version, 300), 'store');
    }
    for (const version of [1, 3, 6]) {
      receiver.activate(largeTables(version, 300), 'store');
    }
    const {tables} = overTheWire(sender, receiver.version());
    expect(tables?.routes.length ?? 0, 'rows sent').to.be.at.most(10);
  });

  it('holds the patches of a small version that followed a large one', () => {
    const sender = createRouter();
    sender.activate(largeTables(1, 300), 'store');
    sender.activate(largeTables(2, 600), 'store');
    sender.activate(largeTables(3, 601), 'store');
    expect(overTheWire(sender, 2).tables).to.equal(undefined);
  });
});
