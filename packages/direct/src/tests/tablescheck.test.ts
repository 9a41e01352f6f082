/** Checks of tables before they are sent, and what a version changes. */
import * as chai from 'chai';
import type * as core from '@oleanderrock/core';
import * as fc from 'fast-check';
import * as model from '../model.js';
import * as tablesChanges from '../tableschanges.js';
import * as tablesCheck from '../tablescheck.js';
import * as v from 'valibot';

const {expect} = chai;

const ROUTE: model.Route = {
  name: 'drafts',
  host: 'chat.example',
  pathPrefix: '/drafts/',
  pools: [{name: 'engines', weight: 1}],
  repeat: 'stream',
  isResumable: true,
  maxRuns: 2,
  timeoutMs: 12_000,
  goalMs: 800,
  priority: 1,
  isPublic: false,
};

const TABLES: model.Tables = {
  version: 3,
  routes: [ROUTE],
  pools: [{name: 'engines'}],
  customers: [{name: 'ada', keys: ['k1', 'k2']}],
  limits: {maxBodyBytes: 1_000, idleMs: 15_000},
};

function check(
  tables: Partial<model.Tables>,
  poolNames: readonly string[] = ['engines'],
): core.Finding[] {
  return tablesCheck.checkTables({
    tables: {...TABLES, ...tables},
    poolNames: new Set(poolNames),
  });
}

function kindsOf(findings: readonly core.Finding[]): string[] {
  return findings.map(({severity, kind}) => `${severity} ${kind}`);
}

function checkRoute(route: Partial<model.Route>): string[] {
  return kindsOf(check({routes: [{...ROUTE, ...route}]}));
}

describe('check of tables', () => {
  it('finds nothing in sound tables', () => {
    expect(check({})).to.deep.equal([]);
  });

  it('names the place of a goal after the time-out', () => {
    const routes = [
      ROUTE,
      {...ROUTE, name: 'late', pathPrefix: '/l/', goalMs: 13_000},
    ];
    expect(check({routes})).to.deep.equal([
      {
        severity: 'error',
        kind: 'contradiction',
        place: 'routes[1] (late): goalMs',
        detail: 'the goal of 13000 ms is after the time-out of 12000 ms',
      },
    ]);
  });

  it('finds routes that no request can match', () => {
    const twin = {...ROUTE, name: 'twin', host: 'CHAT.example'};
    expect(kindsOf(check({routes: [ROUTE, twin]}))).to.deep.equal([
      'error never_matches',
    ]);
    for (const host of ['', 'chat.example:80', 'chat.example/x']) {
      expect(checkRoute({host}), host).to.deep.equal(['error never_matches']);
    }
    for (const pathPrefix of ['drafts/', '/drafts?x=/', '']) {
      expect(checkRoute({pathPrefix}), pathPrefix).to.deep.equal([
        'error never_matches',
      ]);
    }
  });

  it('finds pools that do not exist, get nothing or are not used', () => {
    const missing = [{name: 'gone', weight: 1}];
    expect(checkRoute({pools: missing})).to.deep.equal([
      'error unknown_name',
      'warning unused',
    ]);
    const idle = [...ROUTE.pools, {name: 'spare', weight: 0}];
    const findings = check({routes: [{...ROUTE, pools: idle}]}, [
      'engines',
      'spare',
    ]);
    expect(kindsOf(findings)).to.deep.equal(['warning never_matches']);
    const negative = [...ROUTE.pools, {name: 'engines', weight: -1}];
    expect(checkRoute({pools: negative})).to.deep.equal(['error malformed']);
    expect(checkRoute({pools: []})).to.deep.equal([
      'error malformed',
      'warning unused',
    ]);
  });

  it('finds runs that contradict the kind of route', () => {
    expect(checkRoute({repeat: 'once', isResumable: false})).to.deep.equal([
      'warning contradiction',
    ]);
    expect(checkRoute({repeat: 'idempotent'})).to.deep.equal([
      'warning contradiction',
    ]);
    expect(checkRoute({maxRuns: 0})).to.deep.equal(['error malformed']);
  });

  it('finds keys that two customers hold, without printing them', () => {
    const customers = [
      {name: 'ada', keys: ['secret-key']},
      {name: 'bob', keys: ['other', 'secret-key']},
      {name: 'eve', keys: []},
      {name: 'eve', keys: ['k3']},
    ];
    const findings = check({customers});
    expect(kindsOf(findings)).to.deep.equal([
      'error duplicate_name',
      'warning no_key',
      'error shared_key',
    ]);
    expect(JSON.stringify(findings)).not.to.contain('secret-key');
  });

  it('finds limits that refuse all requests', () => {
    const limits = {maxBodyBytes: 0, idleMs: -1};
    expect(check({limits}).map(({place}) => place)).to.deep.equal([
      'limits: maxBodyBytes',
      'limits: idleMs',
    ]);
  });

  it('checks 5,000 routes within 2 s', () => {
    const routes = Array.from({length: 5_000}, (unused, index) => ({
      ...ROUTE,
      name: `r${index}`,
      pathPrefix: `/p${index}/`,
    }));
    const startMs = performance.now();
    expect(check({routes})).to.deep.equal([]);
    expect(performance.now() - startMs).to.be.below(2_000);
  });
});

