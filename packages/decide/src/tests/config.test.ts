/** Replays of the configuration, tested against the naive replay. */
import * as core from '@oleanderrock/core';
import * as chai from 'chai';
import * as fc from 'fast-check';
import * as config from '../config.js';

const SEED = 20_261;
const RUNS = 300;
const MAX_VERDICTS = 6;
const POOL = {name: 'p'};
const POOL_NAMES = ['p', 'q'];
const ROUTE_NAMES = ['r', 's', 't'];

type Change = Partial<core.Change>;
interface Row {
  readonly version: number;
}
type Rows = Record<string, Row>;

function editOf(id: string, ...changes: Change[]) {
  return {type: 'edit', edit_id: id, operator: 'ann', at_ms: 1, changes};
}

function change(table: string, row: object | null, expected = 0, name = '') {
  const own = name || (row as {name: string}).name;
  return {table, name: own, expected_version: expected, row} as Change;
}

function route(name: string, pool: string, prefix = `/${name}`) {
  return {name, pool, match: {path_prefix: prefix}};
}

function logOf(...records: unknown[]): config.ConfigEntry[] {
  return records.map((record, offset) => ({offset, record}));
}

/** One step that appends to the log, drawn at random. */
const STEP = fc.record({
  kind: fc.constantFrom('pool', 'route', 'remove', 'snapshot', 'twice', 'junk'),
  pick: fc.nat(100),
  id: fc.nat(30),
  lag: fc.nat(4),
});
type Step = typeof STEP extends fc.Arbitrary<infer T> ? T : never;

interface History {
  readonly log: config.ConfigEntry[];
  /** The naive snapshot of each prefix, by length. */
  readonly prefixes: core.Snapshot[];
}

function pickOf(names: string[], pick: number): string {
  return names[pick % names.length] ?? '';
}

/** The record that a step appends: the editor's view lags behind the log. */
function recordOf(step: Step, {log, prefixes}: History): unknown {
  const {kind, pick, id, lag} = step;
  const seen = prefixes[Math.max(0, prefixes.length - 1 - lag)];
  if (!seen || kind === 'snapshot') return seen;
  if (kind === 'junk') return [null, {type: 'later'}, editOf('x')][pick % 3];
  if (kind === 'twice') return log.at(-1 - lag)?.record;
  const table = kind === 'pool' || pick % 2 ? 'pools' : 'routes';
  const name: string = pickOf(
    table === 'pools' ? POOL_NAMES : ROUTE_NAMES,
    pick,
  );
  const version = seen.tables[table][name]?.version ?? 0;
  const row =
    table === 'pools'
      ? {name, max_in_flight: pick - 5}
      : route(name, pickOf(POOL_NAMES, id), `/${id % 4}`);
  const own = kind === 'remove' ? null : row;
  return editOf(`e${id}`, change(table, own, version, name));
}

function copy(snapshot: core.Snapshot): core.Snapshot {
  return JSON.parse(JSON.stringify(snapshot)) as core.Snapshot;
}

function historyOf(steps: Step[]): History {
  const naive = new config.NaiveConfigBook({maxVerdicts: MAX_VERDICTS});
  const history: History = {log: [], prefixes: []};
  const first = editOf('first', change('pools', POOL));
  naive.apply([], 0);
  history.prefixes.push(copy(naive.snapshot()));
  for (const step of [undefined, ...steps]) {
    const record: unknown = step ? recordOf(step, history) : first;
    const entry = {offset: history.log.length, record};
    history.log.push(entry);
    naive.apply([entry], 0);
    history.prefixes.push(copy(naive.snapshot()));
  }
  return history;
}

function expectSame(book: config.ConfigBook, {prefixes}: History): void {
  chai.expect(book.snapshot()).to.deep.equal(prefixes[book.nextOffset]);
}

function expectNotLower(before: core.Snapshot, after: core.Snapshot): void {
  chai.expect(after.through_offset).to.be.at.least(before.through_offset);
  for (const table of core.TABLE_NAMES) {
    const later: Rows = after.tables[table];
    for (const [name, {version}] of Object.entries<Row>(before.tables[table])) {
      const now = later[name]?.version ?? version;
      chai.expect(now, `${table}/${name}`).to.be.at.least(version);
    }
  }
}

const READ = fc.record({
  count: fc.integer({min: 0, max: 6}),
  truncate: fc.nat(4),
  event: fc.constantFrom('read', 'read', 'read', 'restart', 'peer'),
  peer: fc.nat(60),
});
type Read = typeof READ extends fc.Arbitrary<infer T> ? T : never;

const OPTIONS = {seed: SEED, numRuns: RUNS};
const STEPS = fc.array(STEP, {minLength: 5, maxLength: 50});

