/** Fleets of child processes: start, instance list, signals and exit. */
import * as chai from 'chai';
import * as fleet from '../fleet.js';
import * as support from './support.js';

const {expect} = chai;

describe('fleet', () => {
  let testFleet: fleet.Fleet;

  beforeEach(async () => {
    testFleet = new fleet.Fleet();
    await testFleet.start();
  });

  afterEach(() => testFleet.stop());

  const listedNames = async () => {
    const address = `${testFleet.platformUrl}/instances`;
    const {body} = await support.requestJson('GET', address);
    const {instances} = body as {instances: Array<{name: string}>};
    return instances.map(({name}) => name);
  };

  it('starts endpoints, puts them on the instance list and stops them', async () => {
    const labels = {pool: 'engines'};
    const [engine] = await Promise.all([
      testFleet.addEngine({name: 'e1', labels, flags: ['--slots', '2']}),
      testFleet.addService({name: 's1', failureDomain: 'b'}),
    ]);
    expect(await listedNames()).to.have.members(['e1', 's1']);
    expect(engine.instance).to.deep.include({labels, kind: 'endpoint'});
    expect(await testFleet.setFaults('e1', {slow_ms: 1})).to.include({
      slow_ms: 1,
    });
    expect(await testFleet.terminate('s1')).to.include({status: 0});
    expect(await testFleet.kill('e1')).to.include({signal: 'SIGKILL'});
    await testFleet.remove('e1');
    expect(await listedNames()).to.deep.equal(['s1']);
  });

  it('suspends and resumes a process', async () => {
    await testFleet.addEngine({name: 'e1'});
    testFleet.freeze('e1');
    const stats = testFleet.stats('e1');
    await testFleet.platformStats();
    testFleet.resume('e1');
    expect(await stats).to.include({started: 0});
  });

  it('reports the output of a process that does not start', async () => {
    const flags = ['--slots', 'many'];
    const starting = testFleet.addEngine({name: 'e1', flags});
    const failure = await starting.then(
      () => '',
      (error: Error) => error.message,
    );
    expect(failure).to.contain('e1 exited').and.contain('--slots');
  });

  it('ends the process of a stand-in with status 1 on a crash', async () => {
    const {process} = await testFleet.addEngine({name: 'e1'});
    await testFleet.setFaults('e1', {down: true}).catch(() => {});
    expect(await process.exited).to.include({status: 1});
  });
});
