/** The operator's commands against a fleet of processes. */
import * as fs from 'node:fs/promises';
import * as os from 'node:os';
import * as path from 'node:path';
import * as chai from 'chai';
import * as core from '@oleanderrock/core';
import * as exits from '../exits.js';
import * as terminal from './terminal.js';

const {expect} = chai;
const {EXITS} = exits;

const POOL = {name: 'services', endpoints: ['s1']};
const ROUTE = {
  name: 'lookup',
  match: {path_prefix: '/lookup'},
  pool: 'services',
};

describe('oleanderctl', () => {
  const own = new terminal.Terminal();
  let folder = '';

  before(async () => {
    folder = await fs.mkdtemp(path.join(os.tmpdir(), 'oleanderctl-'));
    await own.start(['r1', 'r2']);
  });
  after(async () => {
    await own.fleet.stop();
    await fs.rm(folder, {recursive: true});
  });

  async function write(name: string, content: object): Promise<string> {
    const file = path.join(folder, name);
    await fs.writeFile(file, JSON.stringify(content));
    return file;
  }

  it('shows a diff, and applies it once it is sure', async () => {
    const file = await write('tables.json', {pools: [POOL], routes: [ROUTE]});
    const dry = await own.run('apply', file, '--dry-run');
    expect(dry.code).to.equal(EXITS.ok);
    expect(dry.out).to.contain('+ pools/services\n').and.contain('+ routes/');
    expect(dry.out).to.contain('nothing was changed');
    const asked = await own.run('apply', file);
    expect(asked).to.include({code: EXITS.usage});
    expect(asked.err).to.contain('--yes');
    const empty = await own.run('routes', 'list');
    expect(empty.out).to.equal('the table of routes is empty\n');
    const done = await own.run('apply', file, '--yes');
    expect(done.code).to.equal(EXITS.ok);
    expect(done.out).to.match(/\nin force on 2 of 2\n$/);
    const again = await own.run('apply', file, '--yes');
    expect(again.out).to.equal('nothing changes\n');
  });

  it('keeps rows that a file does not have, unless it prunes', async () => {
    await own.run('pools', 'set', 'spare', 'endpoints=s1');
    const changed = {...POOL, load_multiple: 2};
    const file = await write('prune.json', {pools: [changed], routes: [ROUTE]});
    const kept = await own.run('apply', file, '--dry-run');
    expect(kept.out).to.contain('    load_multiple: 1.25 -> 2\n');
    expect(kept.out).to.not.contain('spare');
    const pruned = await own.run('apply', file, '--yes', '--prune');
    expect(pruned.out).to.contain('- pools/spare\n');
    const gone = await own.run('pools', 'get', 'spare');
    expect(gone.code).to.equal(EXITS.refused);
    expect(gone.err).to.contain('there are: services');
  });

  it('names the place of a fault in a file', async () => {
    const routes = [{...ROUTE, wait: 1}];
    const file = await write('fault.json', {routes});
    const typo = await own.run('apply', file, '--yes');
    expect(typo.code).to.equal(EXITS.usage);
    expect(typo.err).to.match(/fault\.json: routes\[0\]: wait: [^\n]+\n$/);
    const twice = await write('twice.json', {pools: [POOL, POOL]});
    const doubled = await own.run('apply', twice, '--yes');
    expect(doubled.err).to.contain('pools[1]: name: services stands twice');
  });

  it('sets fields, reads rows and removes them', async () => {
    const words = ['endpoints=s1', 'max_in_flight=8'];
    const set = await own.run('pools', 'set', 'own', ...words);
    expect(set.code).to.equal(EXITS.ok);
    const more = await own.run('pools', 'set', 'own', 'load_multiple=1.5');
    expect(more.code).to.equal(EXITS.ok);
    const got = await own.run('pools', 'get', 'own', '--json');
    const {row} = JSON.parse(got.out) as {row: object};
    expect(row).to.deep.include({
      endpoints: ['s1'],
      max_in_flight: 8,
      load_multiple: 1.5,
    });
    const input = JSON.stringify({endpoints: []});
    const piped = await own.runWith(input, 'pools', 'set', 'own', '--file=-');
    expect(piped.code).to.equal(EXITS.ok);
    const cleared = await own.run('pools', 'get', 'own');
    expect(cleared.out).to.contain('endpoints=[]\nload_multiple=1.25\n');
    const removed = await own.run('pools', 'remove', 'own');
    expect(removed.out).to.contain('remove pools/own');
  });

  it('refuses a route to a pool that is not there', async () => {
    const words = ['match.path_prefix=/new', 'pool=servces'];
    const typo = await own.run('routes', 'set', 'new', ...words);
    expect(typo.code).to.equal(EXITS.refused);
    expect(typo.err).to.match(
      /^oleanderctl: edit_invalid: routes\/new: pool: there is no pool "servces" \([^\n]+\)\n$/,
    );
    const audit = await own.run('audit', '--limit', '1');
    expect(audit.out).to.match(/ada +invalid +set routes\/new/);
    const used = await own.run('pools', 'remove', 'services');
    expect(used.code).to.equal(EXITS.refused);
  });

  it('ends with a code for each way to fail', async () => {
    const token = await own.run('status', '--token', 'wrong');
    expect(token.code).to.equal(EXITS.refused);
    expect(token.err).to.contain('OLEANDER_ADMIN_TOKEN');
    const wrong = [
      ['statuses'],
      ['status', '--adress', 'x'],
      ['status', '--address', 'localhost:1'],
      ['pools', 'set', 'a', 'endpoints'],
      ['pools', 'set', 'a'],
    ];
    for (const words of wrong) {
      const {code, err} = await own.run(...words);
      expect(code, words.join(' ')).to.equal(EXITS.usage);
      expect(err).to.match(/^oleanderctl: [^\n]+\n$/);
    }
    const away = await own.run('status', '--address', terminal.NOWHERE);
    expect(away.code).to.equal(EXITS.unreachable);
    expect(away.err).to.contain(terminal.NOWHERE);
    const words = ['max_queued=1', '--row-version', '0'];
    const raced = await own.run('pools', 'set', 'services', ...words);
    expect(raced.code).to.equal(EXITS.conflict);
    expect(raced.err).to.contain('read the rows again');
  });

  it('tries the next address, and tells JSON of a failure', async () => {
    const both = `${terminal.NOWHERE},${own.address('r2')}`;
    const status = await own.run('status', '--address', both, '--json');
    const {answered_by: by} = JSON.parse(status.out) as core.FleetStatus;
    expect(by).to.equal('r2');
    const away = ['--address', terminal.NOWHERE, '--json'];
    const failed = await own.run('status', ...away);
    expect(JSON.parse(failed.out)).to.include({exit: 'unreachable'});
  });

  it('tells why, where and usage', async () => {
    const [router] = own.fleet.instances('router');
    const answer = await fetch(`http://127.0.0.1:${router?.port}/lookup`, {
      method: 'POST',
      headers: {'oleander-customer': 'acme'},
    });
    const id = answer.headers.get('oleander-request-id') ?? '';
    const why = await own.run('why', id, '--address', own.address('r2'));
    expect(why.out).to.match(/considered +s1 +route lookup, pool services: s1/);
    const unknown = await own.run('why', core.createId());
    expect(unknown.code).to.equal(EXITS.refused);
    const where = await own.run('where', '/lookup', '--chat', 'c1');
    expect(where.out).to.match(/\nkeep for \d+ ms\n$/);
    const usage = await own.run('usage');
    expect(usage.out).to.match(/\nacme +lookup +services +1 +0\n/);
  });

  it('drains an endpoint, which a file then does not undo', async () => {
    const drained = await own.run('drain', 'endpoint', 's1');
    expect(drained.out).to.contain('in force on 2 of 2');
    const status = await own.run('status');
    expect(status.out).to.match(/^s1 +drained/m);
    const file = await write('after.json', {pools: [POOL]});
    const applied = await own.run('apply', file, '--yes');
    expect(applied.out).to.not.contain('drained');
    expect((await own.run('status')).out).to.match(/^s1 +drained/m);
    const undone = await own.run('drain', 'endpoint', 's1', '--undo');
    expect(undone.code).to.equal(EXITS.ok);
    expect((await own.run('status')).out).to.match(/^s1 +home/m);
  });

  it('lists exit codes and examples in the help', async () => {
    for (const words of [['apply'], ['drain', 'router'], ['pools', 'set']]) {
      const {code, out} = await own.run(...words, '--help');
      expect(code).to.equal(EXITS.ok);
      expect(out).to.contain('exit codes: 0 ok').and.contain('$ oleanderctl');
    }
  });

  it('says that an edit is not yet in force everywhere', async () => {
    const [first] = own.fleet.instances('router');
    const other = first?.name === 'r1' ? 'r2' : 'r1';
    await own.fleet.kill(other);
    const set = await own.run('pools', 'set', 'services', 'max_queued=9');
    expect(set.code).to.equal(EXITS.pending);
    expect(set.out).to.contain(`in force on 1 of 2; lagging: ${other}`);
  });
});