/** Tables with few names, so that rows of two versions meet. */
const tablesArbitrary: fc.Arbitrary<model.Tables> = fc
  .record({
    routes: fc.uniqueArray(
      fc.record({
        name: fc.constantFrom('a', 'b', 'c', 'd'),
        pathPrefix: fc.constantFrom('/', '/x/', '/x/y/', '/z/'),
        weight: fc.integer({min: 1, max: 9}),
        goalMs: fc.integer({min: 1, max: 5}),
      }),
      {selector: ({name}) => name},
    ),
    keys: fc.uniqueArray(fc.constantFrom('k1', 'k2', 'k3')),
  })
  .map(({routes, keys}) => ({
    ...TABLES,
    routes: routes.map(({weight, ...route}) => ({
      ...ROUTE,
      ...route,
      pools: [
        {name: 'engines', weight},
        {name: 'others', weight: 10 - weight},
      ],
    })),
    customers: [{name: 'ada', keys}],
  }));

describe('changes of tables', () => {
  it('tells which share of the requests of a route moves', () => {
    const pools = [
      {name: 'engines', weight: 3},
      {name: 'others', weight: 1},
    ];
    const after = {...TABLES, routes: [{...ROUTE, pools}]};
    const [change] = tablesChanges.compareTables(TABLES, after);
    expect(change).to.include({
      type: 'changed',
      row: 'routes/drafts',
      effect: 'requests move: engines 100% -> 75%, others 0% -> 25%',
    });
  });

  it('tells where requests of added and removed routes go', () => {
    const all = {...ROUTE, name: 'all', pathPrefix: '/'};
    const both = {...TABLES, routes: [ROUTE, all]};
    const onlyAll = {...TABLES, routes: [all]};
    expect(tablesChanges.compareTables(both, onlyAll)).to.deep.equal([
      {
        type: 'removed',
        row: 'routes/drafts',
        fields: [],
        effect: 'its requests match routes/all',
      },
    ]);
    expect(tablesChanges.compareTables(onlyAll, both)[0]?.effect).to.equal(
      'takes requests of routes/all',
    );
    const none = {...TABLES, routes: []};
    expect(tablesChanges.compareTables(onlyAll, none)[0]?.effect).to.contain(
      'are refused',
    );
  });

  it('counts keys that go and come without printing them', () => {
    const customers = [{name: 'ada', keys: ['k2', 'k9']}];
    const changes = tablesChanges.compareTables(TABLES, {...TABLES, customers});
    expect(changes[0]?.effect).to.equal('1 of 2 keys go, 1 come');
    expect(JSON.stringify(changes)).not.to.match(/k[129]/);
  });

  it('is empty for equal tables only, and fits its schema', () => {
    fc.assert(
      fc.property(tablesArbitrary, tablesArbitrary, (before, after) => {
        expect(tablesChanges.compareTables(before, before)).to.deep.equal([]);
        const changes = tablesChanges.compareTables(before, after);
        for (const change of changes) {
          v.assert(tablesChanges.tablesChangeSchema, change);
        }
        const rowNames = new Set(changes.map(({row}) => row));
        for (const route of after.routes) {
          const previous = before.routes.find(({name}) => name === route.name);
          const isSame = JSON.stringify(previous) === JSON.stringify(route);
          expect(rowNames.has(`routes/${route.name}`)).to.equal(!isSame);
        }
      }),
    );
  });

  it('finds no more errors in tables than hidden routes', () => {
    fc.assert(
      fc.property(tablesArbitrary, tables => {
        const poolNames = new Set(['engines', 'others']);
        const errors = tablesCheck
          .checkTables({tables, poolNames})
          .filter(({severity}) => severity === 'error');
        const prefixes = new Set(tables.routes.map(route => route.pathPrefix));
        expect(errors).to.have.length(tables.routes.length - prefixes.size);
        expect(errors.every(({kind}) => kind === 'never_matches')).to.equal(
          true,
        );
      }),
    );
  });
});
