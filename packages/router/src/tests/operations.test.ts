/** Operating a fleet: why, limits, usage, metrics, drains and status. */
import * as chai from 'chai';
import * as core from '@oleanderrock/core';
import * as operators from './operators.js';

const {expect} = chai;

describe('operating a fleet', () => {
  const own = new operators.Operated();

  before(async () => {
    await own.start(['r1', 'r2', 'r3']);
    await own.create({
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
  after(() => own.fleet.stop());

  async function state(router: string): Promise<core.FleetStatus> {
    const {body} = await own.admin(router, 'GET', '/status');
    return body as unknown as core.FleetStatus;
  }

  async function metrics(router: string): Promise<string> {
    const {address, port} = own.fleet.member(router).instance;
    const answer = await fetch(`http://${address}:${port}/metrics`);
    return answer.text();
  }

  it('tells why through a router that did not serve the request', async () => {
    const {endpoints} = await state('r1');
    const e1 = endpoints.find(item => item.name === 'e1');
    const [owner = ''] = e1?.owners ?? [];
    const others = ['r1', 'r2', 'r3'].filter(name => name !== owner);
    const [first = '', asked = ''] = others;
    const headers = {'oleander-chat': 'c1'};
    const body = {prompt_tokens: 1, output_tokens: 1};
    const answer = await own.request(first, '/chat', headers, body);
    const id = answer.headers.get('oleander-request-id');
    const why = await own.admin(asked, 'GET', `/why/${id}`);
    const steps = why.body.steps as core.Step[];
    expect(steps.map(step => [step.router, step.step])).to.deep.equal([
      [first, 'passed_on'],
      [owner, 'considered'],
      [owner, 'dispatched'],
      [owner, 'answered'],
    ]);
    expect(steps[1]?.detail).to.match(
      /route chat, pool engines: e1 \(home, 0 in flight\); bound 2, 1 usable$/,
    );
    const unknown = await own.admin(asked, 'GET', `/why/${core.createId()}`);
    expect(unknown.body).to.include({kind: 'not_found'});
  });

  it('refuses a customer over its limit as not run', async () => {
    const before = await own.started('e1');
    const headers = {'oleander-customer': 'none'};
    const answer = await own.request('r1', '/chat', headers);
    expect(answer.body).to.include({kind: 'customer_limit', ran: 'no'});
    expect(answer.status).to.equal(429);
    expect(answer.headers.has('retry-after')).to.equal(true);
    expect(await own.started('e1')).to.equal(before);
    const id = answer.headers.get('oleander-request-id');
    const why = await own.admin('r2', 'GET', `/why/${id}`);
    const [step] = why.body.steps as core.Step[];
    expect(step).to.include({step: 'refused', router: 'r1'});
  });

  it('lets no more of a burst through than the limit', async () => {
    await own.fleet.control('s1', {slow_ms: 50});
    await own.fleet.control('s2', {slow_ms: 50});
    const headers = {'oleander-customer': 'three'};
    const answers = await Promise.all(
      Array.from({length: 9}, () => own.request('r2', '/lookup', headers)),
    );
    await own.fleet.control('s1', {slow_ms: 0});
    await own.fleet.control('s2', {slow_ms: 0});
    const limited = answers.filter(answer => answer.status === 429);
    expect(limited).to.have.length(6);
  });

  it('sums usage over routers and meters it', async () => {
    const headers = {'oleander-customer': 'meter'};
    const body = {prompt_tokens: 2, output_tokens: 3};
    await own.request('r1', '/chat', headers, body);
    await own.request('r2', '/chat', headers, body);
    const {body: told} = await own.admin('r3', 'GET', '/usage');
    const rows = told.usage as Array<Record<string, unknown>>;
    const row = rows.find(item => item.customer === 'meter');
    expect(row).to.include({route: 'chat', pool: 'engines', requests: 2});
    expect(row?.tokens).to.be.greaterThan(0);
    const text = await metrics('r1');
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

  it('meters claims and notes them in the trail', async () => {
    const headers = {'idempotency-key': core.createId()};
    const answer = await own.request('r1', '/order', headers);
    expect(answer.status).to.equal(200);
    const id = answer.headers.get('oleander-request-id');
    const why = await own.admin('r1', 'GET', `/why/${id}`);
    const steps = why.body.steps as core.Step[];
    const claimed = steps.find(step => step.step === 'claimed');
    expect(claimed).to.not.equal(undefined);
    const text = await metrics(claimed?.router ?? '');
    expect(text).to.contain('oleander_claims_total{outcome="claimed"} 1');
  });

  it('takes an endpoint out of service and back, at every router', async () => {
    const drained = await own.admin('r1', 'POST', '/drain/endpoint/s1');
    expect(drained.body).to.include({outcome: 'accepted', operator: 'ada'});
    const offset = String(drained.body.offset);
    await operators.until(async () => {
      const path = `/status?offset=${offset}`;
      const {body} = await own.admin('r2', 'GET', path);
      return (body.in_force as core.InForce).lagging.length === 0;
    });
    const before = await own.started('s1');
    const routers = ['r1', 'r2', 'r3', 'r1', 'r2', 'r3'];
    for (const router of routers) {
      const answer = await own.request(router, '/lookup');
      expect(answer.headers.get('oleander-endpoint')).to.equal('s2');
    }
    expect(await own.started('s1')).to.equal(before);
    const {endpoints} = await state('r3');
    const shown = endpoints.find(item => item.name === 's1');
    expect(shown).to.include({is_drained: true});
    const again = await own.admin('r2', 'POST', '/drain/endpoint/s1');
    expect(again.body).to.deep.equal({endpoint: 's1'});
    const undone = await own.admin('r2', 'DELETE', '/drain/endpoint/s1');
    expect(undone.body).to.include({outcome: 'accepted'});
    const unknown = await own.admin('r2', 'POST', '/drain/endpoint/s9');
    expect(unknown.body).to.include({kind: 'not_found'});
  });

  it('tells the same routers as callers are told', async () => {
    const query = '?path=/chat&chat=c1';
    const {body} = await own.admin('r1', 'GET', `/where${query}`);
    const {address, port} = own.fleet.member('r1').instance;
    const place = `http://${address}:${port}/where${query}`;
    expect(body).to.deep.equal((await operators.call(place, 'GET')).body);
  });

  it('lets a router drain through another one', async () => {
    const {process} = own.fleet.member('r3');
    const asked = await own.admin('r1', 'POST', '/drain/router/r3');
    expect(asked.status).to.equal(202);
    expect(await process.exited).to.include({status: 0});
    const unknown = await own.admin('r1', 'POST', '/drain/router/r9');
    expect(unknown.body).to.include({kind: 'not_found'});
  });

  it('names the routers that lag', async () => {
    const {in_force: force, routers} = await state('r1');
    expect(force).to.include({routers: 2, of: 3});
    expect(force.lagging).to.deep.equal(['r3']);
    expect(routers.find(item => item.name === 'r3')).to.include({
      is_reached: false,
    });
  });
});
