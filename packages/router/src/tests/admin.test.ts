/** The administration interface: rows, edits, audit, schema and refusals. */
import * as chai from 'chai';
import * as core from '@oleanderrock/core';
import * as operators from './operators.js';

const {expect} = chai;

describe('administration interface', () => {
  const own = new operators.Operated();

  before(() => own.start(['r1', 'r2']));
  after(() => own.fleet.stop());

  const pool = (name: string) => ({name, endpoints: ['s1']});
  const NEW = {'if-none-match': '*'};

  async function etag(router: string, path: string): Promise<string> {
    const row = await own.admin(router, 'GET', path);
    return row.headers.get('etag') ?? '';
  }

  async function audit(): Promise<core.Verdict[]> {
    const {body} = await own.admin('r1', 'GET', '/audit');
    return body.verdicts as core.Verdict[];
  }

  it('refuses a wrong token and tells what to send', async () => {
    const wrong = {authorization: 'Bearer wrong'};
    const answer = await own.admin('r1', 'GET', '/tables', undefined, wrong);
    expect(answer.status).to.equal(401);
    expect(answer.body).to.include({kind: 'unauthorized', ran: 'no'});
  });

  it('says in one line what is wrong with a body', async () => {
    const cut = await own.admin('r1', 'POST', '/edits', '{"changes": [');
    expect(cut.body).to.include({kind: 'bad_request', status: 400});
    expect(cut.body.detail).to.match(/^the body is not JSON: [^\n]+$/);
    const changes = [{table: 'pool', name: 'a', expected_version: 0, row: {}}];
    const typo = await own.admin('r1', 'POST', '/edits', {changes});
    expect(typo.body.detail).to.match(/^changes\.0\.table: [^\n]+$/);
    const huge = 'x'.repeat(2 << 20);
    const large = await own.admin('r1', 'POST', '/edits', huge);
    expect(large.body).to.include({kind: 'too_large', status: 413});
  });

  it('asks who edits', async () => {
    const headers = {...NEW, 'oleander-operator': ''};
    const path = '/tables/pools/nobody';
    const answer = await own.admin('r1', 'PUT', path, pool('nobody'), headers);
    expect(answer.body).to.include({kind: 'bad_request'});
    expect(answer.body.detail).to.match(/^operator: /);
  });

  it('creates, reads, changes and removes a row under its ETag', async () => {
    const path = '/tables/pools/rows';
    const row = {endpoints: ['s1']};
    const bare = await own.admin('r1', 'PUT', path, row);
    expect(bare.body).to.include({kind: 'precondition_required', status: 428});
    const made = await own.admin('r1', 'PUT', path, row, NEW);
    expect(made.status).to.equal(200);
    const first = made.headers.get('etag') ?? '';
    expect(await etag('r1', path)).to.equal(first);
    const again = await own.admin('r1', 'PUT', path, row, NEW);
    expect(again.body).to.include({kind: 'precondition_failed', status: 412});
    const changed = {endpoints: ['s2']};
    const match = {'if-match': first};
    const second = await own.admin('r1', 'PUT', path, changed, match);
    expect(second.status).to.equal(200);
    const stale = await own.admin('r1', 'DELETE', path, undefined, match);
    expect(stale.status).to.equal(412);
    const fresh = {'if-match': second.headers.get('etag') ?? ''};
    const gone = await own.admin('r1', 'DELETE', path, undefined, fresh);
    expect(gone.status).to.equal(200);
    expect((await own.admin('r1', 'GET', path)).status).to.equal(404);
  });

  it('never takes a PUT for a removal', async () => {
    const path = '/tables/pools/kept';
    await own.admin('r1', 'PUT', path, pool('kept'), NEW);
    const match = {'if-match': await etag('r1', path)};
    const answer = await own.admin('r1', 'PUT', path, 'null', match);
    expect(answer.body).to.include({kind: 'bad_request'});
    expect((await own.admin('r1', 'GET', path)).status).to.equal(200);
  });

  it('accepts exactly one of two operators who edit at once', async () => {
    const path = '/tables/pools/raced';
    await own.create({pools: [pool('raced')]});
    for (let round = 1; round <= 5; round++) {
      const match = {'if-match': await etag('r1', path)};
      await operators.until(async () => {
        return (await etag('r2', path)) === match['if-match'];
      });
      const edit = (router: string, operator: string, bound: number) => {
        const row = {...pool('raced'), max_in_flight: bound};
        const headers = {...match, 'oleander-operator': operator};
        return own.admin(router, 'PUT', path, row, headers);
      };
      const [left, right] = await Promise.all([
        edit('r1', 'ada', 10 * round),
        edit('r2', 'bob', 10 * round + 1),
      ]);
      expect([left.status, right.status]).to.have.members([200, 412]);
      const winner = left.status === 200 ? 0 : 1;
      await operators.until(async () => {
        return (await etag('r1', path)) !== match['if-match'];
      });
      const {body} = await own.admin('r1', 'GET', path);
      expect(body.row).to.include({max_in_flight: 10 * round + winner});
    }
    const raced = (await audit())
      .filter(verdict => verdict.changes.includes('set pools/raced'))
      .map(verdict => verdict.outcome);
    expect(raced.filter(outcome => outcome === 'conflict')).to.have.length(5);
  });

  it('names what an edit breaks, with and without a dry run', async () => {
    const row = {name: 'typo', match: {path_prefix: '/typo'}, pool: 'engins'};
    const change = {table: 'routes', name: 'typo', expected_version: 0, row};
    const known = (await audit()).length;
    const dry = {changes: [change], dry_run: true};
    const judged = await own.admin('r1', 'POST', '/edits', dry);
    expect(judged.body).to.include({kind: 'edit_invalid', status: 422});
    expect(judged.body.detail).to.contain('there is no pool "engins"');
    expect(await audit()).to.have.length(known);
    const wet = await own.admin('r1', 'POST', '/edits', {changes: [change]});
    expect(wet.body.detail).to.equal(judged.body.detail);
    const [newest] = await audit();
    expect(newest).to.include({operator: 'ada', outcome: 'invalid'});
  });

  it('counts an edit that is sent twice once, and tells its verdict', async () => {
    const id = core.createId();
    const missing = await own.admin('r1', 'GET', `/edits/${id}`);
    expect(missing.body).to.include({kind: 'not_found'});
    const changes = [
      {table: 'pools', name: 'twice', expected_version: 0, row: pool('twice')},
    ];
    const edit = {edit_id: id, changes};
    const first = await own.admin('r1', 'POST', '/edits', edit);
    const second = await own.admin('r2', 'POST', '/edits', edit);
    expect(first.status).to.equal(200);
    expect(second.body).to.deep.equal(first.body);
    const told = await own.admin('r2', 'GET', `/edits/${id}`);
    expect(told.body).to.deep.equal(first.body);
  });

  it('says that an outcome is unknown while the log is away', async () => {
    await own.fleet.controlPlatform({log_down: true});
    const path = '/tables/pools/lost';
    const answer = await own.admin('r1', 'PUT', path, pool('lost'), NEW);
    await own.fleet.controlPlatform({log_down: false});
    expect(answer.body).to.include({kind: 'edit_unknown', ran: 'unknown'});
    expect(answer.body.detail).to.contain(String(answer.body.request_id));
  });

  it('describes its rows and bodies', async () => {
    const {body} = await own.admin('r1', 'GET', '/schema');
    const {pools} = body.rows as {pools: {fields: object}};
    expect(pools.fields).to.have.nested.include({
      'load_multiple.default': 1.25,
      'load_multiple.min_value': 1,
      'endpoints.type': 'array',
    });
  });

  it('answers what it does not have in the usual form', async () => {
    const group = await own.admin('r1', 'GET', '/table');
    expect(group.body).to.include({kind: 'not_found'});
    const table = await own.admin('r1', 'GET', '/tables/pool');
    expect(table.body.detail).to.contain('routes, pools, customers');
    const method = await own.admin('r1', 'POST', '/tables/pools/a', {});
    expect(method.body).to.include({kind: 'method_not_allowed'});
    const limit = await own.admin('r1', 'GET', '/audit?limit=many');
    expect(limit.body.detail).to.match(/^limit: /);
  });
});
