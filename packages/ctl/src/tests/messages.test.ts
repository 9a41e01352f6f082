/** Error messages of the commands after mistakes of the operator. */
import * as chai from 'chai';
import * as results from '../results.js';
import * as commandRunner from './commandrunner.js';

const {expect} = chai;
const {EXIT_CODES} = results;
const ROUTE = ['match.path_prefix=/lookup', 'pool=services'];

describe('error messages of oleanderctl', () => {
  const ctl = new commandRunner.CommandRunner();

  before(async () => {
    await ctl.start(['r1']);
    await ctl.run('pools', 'set', 'services', 'endpoints=s1');
    await ctl.run('routes', 'set', 'lookup', ...ROUTE);
  });
  after(() => ctl.fleet.stop());

  it('name an unknown and a missing field', async () => {
    const unknownField = await ctl.run(
      'routes',
      'set',
      'lookup',
      'pol=services',
    );
    expect(unknownField.exitCode).to.equal(EXIT_CODES.usage);
    expect(unknownField.stderr).to.equal(
      'oleanderctl: routes/lookup: pol: there is no such field\n',
    );
    const missingField = await ctl.run(
      'routes',
      'set',
      'other',
      'pool=services',
    );
    expect(missingField.stderr).to.equal(
      'oleanderctl: routes/other: match: is required\n',
    );
  });

  it('report a file whose row has another name, and a file without a JSON object', async () => {
    const row = {name: 'b', endpoints: ['s1']};
    const args = ['pools', 'set', 'a', '--file=-'];
    const otherName = await ctl.runWith(JSON.stringify(row), ...args);
    expect(otherName.exitCode).to.equal(EXIT_CODES.usage);
    expect(otherName.stderr).to.contain('the row is named "b"');
    const notAnObject = await ctl.runWith('5', ...args);
    expect(notAnObject.exitCode).to.equal(EXIT_CODES.usage);
    expect(notAnObject.stderr).to.contain('must be a JSON object');
    const pools = await ctl.run('pools', 'list');
    expect(pools.stdout).to.not.match(/^[ab] /m);
  });

  it('warn of endpoints of a pool that are not on the list of instances', async () => {
    const misspelled = await ctl.run(
      'pools',
      'set',
      'services',
      'endpoints=s1,s11',
    );
    expect(misspelled.exitCode).to.equal(EXIT_CODES.ok);
    expect(misspelled.stdout).to.match(
      /\nnot on the list of instances: s11\n$/,
    );
    const corrected = await ctl.run('pools', 'set', 'services', 'endpoints=s1');
    expect(corrected.stdout).to.match(/\nin force on 1 of 1\n$/);
  });

  it('advise using an admin port if the address has another port', async () => {
    const {address, port} = ctl.fleet.member('r1').instance;
    const wrongPort = await ctl.run(
      'status',
      '--address',
      `${address}:${port}`,
    );
    expect(wrongPort.exitCode).to.equal(EXIT_CODES.refused);
    expect(wrongPort.stderr).to.contain('an admin port');
  });

  it('repeat an unknown command or flag without the admin token', async () => {
    const unknownCommand = await ctl.run('pool', 'list');
    expect(unknownCommand.stderr).to.contain('pool list');
    const flagArgs = ['routes', 'set', 'lookup', 'wait_ms=1', '--bogus'];
    const unknownFlag = await ctl.run(...flagArgs);
    expect(unknownFlag.exitCode).to.equal(EXIT_CODES.usage);
    expect(unknownFlag.stderr).to.contain('--bogus');
    expect(unknownFlag.stderr).to.not.contain(ctl.fleet.options.adminToken);
  });

  it('report a limit of 0 for the audit as too small', async () => {
    const noEdits = await ctl.run('audit', '--limit', '0');
    expect(noEdits.exitCode).to.equal(EXIT_CODES.refused);
    expect(noEdits.stderr).to.contain('limit: must be at least 1');
  });

  it('name all tables in the help', async () => {
    const {stdout} = await commandRunner.runProgram('', ['--help']);
    expect(stdout).to.contain('routes, pools or customers');
  });
});
