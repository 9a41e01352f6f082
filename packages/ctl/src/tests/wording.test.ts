/** What the commands say to an operator who slips. */
import * as chai from 'chai';
import * as exits from '../exits.js';
import * as terminal from './terminal.js';

const {expect} = chai;
const {EXITS} = exits;
const ROUTE = ['match.path_prefix=/lookup', 'pool=services'];

describe('the wording of oleanderctl', () => {
  const own = new terminal.Terminal();

  before(async () => {
    await own.start(['r1']);
    await own.run('pools', 'set', 'services', 'endpoints=s1');
    await own.run('routes', 'set', 'lookup', ...ROUTE);
  });
  after(() => own.fleet.stop());

  it('names a field that is missing or that there is not', async () => {
    const typo = await own.run('routes', 'set', 'lookup', 'pol=services');
    expect(typo.code).to.equal(EXITS.usage);
    expect(typo.err).to.equal(
      'oleanderctl: routes/lookup: pol: there is no such field\n',
    );
    const part = await own.run('routes', 'set', 'other', 'pool=services');
    expect(part.err).to.equal(
      'oleanderctl: routes/other: match: is required\n',
    );
  });

  it('refuses a file with the row of another name', async () => {
    const row = {name: 'b', endpoints: ['s1']};
    const words = ['pools', 'set', 'a', '--file=-'];
    const mixed = await own.runWith(JSON.stringify(row), ...words);
    expect(mixed.code).to.equal(EXITS.usage);
    expect(mixed.err).to.contain('the row is named "b"');
    const number = await own.runWith('5', ...words);
    expect(number.code).to.equal(EXITS.usage);
    expect(number.err).to.contain('must be a JSON object');
    const pools = await own.run('pools', 'list');
    expect(pools.out).to.not.match(/^[ab] /m);
  });

  it('tells which endpoints of a pool are not on the list', async () => {
    const typo = await own.run('pools', 'set', 'services', 'endpoints=s1,s11');
    expect(typo.code).to.equal(EXITS.ok);
    expect(typo.out).to.match(/\nnot on the list of instances: s11\n$/);
    const mended = await own.run('pools', 'set', 'services', 'endpoints=s1');
    expect(mended.out).to.match(/\nin force on 1 of 1\n$/);
  });

  it('says what to do about a wrong port', async () => {
    const {address, port} = own.fleet.member('r1').instance;
    const wrong = await own.run('status', '--address', `${address}:${port}`);
    expect(wrong.code).to.equal(EXITS.refused);
    expect(wrong.err).to.contain('an admin port');
  });

  it('repeats the words of a command that there is not', async () => {
    const typo = await own.run('pool', 'list');
    expect(typo.err).to.contain('pool list');
    const flag = ['routes', 'set', 'lookup', 'wait_ms=1', '--bogus'];
    const unknown = await own.run(...flag);
    expect(unknown.code).to.equal(EXITS.usage);
    expect(unknown.err).to.contain('--bogus');
    expect(unknown.err).to.not.contain(own.fleet.options.adminToken);
  });

  it('lists an audit of at least one edit', async () => {
    const none = await own.run('audit', '--limit', '0');
    expect(none.code).to.equal(EXITS.refused);
    expect(none.err).to.contain('limit: must be at least 1');
  });

  it('names all tables in its help', async () => {
    const {out} = await terminal.execute('', ['--help']);
    expect(out).to.contain('routes, pools or customers');
  });
});
