/** The commands of oleanderctl against a fleet of router processes. */
import * as fs from 'node:fs/promises';
import * as os from 'node:os';
import * as path from 'node:path';
import * as chai from 'chai';
import * as core from '@oleanderrock/core';
import * as results from '../results.js';
import * as commandRunner from './commandrunner.js';

const {expect} = chai;
const {EXIT_CODES} = results;

const POOL = {name: 'services', endpoints: ['s1']};
const ROUTE = {
  name: 'lookup',
  match: {path_prefix: '/lookup'},
  pool: 'services',
};

describe('oleanderctl', () => {
  const ctl = new commandRunner.CommandRunner();
  let folder = '';

  before(async () => {
    folder = await fs.mkdtemp(path.join(os.tmpdir(), 'oleanderctl-'));
    await ctl.start(['r1', 'r2']);
  });
  after(async () => {
    await ctl.fleet.stop();
    await fs.rm(folder, {recursive: true});
  });

  async function writeJson(name: string, content: object): Promise<string> {
    const file = path.join(folder, name);
    await fs.writeFile(file, JSON.stringify(content));
    return file;
  }

  async function readAudit(): Promise<core.Verdict[]> {
    const audit = await ctl.run('audit', '--limit', '500', '--json');
    return (JSON.parse(audit.stdout) as {verdicts: core.Verdict[]}).verdicts;
  }

  it('shows the changes of a file and applies them only when confirmed', async () => {
    const file = await writeJson('tables.json', {
      pools: [POOL],
      routes: [ROUTE],
    });
    const dryRun = await ctl.run('apply', file, '--dry-run');
    expect(dryRun.exitCode).to.equal(EXIT_CODES.ok);
    expect(dryRun.stdout)
      .to.contain('+ pools/services\n')
      .and.contain('+ routes/');
    expect(dryRun.stdout).to.contain('nothing was changed');
    const unconfirmed = await ctl.run('apply', file);
    expect(unconfirmed).to.include({exitCode: EXIT_CODES.usage});
    expect(unconfirmed.stderr).to.contain('--yes');
    const emptyTable = await ctl.run('routes', 'list');
    expect(emptyTable.stdout).to.equal('the table of routes is empty\n');
    const applied = await ctl.run('apply', file, '--yes');
    expect(applied.exitCode).to.equal(EXIT_CODES.ok);
    expect(applied.stdout).to.match(/\nin force on 2 of 2\n$/);
    const reapplied = await ctl.run('apply', file, '--yes');
    expect(reapplied.stdout).to.equal('no changes\n');
  });

  it('keeps rows that are not in the file, unless --prune is given', async () => {
    await ctl.run('pools', 'set', 'spare', 'endpoints=s1');
    const changedPool = {...POOL, load_multiple: 2};
    const file = await writeJson('prune.json', {
      pools: [changedPool],
      routes: [ROUTE],
    });
    const withoutPrune = await ctl.run('apply', file, '--dry-run');
    expect(withoutPrune.stdout).to.contain('    load_multiple: 1.25 -> 2\n');
    expect(withoutPrune.stdout).to.not.contain('spare');
    const pruned = await ctl.run('apply', file, '--yes', '--prune');
    expect(pruned.stdout).to.contain('- pools/spare\n');
    const removedRow = await ctl.run('pools', 'get', 'spare');
    expect(removedRow.exitCode).to.equal(EXIT_CODES.refused);
    expect(removedRow.stderr).to.contain('existing names: services');
  });

  it('reports the location of an invalid or duplicate row in a file', async () => {
    const routes = [{...ROUTE, wait: 1}];
    const file = await writeJson('fault.json', {routes});
    const rejected = await ctl.run('apply', file, '--yes');
    expect(rejected.exitCode).to.equal(EXIT_CODES.usage);
    expect(rejected.stderr).to.match(
      /fault\.json: routes\[0\]: wait: [^\n]+\n$/,
    );
    const duplicateFile = await writeJson('twice.json', {pools: [POOL, POOL]});
    const duplicated = await ctl.run('apply', duplicateFile, '--yes');
    expect(duplicated.stderr).to.contain(
      'pools[1]: name: services is used twice',
    );
  });

  it('sets fields of a row, shows the row and removes it', async () => {
    const args = ['endpoints=s1', 'max_in_flight=8'];
    const set = await ctl.run('pools', 'set', 'own', ...args);
    expect(set.exitCode).to.equal(EXIT_CODES.ok);
    const secondSet = await ctl.run('pools', 'set', 'own', 'load_multiple=1.5');
    expect(secondSet.exitCode).to.equal(EXIT_CODES.ok);
    const shown = await ctl.run('pools', 'get', 'own', '--json');
    const {row} = JSON.parse(shown.stdout) as {row: object};
    expect(row).to.deep.include({
      endpoints: ['s1'],
      max_in_flight: 8,
      load_multiple: 1.5,
    });
    const input = JSON.stringify({endpoints: []});
    const piped = await ctl.runWith(input, 'pools', 'set', 'own', '--file=-');
    expect(piped.exitCode).to.equal(EXIT_CODES.ok);
    const cleared = await ctl.run('pools', 'get', 'own');
    expect(cleared.stdout).to.contain('endpoints=[]\nload_multiple=1.25\n');
    const removed = await ctl.run('pools', 'remove', 'own');
    expect(removed.stdout).to.contain('remove pools/own');
  });

  it('rejects a route to a missing pool and the removal of a pool in use', async () => {
    const args = ['match.path_prefix=/new', 'pool=servces'];
    const rejected = await ctl.run('routes', 'set', 'new', ...args);
    expect(rejected.exitCode).to.equal(EXIT_CODES.refused);
    expect(rejected.stderr).to.match(
      /^oleanderctl: edit_invalid: routes\/new: pool: there is no pool "servces" \([^\n]+\)\n$/,
    );
    const audit = await ctl.run('audit', '--limit', '1');
    expect(audit.stdout).to.match(/ada +invalid +set routes\/new/);
    const poolInUse = await ctl.run('pools', 'remove', 'services');
    expect(poolInUse.exitCode).to.equal(EXIT_CODES.refused);
  });

  it('exits with a different code for each kind of failure', async () => {
    const wrongToken = await ctl.run('status', '--token', 'wrong');
    expect(wrongToken.exitCode).to.equal(EXIT_CODES.refused);
    expect(wrongToken.stderr).to.contain('OLEANDER_ADMIN_TOKEN');
    const invalidCommands = [
      ['statuses'],
      ['status', '--adress', 'x'],
      ['status', '--address', 'localhost:1'],
      ['pools', 'set', 'a', 'endpoints'],
      ['pools', 'set', 'a'],
    ];
    for (const args of invalidCommands) {
      const {exitCode, stderr} = await ctl.run(...args);
      expect(exitCode, args.join(' ')).to.equal(EXIT_CODES.usage);
      expect(stderr).to.match(/^oleanderctl: [^\n]+\n$/);
    }
    const unreachable = await ctl.run(
      'status',
      '--address',
      commandRunner.UNREACHABLE_ADDRESS,
    );
    expect(unreachable.exitCode).to.equal(EXIT_CODES.unreachable);
    expect(unreachable.stderr).to.contain(commandRunner.UNREACHABLE_ADDRESS);
    const args = ['max_queued=1', '--row-version', '0'];
    const conflicting = await ctl.run('pools', 'set', 'services', ...args);
    expect(conflicting.exitCode).to.equal(EXIT_CODES.conflict);
    expect(conflicting.stderr).to.contain('read the rows again');
  });

  it('tries the next address if a router cannot be reached, and prints a failure as JSON', async () => {
    const addresses = `${commandRunner.UNREACHABLE_ADDRESS},${ctl.address('r2')}`;
    const status = await ctl.run('status', '--address', addresses, '--json');
    const {answered_by: answeredBy} = JSON.parse(
      status.stdout,
    ) as core.FleetStatus;
    expect(answeredBy).to.equal('r2');
    const unreachableArgs = [
      '--address',
      commandRunner.UNREACHABLE_ADDRESS,
      '--json',
    ];
    const failed = await ctl.run('status', ...unreachableArgs);
    expect(JSON.parse(failed.stdout)).to.include({exit: 'unreachable'});
  });

  it('shows the trace of a request, the routers for a path and the usage', async () => {
    const [router] = ctl.fleet.instances('router');
    const answer = await fetch(`http://127.0.0.1:${router?.port}/lookup`, {
      method: 'POST',
      headers: {'oleander-customer': 'acme'},
    });
    const id = answer.headers.get('oleander-request-id') ?? '';
    const why = await ctl.run('why', id, '--address', ctl.address('r2'));
    expect(why.stdout).to.match(
      /considered +s1 +route lookup, pool services: s1/,
    );
    const unknown = await ctl.run('why', core.createId());
    expect(unknown.exitCode).to.equal(EXIT_CODES.refused);
    const where = await ctl.run('where', '/lookup', '--chat', 'c1');
    expect(where.stdout).to.match(/\nkeep for \d+ ms\n$/);
    const usage = await ctl.run('usage');
    expect(usage.stdout).to.match(/\nacme +lookup +services +1 +0\n/);
  });

  it('keeps an endpoint drained when a file without drained endpoints is applied', async () => {
    const drained = await ctl.run('drain', 'endpoint', 's1');
    expect(drained.stdout).to.contain('in force on 2 of 2');
    const status = await ctl.run('status');
    expect(status.stdout).to.match(/^s1 +drained/m);
    const file = await writeJson('after.json', {pools: [POOL]});
    const applied = await ctl.run('apply', file, '--yes');
    expect(applied.stdout).to.not.contain('drained');
    expect((await ctl.run('status')).stdout).to.match(/^s1 +drained/m);
    const undone = await ctl.run('drain', 'endpoint', 's1', '--undo');
    expect(undone.exitCode).to.equal(EXIT_CODES.ok);
    expect((await ctl.run('status')).stdout).to.match(/^s1 +home/m);
  });

  it('lists exit codes and examples in the help', async () => {
    for (const args of [['apply'], ['drain', 'router'], ['pools', 'set']]) {
      const {exitCode, stdout} = await ctl.run(...args, '--help');
      expect(exitCode).to.equal(EXIT_CODES.ok);
      expect(stdout)
        .to.contain('exit codes: 0 ok')
        .and.contain('$ oleanderctl');
    }
  });

  it('applies an edit once if a router is killed during it, and lists that router as lagging', async () => {
    const [firstRouter] = ctl.fleet.instances('router');
    const killedRouter = firstRouter?.name === 'r1' ? 'r2' : 'r1';
    const addresses = [killedRouter, firstRouter?.name ?? ''].map(name =>
      ctl.address(name),
    );
    const editsBefore = (await readAudit()).length;
    await ctl.fleet.setPlatformFaults({log_slow_ms: 200});
    const bytesBefore = await ctl.appendedBytes();
    const args = ['max_queued=9', '--address', addresses.join(',')];
    const pendingSet = ctl.run('pools', 'set', 'services', ...args);
    await commandRunner.waitUntil(
      async () => (await ctl.appendedBytes()) > bytesBefore,
    );
    await ctl.fleet.kill(killedRouter);
    const set = await pendingSet;
    await ctl.fleet.setPlatformFaults({log_slow_ms: 0});
    expect(set.exitCode).to.equal(EXIT_CODES.pending);
    expect(set.stdout).to.contain(
      `in force on 1 of 2; lagging: ${killedRouter}`,
    );
    const verdicts = await readAudit();
    expect(verdicts).to.have.length(editsBefore + 1);
    expect(verdicts[0]).to.include({outcome: 'accepted'});
  });
});
