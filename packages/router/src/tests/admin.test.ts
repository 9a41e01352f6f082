/** The administration interface: rows, edits, audit, schema and refusals. */
import * as chai from 'chai';
import * as core from '@oleanderrock/core';
import * as adminSupport from './adminsupport.js';

const {expect} = chai;

describe('administration interface', () => {
  const fleet = new adminSupport.AdminFleet();

  before(() => fleet.start(['r1', 'r2']));
  after(() => fleet.processes.stop());

  const poolRow = (name: string) => ({name, endpoints: ['s1']});
  const IF_ABSENT = {'if-none-match': '*'};

  async function readEtag(router: string, path: string): Promise<string> {
    const row = await fleet.callAdmin(router, 'GET', path);
    return row.headers.get('etag') ?? '';
  }

  async function readAudit(): Promise<core.Verdict[]> {
    const {body} = await fleet.callAdmin('r1', 'GET', '/audit');
    return body.verdicts as core.Verdict[];
  }

  it('refuses a wrong token with 401', async () => {
    const wrong = {authorization: 'Bearer wrong'};
    const answer = await fleet.callAdmin(
      'r1',
      'GET',
      '/tables',
      undefined,
      wrong,
    );
    expect(answer.status).to.equal(401);
    expect(answer.body).to.include({kind: 'unauthorized', ran: 'no'});
  });

  it('reports an invalid body in one line', async () => {
    const truncated = await fleet.callAdmin(
      'r1',
      'POST',
      '/edits',
      '{"changes": [',
    );
    expect(truncated.body).to.include({kind: 'bad_request', status: 400});
    expect(truncated.body.detail).to.match(/^the body is not JSON: [^\n]+$/);
    const changes = [{table: 'pool', name: 'a', expected_version: 0, row: {}}];
    const misspelled = await fleet.callAdmin('r1', 'POST', '/edits', {
      changes,
    });
    expect(misspelled.body.detail).to.match(/^changes\.0\.table: [^\n]+$/);
    const huge = 'x'.repeat(2 << 20);
    const large = await fleet.callAdmin('r1', 'POST', '/edits', huge);
    expect(large.body).to.include({kind: 'too_large', status: 413});
  });

  it("refuses an edit without an operator's name", async () => {
    const headers = {...IF_ABSENT, 'oleander-operator': ''};
    const path = '/tables/pools/nobody';
    const answer = await fleet.callAdmin(
      'r1',
      'PUT',
      path,
      poolRow('nobody'),
      headers,
    );
    expect(answer.body).to.include({kind: 'bad_request'});
    expect(answer.body.detail).to.match(/^operator: /);
  });

  it('creates, reads, updates and removes a row under its ETag', async () => {
    const path = '/tables/pools/rows';
    const row = {endpoints: ['s1']};
    const unconditional = await fleet.callAdmin('r1', 'PUT', path, row);
    expect(unconditional.body).to.include({
      kind: 'precondition_required',
      status: 428,
    });
    const created = await fleet.callAdmin('r1', 'PUT', path, row, IF_ABSENT);
    expect(created.status).to.equal(200);
    const firstEtag = created.headers.get('etag') ?? '';
    expect(await readEtag('r1', path)).to.equal(firstEtag);
    const repeated = await fleet.callAdmin('r1', 'PUT', path, row, IF_ABSENT);
    expect(repeated.body).to.include({
      kind: 'precondition_failed',
      status: 412,
    });
    const changedRow = {endpoints: ['s2']};
    const match = {'if-match': firstEtag};
    const updated = await fleet.callAdmin('r1', 'PUT', path, changedRow, match);
    expect(updated.status).to.equal(200);
    const stale = await fleet.callAdmin('r1', 'DELETE', path, undefined, match);
    expect(stale.status).to.equal(412);
    const currentMatch = {'if-match': updated.headers.get('etag') ?? ''};
    const removed = await fleet.callAdmin(
      'r1',
      'DELETE',
      path,
      undefined,
      currentMatch,
    );
    expect(removed.status).to.equal(200);
    expect((await fleet.callAdmin('r1', 'GET', path)).status).to.equal(404);
  });

  it('refuses a PUT of null instead of removing the row', async () => {
    const path = '/tables/pools/kept';
    await fleet.callAdmin('r1', 'PUT', path, poolRow('kept'), IF_ABSENT);
    const match = {'if-match': await readEtag('r1', path)};
    const answer = await fleet.callAdmin('r1', 'PUT', path, 'null', match);
    expect(answer.body).to.include({kind: 'bad_request'});
    expect((await fleet.callAdmin('r1', 'GET', path)).status).to.equal(200);
  });

  it('accepts exactly one of two concurrent edits of a row', async () => {
    const path = '/tables/pools/raced';
    await fleet.createRows({pools: [poolRow('raced')]});
    for (let round = 1; round <= 5; round++) {
      const match = {'if-match': await readEtag('r1', path)};
      await adminSupport.until(async () => {
        return (await readEtag('r2', path)) === match['if-match'];
      });
      const edit = (router: string, operator: string, maxInFlight: number) => {
        const row = {...poolRow('raced'), max_in_flight: maxInFlight};
        const headers = {...match, 'oleander-operator': operator};
        return fleet.callAdmin(router, 'PUT', path, row, headers);
      };
      const [left, right] = await Promise.all([
        edit('r1', 'ada', 10 * round),
        edit('r2', 'bob', 10 * round + 1),
      ]);
      expect([left.status, right.status]).to.have.members([200, 412]);
      const winner = left.status === 200 ? 0 : 1;
      await adminSupport.until(async () => {
        return (await readEtag('r1', path)) !== match['if-match'];
      });
      const {body} = await fleet.callAdmin('r1', 'GET', path);
      expect(body.row).to.include({max_in_flight: 10 * round + winner});
    }
    const outcomes = (await readAudit())
      .filter(verdict => verdict.changes.includes('set pools/raced'))
      .map(verdict => verdict.outcome);
    expect(outcomes.filter(outcome => outcome === 'conflict')).to.have.length(
      5,
    );
  });

  it('reports the rule that an edit breaks, with and without a dry run', async () => {
    const row = {name: 'typo', match: {path_prefix: '/typo'}, pool: 'engins'};
    const change = {table: 'routes', name: 'typo', expected_version: 0, row};
    const countBefore = (await readAudit()).length;
    const dryRunBody = {changes: [change], dry_run: true};
    const dryRunAnswer = await fleet.callAdmin(
      'r1',
      'POST',
      '/edits',
      dryRunBody,
    );
    expect(dryRunAnswer.body).to.include({kind: 'edit_invalid', status: 422});
    expect(dryRunAnswer.body.detail).to.contain('there is no pool "engins"');
    expect(await readAudit()).to.have.length(countBefore);
    const submitted = await fleet.callAdmin('r1', 'POST', '/edits', {
      changes: [change],
    });
    expect(submitted.body.detail).to.equal(dryRunAnswer.body.detail);
    const [newest] = await readAudit();
    expect(newest).to.include({operator: 'ada', outcome: 'invalid'});
  });

  it('applies an edit only once if it is sent twice, and repeats its verdict', async () => {
    const id = core.createId();
    const missing = await fleet.callAdmin('r1', 'GET', `/edits/${id}`);
    expect(missing.body).to.include({kind: 'not_found'});
    const changes = [
      {
        table: 'pools',
        name: 'twice',
        expected_version: 0,
        row: poolRow('twice'),
      },
    ];
    const edit = {edit_id: id, changes};
    const first = await fleet.callAdmin('r1', 'POST', '/edits', edit);
    const second = await fleet.callAdmin('r2', 'POST', '/edits', edit);
    expect(first.status).to.equal(200);
    expect(second.body).to.deep.equal(first.body);
    const found = await fleet.callAdmin('r2', 'GET', `/edits/${id}`);
    expect(found.body).to.deep.equal(first.body);
  });

  it('reports an unknown outcome while the log is down', async () => {
    await fleet.processes.setPlatformFaults({log_down: true});
    const path = '/tables/pools/lost';
    const answer = await fleet.callAdmin(
      'r1',
      'PUT',
      path,
      poolRow('lost'),
      IF_ABSENT,
    );
    await fleet.processes.setPlatformFaults({log_down: false});
    expect(answer.body).to.include({kind: 'edit_unknown', ran: 'unknown'});
    expect(answer.body.detail).to.contain(String(answer.body.request_id));
  });

  it('describes the schemas of rows and bodies', async () => {
    const {body} = await fleet.callAdmin('r1', 'GET', '/schema');
    const {pools} = body.rows as {pools: {fields: object}};
    expect(pools.fields).to.have.nested.include({
      'load_multiple.default': 1.25,
      'load_multiple.min_value': 1,
      'endpoints.type': 'array',
    });
  });

  it('answers unknown paths, unsupported methods and invalid parameters with a problem', async () => {
    const resource = await fleet.callAdmin('r1', 'GET', '/table');
    expect(resource.body).to.include({kind: 'not_found'});
    const table = await fleet.callAdmin('r1', 'GET', '/tables/pool');
    expect(table.body.detail).to.contain('routes, pools, customers');
    const method = await fleet.callAdmin('r1', 'POST', '/tables/pools/a', {});
    expect(method.body).to.include({kind: 'method_not_allowed'});
    const limit = await fleet.callAdmin('r1', 'GET', '/audit?limit=many');
    expect(limit.body.detail).to.match(/^limit: /);
  });
});