describe('replay of the configuration', () => {
  it('equals the naive replay wherever it is current', () => {
    let current = 0;
    let bridged = 0;
    const play = (steps: Step[], plan: Read[]) => {
      const history = historyOf(steps);
      const {log, prefixes} = history;
      let book = new config.LogConfigBook({maxVerdicts: MAX_VERDICTS});
      let first = 0;
      for (const {count, truncate, event, peer} of plan) {
        if (event === 'restart') {
          book = new config.LogConfigBook({maxVerdicts: MAX_VERDICTS});
        }
        const before = book.snapshot();
        const known = prefixes[peer % prefixes.length];
        if (event === 'peer' && known) book.restore(copy(known));
        first = Math.min(log.length, first + truncate);
        const wasGap = first > book.nextOffset;
        const from = Math.max(first, book.nextOffset - 2);
        const state = book.apply(log.slice(from, from + count + 2), first);
        chai.expect(state).to.equal(book.state);
        expectNotLower(before, book.snapshot());
        if (state !== 'current') continue;
        current += 1;
        bridged += wasGap ? 1 : 0;
        expectSame(book, history);
      }
    };
    const reads = fc.array(READ, {maxLength: 25});
    fc.assert(fc.property(STEPS, reads, play), OPTIONS);
    chai.expect(current).to.be.above(RUNS);
    chai.expect(bridged).to.be.above(RUNS / 10);
  });

  it('bridges a gap wherever a snapshot reaches the oldest record', () => {
    const play = (steps: Step[], cut: number) => {
      const history = historyOf(steps);
      const first = cut % (history.log.length + 1);
      const kept = history.log.slice(first);
      const isUsable = ({record}: config.ConfigEntry) => {
        const known = (record ?? {}) as core.Snapshot;
        return known.type === 'snapshot' && known.through_offset + 1 >= first;
      };
      const book = new config.LogConfigBook({maxVerdicts: MAX_VERDICTS});
      for (const entry of kept) book.apply([entry], first);
      const expected = first === 0 || kept.some(isUsable) ? 'current' : 'gap';
      chai.expect(book.apply([], first)).to.equal(expected);
      if (expected === 'current') expectSame(book, history);
    };
    fc.assert(fc.property(STEPS, fc.nat(60), play), OPTIONS);
  });

  it('waits where the log has lost its history, and keeps what it knows', () => {
    const book = new config.LogConfigBook();
    chai.expect(book.state).to.equal('gap');
    chai.expect(book.apply([], 3)).to.equal('gap');
    const log = logOf(editOf('a', change('pools', POOL)));
    const other = new config.LogConfigBook();
    chai.expect(other.apply(log, 0)).to.equal('current');
    other.apply(logOf(null, null), 0);
    other.apply(log, 0);
    chai.expect(other.nextOffset).to.equal(2);
    chai.expect(other.apply([], 3)).to.equal('gap');
    chai.expect(other.tables().pools).to.have.property('p');
    const bridge = {...other.snapshot(), through_offset: 2};
    chai.expect(book.restore(bridge)).to.equal(true);
    chai.expect(book.state).to.equal('current');
    chai.expect(book.restore(other.snapshot())).to.equal(false);
    chai.expect(book.nextOffset).to.equal(3);
  });

  it('says why an edit is refused', () => {
    const pool = change('pools', POOL);
    const routes = [route('a', 'p', '/x'), route('b', 'p', '/x')];
    const cases: Array<[string, RegExp, ReturnType<typeof editOf>]> = [
      ['accepted', /^$/, editOf('1', pool, change('routes', route('z', 'p')))],
      [
        'conflict',
        /pools\/p is at version 1, .* expected 0/,
        editOf('2', pool),
      ],
      ['accepted', /^$/, editOf('3', change('pools', POOL, 1))],
      ['invalid', /routes\/z.*"p"/, editOf('4', change('pools', null, 3, 'p'))],
      [
        'invalid',
        /match\.path_prefix/,
        editOf('5', change('routes', route('c', 'p', 'x'))),
      ],
      [
        'invalid',
        /no pool "n"/,
        editOf('6', change('routes', route('c', 'n'))),
      ],
      [
        'invalid',
        /same match/,
        editOf('7', ...routes.map(row => change('routes', row))),
      ],
      ['invalid', /name/, editOf('8', change('pools', POOL, 0, 'other'))],
      [
        'invalid',
        /reserved/,
        editOf('9', change('pools', {name: 'constructor'})),
      ],
    ];
    const book = new config.LogConfigBook();
    book.apply(logOf(...cases.map(([, , edit]) => edit)), 0);
    for (const [index, [outcome, detail]] of cases.entries()) {
      const verdict = book.verdict(`${index + 1}`);
      chai.expect(verdict?.outcome, verdict?.detail).to.equal(outcome);
      chai.expect(verdict?.detail).to.match(detail);
    }
    chai.expect(Object.keys(book.tables().routes)).to.deep.equal(['z']);
  });
});
