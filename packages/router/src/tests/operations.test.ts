/** Operation of a fleet: traces, limits, usage, metrics, drains and status. */
import * as chai from 'chai';
import * as core from '@oleanderrock/core';
import * as adminSupport from './adminsupport.js';

const {expect} = chai;

describe('operation of a fleet', () => {
  const fleet = new adminSupport.AdminFleet();

  before(async () => {
    await fleet.start(['r1', 'r2', 'r3']);
    await fleet.createRows({
      pools: [
        {name: 'engines', endpoints: ['e1']},
        {name: 'services', endpoints: ['s1', 's2']},
      ],
      routes: [
        {name: 'chat', match: {path_prefix: '/chat'}, pool: 'engines'},
        {name: 'lookup', match: {path_prefix: '/lookup'}, pool: 'services'},
        {
          name: 'order',
          match: {path_prefix: '/order'},
          pool: 'services',
          repeatable: false,
        },
      ],
      customers: [
        {name: 'none', requests_per_minute: 0},
        {name: 'three', requests_per_minute: 3},
      ],
    });
  });
  after(() => fleet.processes.stop());

  async function fleetStatus(router: string): Promise<core.FleetStatus> {
    const {body} = await fleet.callAdmin(router, 'GET', '/status');
    return body as unknown as core.FleetStatus;
  }

  async function readMetrics(router: string): Promise<string> {
    const {address, port} = fleet.processes.member(router).instance;
    const answer = await fetch(`http://${address}:${port}/metrics`);
    return answer.text();
  }

  it('returns the trace from a router that did not serve the request', async () => {
    const {endpoints} = await fleetStatus('r1');
    const e1 = endpoints.find(item => item.name === 'e1');
    const [owner = ''] = e1?.owners ?? [];
    const others = ['r1', 'r2', 'r3'].filter(name => name !== owner);
    const [entry = '', queried = ''] = others;
    const headers = {'oleander-chat': 'c1'};
    const body = {prompt_tokens: 1, output_tokens: 1};
    const answer = await fleet.callEntry(entry, '/chat', headers, body);
    const id = answer.headers.get('oleander-request-id');
    const why = await fleet.callAdmin(queried, 'GET', `/why/${id}`);
    const steps = why.body.steps as core.TraceStep[];
    expect(steps.map(step => [step.router, step.step])).to.deep.equal([
      [entry, 'passed_on'],
      [owner, 'considered'],
      [owner, 'dispatched'],
      [owner, 'answered'],
    ]);
    expect(steps[1]?.detail).to.match(
      /route chat, pool engines: e1 \(home, 0 in flight\); bound 2, 1 usable$/,
    );
    const unknown = await fleet.callAdmin(
      queried,
      'GET',
      `/why/${core.createId()}`,
    );
    expect(unknown.body).to.include({kind: 'not_found'});
  });

  it('refuses a customer over its limit before the request runs', async () => {
    const startedBefore = await fleet.countStarted('e1');
    const headers = {'oleander-customer': 'none'};
    const answer = await fleet.callEntry('r1', '/chat', headers);
    expect(answer.body).to.include({kind: 'customer_limit', ran: 'no'});
    expect(answer.status).to.equal(429);
    expect(answer.headers.has('retry-after')).to.equal(true);
    expect(await fleet.countStarted('e1')).to.equal(startedBefore);
    const id = answer.headers.get('oleander-request-id');
    const why = await fleet.callAdmin('r2', 'GET', `/why/${id}`);
    const [step] = why.body.steps as core.TraceStep[];
    expect(step).to.include({step: 'refused', router: 'r1'});
  });

  it("admits no more of a burst than the customer's limit", async () => {
    await fleet.processes.setFaults('s1', {slow_ms: 50});
    await fleet.processes.setFaults('s2', {slow_ms: 50});
    const headers = {'oleander-customer': 'three'};
    const answers = await Promise.all(
      Array.from({length: 9}, () => fleet.callEntry('r2', '/lookup', headers)),
    );
    await fleet.processes.setFaults('s1', {slow_ms: 0});
    await fleet.processes.setFaults('s2', {slow_ms: 0});
    const limited = answers.filter(answer => answer.status === 429);
    expect(limited).to.have.length(6);
  });

  it('sums usage over all routers and exports it as metrics', async () => {
    const headers = {'oleander-customer': 'meter'};
    const body = {prompt_tokens: 2, output_tokens: 3};
    await fleet.callEntry('r1', '/chat', headers, body);
    await fleet.callEntry('r2', '/chat', headers, body);
    const {body: usage} = await fleet.callAdmin('r3', 'GET', '/usage');
    const rows = usage.usage as Array<Record<string, unknown>>;
    const row = rows.find(item => item.customer === 'meter');
    expect(row).to.include({route: 'chat', pool: 'engines', requests: 2});
    expect(row?.tokens).to.be.greaterThan(0);
    const text = await readMetrics('r1');
    expect(text).to.match(
      /oleander_usage_requests_total\{customer="meter",route="chat",pool="engines"\} 1/,
    );
    expect(text).to.contain(
      'oleander_requests_total{route="chat",outcome="answered"}',
    );
    expect(text).to.contain(
      'oleander_requests_total{route="chat",outcome="customer_limit"} 1',
    );
    expect(text).to.match(/oleander_config_next_offset \d/);
  });

  it('counts claims in the metrics and records them in the trace', async () => {
    const headers = {'idempotency-key': core.createId()};
    const answer = await fleet.callEntry('r1', '/order', headers);
    expect(answer.status).to.equal(200);
    const id = answer.headers.get('oleander-request-id');
    const why = await fleet.callAdmin('r1', 'GET', `/why/${id}`);
    const steps = why.body.steps as core.TraceStep[];
    const claimStep = steps.find(step => step.step === 'claimed');
    expect(claimStep).to.not.equal(undefined);
    const text = await readMetrics(claimStep?.router ?? '');
    expect(text).to.contain('oleander_claims_total{outcome="claimed"} 1');
  });

  it('drains an endpoint at every router, and undoes the drain', async () => {
    const drained = await fleet.callAdmin('r1', 'POST', '/drain/endpoint/s1');
    expect(drained.body).to.include({outcome: 'accepted', operator: 'ada'});
    const offset = String(drained.body.offset);
    await adminSupport.until(async () => {
      const path = `/status?offset=${offset}`;
      const {body} = await fleet.callAdmin('r2', 'GET', path);
      return (body.in_force as core.ConfigRollout).lagging.length === 0;
    });
    const startedBefore = await fleet.countStarted('s1');
    const routers = ['r1', 'r2', 'r3', 'r1', 'r2', 'r3'];
    for (const router of routers) {
      const answer = await fleet.callEntry(router, '/lookup');
      expect(answer.headers.get('oleander-endpoint')).to.equal('s2');
    }
    expect(await fleet.countStarted('s1')).to.equal(startedBefore);
    const {endpoints} = await fleetStatus('r3');
    const s1 = endpoints.find(item => item.name === 's1');
    expect(s1).to.include({is_drained: true});
    const repeated = await fleet.callAdmin('r2', 'POST', '/drain/endpoint/s1');
    expect(repeated.body).to.deep.equal({endpoint: 's1'});
    const undone = await fleet.callAdmin('r2', 'DELETE', '/drain/endpoint/s1');
    expect(undone.body).to.include({outcome: 'accepted'});
    const unknown = await fleet.callAdmin('r2', 'POST', '/drain/endpoint/s9');
    expect(unknown.body).to.include({kind: 'not_found'});
  });

  it('returns the same addresses to operators as to callers', async () => {
    const query = '?path=/chat&chat=c1';
    const {body} = await fleet.callAdmin('r1', 'GET', `/where${query}`);
    const {address, port} = fleet.processes.member('r1').instance;
    const target = `http://${address}:${port}/where${query}`;
    expect(body).to.deep.equal((await adminSupport.call(target, 'GET')).body);
  });

  it('drains a router through another one', async () => {
    const {process} = fleet.processes.member('r3');
    const accepted = await fleet.callAdmin('r1', 'POST', '/drain/router/r3');
    expect(accepted.status).to.equal(202);
    expect(await process.exited).to.include({status: 0});
    const unknown = await fleet.callAdmin('r1', 'POST', '/drain/router/r9');
    expect(unknown.body).to.include({kind: 'not_found'});
  });

  it('reports the routers that do not answer as lagging', async () => {
    const {in_force: inForce, routers} = await fleetStatus('r1');
    expect(inForce).to.include({routers: 2, of: 3});
    expect(inForce.lagging).to.deep.equal(['r3']);
    expect(routers.find(item => item.name === 'r3')).to.include({
      is_reached: false,
    });
  });
});
