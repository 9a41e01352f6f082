/**
 * Property tests of patches: whatever way a version reaches a router, requests
 * are matched as the whole tables of that version match them.
 */
import * as chai from 'chai';
import * as fc from 'fast-check';
import * as v from 'valibot';
import * as direct from '../index.js';
import * as tablesPatch from '../tablespatch.js';
import * as routedTables from './routedtables.js';

const {expect} = chai;

const PROPERTY_PARAMETERS = {seed: 20_261_205, numRuns: 500};

describe('a patch of the tables', () => {
  it('leads to tables that match requests as the next version does', () => {
    fc.assert(
      fc.property(
        routedTables.contentArbitrary,
        routedTables.contentArbitrary,
        (base, next) => {
          const baseTables = {...base, version: 1};
          const nextTables = {...next, version: 3};
          const patch = tablesPatch.diffTables(baseTables, nextTables);
          if (!patch) return;
          const received = v.parse(
            tablesPatch.tablesPatchSchema,
            JSON.parse(JSON.stringify(patch)),
          );
          const router = routedTables.createRouter();
          router.activate(baseTables, 'store');
          expect(router.applyPatches([received], 'router')).to.equal(true);
          routedTables.expectTables(router, nextTables);
        },
      ),
      PROPERTY_PARAMETERS,
    );
  });

  it('leads to the rows of the next version, in any order', () => {
    const sorted = (rows: ReadonlyArray<{readonly name: string}> = []) =>
      [...rows].sort((a, b) => (a.name < b.name ? -1 : 1));
    fc.assert(
      fc.property(
        routedTables.contentArbitrary,
        routedTables.contentArbitrary,
        (base, next) => {
          const nextTables = {...next, version: 2};
          const patch = tablesPatch.diffTables(
            {...base, version: 1},
            nextTables,
          );
          if (!patch) return;
          const patched = tablesPatch.applyPatch({...base, version: 1}, patch)!;
          for (const table of ['routes', 'pools', 'customers'] as const) {
            expect(routedTables.toPlain(sorted(patched[table]))).to.deep.equal(
              routedTables.toPlain(sorted(nextTables[table])),
            );
          }
        },
      ),
      PROPERTY_PARAMETERS,
    );
  });

  it('keeps the order of rows where it decides: two routes of the same host and prefix, or two holders of a key', () => {
    const [first, second] = routedTables.manyRoutes(2).map(route => ({
      ...route,
      pathPrefix: '/',
    }));
    const customers = ['c', 'd'].map(name => ({name, keys: ['k']}));
    const limits = {maxBodyBytes: 1, idleMs: 1};
    const base = {version: 1, pools: [], limits};
    const router = routedTables.createRouter();
    const whole = routedTables.createRouter();
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

describe('a patch of large tables', () => {
  /** Routes that count how often they are serialized. */
  function countedRoutes(count: number, timeoutMs: number) {
    const counter = {serialized: 0};
    const routes = routedTables.manyRoutes(count).map(route => ({
      ...route,
      timeoutMs,
      toJSON() {
        counter.serialized += 1;
        return {...route, timeoutMs};
      },
    }));
    return {counter, routes};
  }

  const rest = {pools: [], limits: {maxBodyBytes: 1, idleMs: 1}};

  it('is given up before rows are compared if too many are added', () => {
    const base = countedRoutes(250, 1);
    const next = countedRoutes(1_050, 1);
    const patch = tablesPatch.diffTables(
      {...rest, version: 1, routes: base.routes},
      {...rest, version: 2, routes: next.routes},
    );
    expect(patch).to.equal(undefined);
    expect(base.counter.serialized + next.counter.serialized).to.equal(0);
  });

  it('is given up as soon as too many rows differ', () => {
    const base = countedRoutes(1_050, 1);
    const next = countedRoutes(1_050, 2);
    const patch = tablesPatch.diffTables(
      {...rest, version: 1, routes: base.routes},
      {...rest, version: 2, routes: next.routes},
    );
    expect(patch).to.equal(undefined);
    const serialized = base.counter.serialized + next.counter.serialized;
    expect(serialized).to.be.at.most(2 * 201);
  });
});

describe('versions that reach routers in several ways', () => {
  for (const [title, content] of [
    [
      'match requests as the whole tables of the version in force, whoever skipped what',
      routedTables.contentArbitrary,
    ],
    [
      'match requests as the whole tables of the version in force if versions share rows',
      routedTables.recurringContentArbitrary,
    ],
    [
      'match requests as the whole tables of the version in force where the order of rows decides',
      routedTables.contestedContentArbitrary,
    ],
  ] as const) {
    it(title, () => {
      const ROUTERS = 4;
      const action = fc.record({
        router: fc.nat(ROUTERS - 1),
        /** The router to fetch from; the own number: read the store. */
        from: fc.nat(ROUTERS - 1),
        isNewVersion: fc.boolean(),
      });
      fc.assert(
        fc.property(
          fc.array(content, {minLength: 2, maxLength: 16}),
          fc.array(action, {maxLength: 60}),
          (contents, actions) => {
            const versions = contents.map((content, index) => ({
              ...content,
              version: index * 3 + 1,
            }));
            const routers = [...Array(ROUTERS).keys()].map(() =>
              routedTables.createRouter(),
            );
            let newest = 0;
            for (const {router: index, from, isNewVersion} of actions) {
              if (isNewVersion) {
                newest = Math.min(newest + 1, versions.length - 1);
              }
              const router = routers[index]!;
              const before = router.version();
              if (from === index) router.activate(versions[newest]!, 'store');
              else routedTables.fetchFrom(routers[from]!, router);
              const sender = routers[from]!.version();
              expect(router.version()).to.equal(Math.max(before, sender));
              if (router.version() === direct.NO_VERSION) continue;
              const whole = versions.find(
                ({version}) => version === router.version(),
              );
              routedTables.expectTables(router, whole!);
            }
          },
        ),
        PROPERTY_PARAMETERS,
      );
    });
  }

  it('match requests as the whole tables after more rows changed than a patch may hold', () => {
    const sender = routedTables.createRouter();
    const receiver = routedTables.createRouter();
    sender.activate(routedTables.largeTables(1, 50), 'store');
    routedTables.fetchFrom(sender, receiver);
    for (const [version, routes] of [
      [2, 49],
      [3, 249],
      [4, 250],
      [5, 10],
      [6, 400],
      [7, 401],
    ] as const) {
      sender.activate(routedTables.largeTables(version, routes), 'store');
      if (version % 2 === 0) continue;
      routedTables.fetchFrom(sender, receiver);
      routedTables.expectTables(
        receiver,
        routedTables.largeTables(version, routes),
      );
    }
  });
});

describe('the state for a router with another history', () => {
  it('holds no tables if that router has a newer version', () => {
    const behind = routedTables.createRouter();
    behind.activate(routedTables.largeTables(1, 300), 'store');
    const state = routedTables.overTheWire(behind, 2);
    expect(state.tables, 'tables that are not newer').to.equal(undefined);
  });

  it('holds no more rows than differ if that router skipped other versions of a storm', () => {
    // Two readers of the store see other versions of a storm.
    const [sender, receiver] = [
      routedTables.createRouter(),
      routedTables.createRouter(),
    ];
    for (const version of [1, 4, 7]) {
      sender.activate(routedTables.largeTables(version, 300), 'store');
    }
    for (const version of [1, 3, 6]) {
      receiver.activate(routedTables.largeTables(version, 300), 'store');
    }
    const {tables, difference} = routedTables.updateFor(sender, receiver);
    const rows = tables?.routes.length ?? 0;
    const differing = difference
      ? difference.routes.length + difference.dropped.length
      : 0;
    expect(rows + differing, 'rows sent').to.be.at.most(10);
    expect(routedTables.fetchFrom(sender, receiver)).to.equal(false);
    routedTables.expectTables(receiver, routedTables.largeTables(7, 300));
  });

  it('holds the patches of a small version that followed a large one', () => {
    const sender = routedTables.createRouter();
    sender.activate(routedTables.largeTables(1, 300), 'store');
    sender.activate(routedTables.largeTables(2, 600), 'store');
    sender.activate(routedTables.largeTables(3, 601), 'store');
    const update = routedTables.overTheWire(sender, 2);
    expect(update.tables).to.equal(undefined);
    expect(update.patches).to.have.length(1);
  });
});
