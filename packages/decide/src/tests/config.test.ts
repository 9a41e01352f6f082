/** Replays of the configuration log, compared with the naive replay. */
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
  const rowName = name || (row as {name: string}).name;
  return {table, name: rowName, expected_version: expected, row} as Change;
}

function route(name: string, pool: string, prefix = `/${name}`) {
  return {name, pool, match: {path_prefix: prefix}};
}

function logOf(...records: unknown[]): config.ConfigEntry[] {
  return records.map((record, offset) => ({offset, record}));
}

/** A random step that appends a record to the log. */
const STEP = fc.record({
  kind: fc.constantFrom(
    'pool',
    'route',
    'remove',
    'snapshot',
    'repeat',
    'invalid',
  ),
  pick: fc.nat(100),
  id: fc.nat(30),
  lag: fc.nat(4),
});
type Step = typeof STEP extends fc.Arbitrary<infer T> ? T : never;

interface History {
  readonly log: config.ConfigEntry[];
  /** Snapshots of the naive replay, by the number of records replayed. */
  readonly snapshots: core.Snapshot[];
}

function elementAt(names: string[], pick: number): string {
  return names[pick % names.length] ?? '';
}

/** The record that a step appends; its editor's view lags behind the log. */
function recordOf(step: Step, {log, snapshots}: History): unknown {
  const {kind, pick, id, lag} = step;
  const editorView = snapshots[Math.max(0, snapshots.length - 1 - lag)];
  if (!editorView || kind === 'snapshot') return editorView;
  if (kind === 'invalid') return [null, {type: 'later'}, editOf('x')][pick % 3];
  if (kind === 'repeat') return log.at(-1 - lag)?.record;
  const table = kind === 'pool' || pick % 2 ? 'pools' : 'routes';
  const name: string = elementAt(
    table === 'pools' ? POOL_NAMES : ROUTE_NAMES,
    pick,
  );
  const version = editorView.tables[table][name]?.version ?? 0;
  const row =
    table === 'pools'
      ? {name, max_in_flight: pick - 5}
      : route(name, elementAt(POOL_NAMES, id), `/${id % 4}`);
  const newRow = kind === 'remove' ? null : row;
  return editOf(`e${id}`, change(table, newRow, version, name));
}

function copy(snapshot: core.Snapshot): core.Snapshot {
  return JSON.parse(JSON.stringify(snapshot)) as core.Snapshot;
}

function historyOf(steps: Step[]): History {
  const naive = new config.NaiveConfigReplica({maxVerdicts: MAX_VERDICTS});
  const history: History = {log: [], snapshots: []};
  const firstEdit = editOf('first', change('pools', POOL));
  naive.apply([], 0);
  history.snapshots.push(copy(naive.snapshot()));
  for (const step of [undefined, ...steps]) {
    const record: unknown = step ? recordOf(step, history) : firstEdit;
    const entry = {offset: history.log.length, record};
    history.log.push(entry);
    naive.apply([entry], 0);
    history.snapshots.push(copy(naive.snapshot()));
  }
  return history;
}

function expectNaiveSnapshot(
  replica: config.ConfigReplica,
  {snapshots}: History,
): void {
  chai.expect(replica.snapshot()).to.deep.equal(snapshots[replica.nextOffset]);
}

function expectNoRegression(before: core.Snapshot, after: core.Snapshot): void {
  chai.expect(after.through_offset).to.be.at.least(before.through_offset);
  for (const table of core.TABLE_NAMES) {
    const rowsAfter: Rows = after.tables[table];
    for (const [name, {version}] of Object.entries<Row>(before.tables[table])) {
      const versionAfter = rowsAfter[name]?.version ?? version;
      chai.expect(versionAfter, `${table}/${name}`).to.be.at.least(version);
    }
  }
}

const READ = fc.record({
  count: fc.integer({min: 0, max: 6}),
  truncate: fc.nat(4),
  event: fc.constantFrom('read', 'read', 'read', 'restart', 'peer'),
  snapshotIndex: fc.nat(60),
});
type Read = typeof READ extends fc.Arbitrary<infer T> ? T : never;

