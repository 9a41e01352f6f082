/**
 * Test support: arbitrary tables, routers that fetch them from each other, and
 * how requests are matched.
 */
import * as chai from 'chai';
import * as core from '@oleanderrock/core';
import * as fc from 'fast-check';
import * as v from 'valibot';
import * as direct from '../index.js';
import * as tablesDifference from '../tablesdifference.js';

const {expect} = chai;

const HOSTS = ['a.example', 'A.Example', 'b.example'];
const PREFIXES = ['/', '/x/', '/x/y/', '/x/yz/', '/w/'];
const PATHS = [
  ...['/', '/x/', '/x/y', '/x/y/z?q=/w/', '/x/yz/1', '/w/1', '/v', ''],
  ...['/r0/1', '/r1/', '/r2/', '/r3/', '/r4/'],
];
const KEYS = ['k1', 'k2', 'k3', 'k4', 'k5', '__proto__'];
const NAMES = ['n1', 'n2', 'n3', 'n4', 'n5', 'n6', '__proto__', '7'];

/** A version without its number. */
export type Content = Omit<direct.Tables, 'version'>;

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

/** Tables in which names are unique, but the order of other rows may decide. */
const anyContentArbitrary: fc.Arbitrary<Content> = fc.record({
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
});

/**
 * Tables of few different rows, so that versions share many of them; each name
 * has two variants, of which `vary` makes the second.
 */
function recurringContent(
  vary: (route: direct.Route) => direct.Route,
  keysOf: (name: string) => string[],
): fc.Arbitrary<Content> {
  const routes = manyRoutes(5).flatMap(route => [route, vary(route)]);
  const customers = ['c1', 'c2', 'c3', 'c4'].flatMap(name => [
    {name, keys: keysOf(name)},
    {name, keys: keysOf(name), priority: 1},
  ]);
  const distinct = <T extends {readonly name: string}>(rows: readonly T[]) =>
    fc.uniqueArray(fc.constantFrom(...rows), {selector: ({name}) => name});
  return fc.record({
    routes: distinct(routes),
    pools: fc.constant([]),
    customers: distinct(customers),
    limits: fc.constant({maxBodyBytes: 1, idleMs: 1}),
  });
}

/** Tables that share rows, whose order does not decide. */
export const recurringContentArbitrary = recurringContent(
  route => ({...route, timeoutMs: 2}),
  name => [name.replace('c', 'k')],
);

/** Tables that share rows, many of one host and prefix or with one key. */
export const contestedContentArbitrary = recurringContent(
  route => ({...route, pathPrefix: '/x/'}),
  () => ['k1'],
);

/** Tables in which names, host with prefix, and keys are unique. */
export const contentArbitrary: fc.Arbitrary<Content> = anyContentArbitrary.map(
  content => ({
    ...content,
    routes: uniqueBy(
      content.routes,
      ({host, pathPrefix}) => `${host.toLowerCase()} ${pathPrefix}`,
    ),
    customers: content.customers && withoutSharedKeys(content.customers),
  }),
);

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

/** A router without tables. */
export function createRouter(): direct.IndexedTables {
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
export function toPlain(value: unknown): unknown {
  return value === undefined ? value : JSON.parse(JSON.stringify(value));
}

/** Expects a router to match requests as the whole tables do. */
export function expectTables(
  router: direct.IndexedTables,
  whole: direct.Tables,
): void {
  const reference = createRouter();
  reference.activate(whole, 'reference');
  expect(toPlain(behaviour(router))).to.deep.equal(
    toPlain(behaviour(reference)),
  );
}

/** What a router serves, as another router receives it. */
export function overTheWire(
  sender: direct.IndexedTables,
  version: number,
  summary?: Buffer,
): direct.tablesUpdate.TablesUpdate {
  const kernel = kernelOf(sender);
  const update = summary
    ? direct.tablesUpdate.compare(
        kernel,
        version,
        v.parse(tablesDifference.summarySchema, summary),
      )
    : direct.tablesUpdate.collect(kernel, version);
  const text = JSON.stringify(update);
  return v.parse(direct.tablesUpdate.tablesUpdateSchema, JSON.parse(text));
}

/** The update that the receiver obtains, with a summary if it is needed. */
export function updateFor(
  sender: direct.IndexedTables,
  receiver: direct.IndexedTables,
): direct.tablesUpdate.TablesUpdate {
  const update = overTheWire(sender, receiver.version());
  if (!update.isSummaryNeeded) return update;
  const summary = tablesDifference.summarize(receiver.current()!);
  return overTheWire(sender, receiver.version(), summary);
}

function kernelOf(tables: direct.IndexedTables): core.Kernel {
  const kernel = new core.Kernel();
  kernel.register(direct.ACTIVE_TABLES, tables);
  return kernel;
}

/** Returns whether the whole tables were needed after another update. */
export function fetchFrom(
  sender: direct.IndexedTables,
  receiver: direct.IndexedTables,
): boolean {
  const update = updateFor(sender, receiver);
  const kernel = kernelOf(receiver);
  if (direct.tablesUpdate.apply(kernel, update, 'router')) return false;
  const whole = overTheWire(sender, direct.NO_VERSION);
  direct.tablesUpdate.apply(kernel, whole, 'router');
  return true;
}

/** Routes of one host, with different prefixes. */
export function manyRoutes(count: number): direct.Route[] {
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

/** Tables of which only the limits depend on the version. */
export function largeTables(version: number, routes: number): direct.Tables {
  const limits = {maxBodyBytes: 1, idleMs: version};
  return {version, routes: manyRoutes(routes), pools: [], limits};
}