const OPTIONS = {seed: SEED, numRuns: RUNS};
const STEPS = fc.array(STEP, {minLength: 5, maxLength: 50});

describe('replay of the configuration', () => {
  it('equals the naive replay whenever it is current', () => {
    let currentCount = 0;
    let filledGaps = 0;
    const run = (steps: Step[], plan: Read[]) => {
      const history = historyOf(steps);
      const {log, snapshots} = history;
      let replica = new config.LogConfigReplica({maxVerdicts: MAX_VERDICTS});
      let firstOffset = 0;
      for (const {count, truncate, event, snapshotIndex} of plan) {
        if (event === 'restart') {
          replica = new config.LogConfigReplica({maxVerdicts: MAX_VERDICTS});
        }
        const before = replica.snapshot();
        const snapshot = snapshots[snapshotIndex % snapshots.length];
        if (event === 'peer' && snapshot) replica.restore(copy(snapshot));
        firstOffset = Math.min(log.length, firstOffset + truncate);
        const wasGap = firstOffset > replica.nextOffset;
        const from = Math.max(firstOffset, replica.nextOffset - 2);
        const state = replica.apply(
          log.slice(from, from + count + 2),
          firstOffset,
        );
        chai.expect(state).to.equal(replica.state);
        expectNoRegression(before, replica.snapshot());
        if (state !== 'current') continue;
        currentCount += 1;
        filledGaps += wasGap ? 1 : 0;
        expectNaiveSnapshot(replica, history);
      }
    };
    const reads = fc.array(READ, {maxLength: 25});
    fc.assert(fc.property(STEPS, reads, run), OPTIONS);
    chai.expect(currentCount).to.be.above(RUNS);
    chai.expect(filledGaps).to.be.above(RUNS / 10);
  });

  it('fills a gap if a snapshot on the log reaches the oldest record', () => {
    const run = (steps: Step[], truncation: number) => {
      const history = historyOf(steps);
      const first = truncation % (history.log.length + 1);
      const remaining = history.log.slice(first);
      const isUsable = ({record}: config.ConfigEntry) => {
        const value = (record ?? {}) as core.Snapshot;
        return value.type === 'snapshot' && value.through_offset + 1 >= first;
      };
      const replica = new config.LogConfigReplica({maxVerdicts: MAX_VERDICTS});
      for (const entry of remaining) replica.apply([entry], first);
      const expected =
        first === 0 || remaining.some(isUsable) ? 'current' : 'gap';
      chai.expect(replica.apply([], first)).to.equal(expected);
      if (expected === 'current') expectNaiveSnapshot(replica, history);
    };
    fc.assert(fc.property(STEPS, fc.nat(60), run), OPTIONS);
  });

  it('keeps its tables while the log has a gap, until a snapshot fills it', () => {
    const replica = new config.LogConfigReplica();
    chai.expect(replica.state).to.equal('gap');
    chai.expect(replica.apply([], 3)).to.equal('gap');
    const log = logOf(editOf('a', change('pools', POOL)));
    const other = new config.LogConfigReplica();
    chai.expect(other.apply(log, 0)).to.equal('current');
    other.apply(logOf(null, null), 0);
    other.apply(log, 0);
    chai.expect(other.nextOffset).to.equal(2);
    chai.expect(other.apply([], 3)).to.equal('gap');
    chai.expect(other.tables().pools).to.have.property('p');
    const filling = {...other.snapshot(), through_offset: 2};
    chai.expect(replica.restore(filling)).to.equal(true);
    chai.expect(replica.state).to.equal('current');
    chai.expect(replica.restore(other.snapshot())).to.equal(false);
    chai.expect(replica.nextOffset).to.equal(3);
  });

  it('gives the reason for rejecting an edit', () => {
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
    const replica = new config.LogConfigReplica();
    replica.apply(logOf(...cases.map(([, , edit]) => edit)), 0);
    for (const [index, [outcome, detail]] of cases.entries()) {
      const verdict = replica.verdict(`${index + 1}`);
      chai.expect(verdict?.outcome, verdict?.detail).to.equal(outcome);
      chai.expect(verdict?.detail).to.match(detail);
    }
    chai.expect(Object.keys(replica.tables().routes)).to.deep.equal(['z']);
  });
});
