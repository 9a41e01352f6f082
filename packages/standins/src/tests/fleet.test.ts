/** The fleet of child processes: start, list, halt and end. */
import * as chai from 'chai';
import * as fleet from '../fleet.js';
import * as support from './support.js';

const {expect} = chai;

describe('fleet', () => {
  let stand: fleet.Fleet;

  beforeEach(async () => {
    stand = new fleet.Fleet();
    await stand.start();
  });

  afterEach(() => stand.stop());

  const listed = async () => {
    const address = `${stand.platformUrl}/instances`;
    const {body} = await support.json('GET', address);
    const {instances} = body as {instances: Array<{name: string}>};
    return instances.map(({name}) => name);
  };

  it('starts endpoints, lists them and ends them', async () => {
    const labels = {pool: 'engines'};
    const [engine] = await Promise.all([
      stand.addEngine({name: 'e1', labels, flags: ['--slots', '2']}),
      stand.addService({name: 's1', failureDomain: 'b'}),
    ]);
    expect(await listed()).to.have.members(['e1', 's1']);
    expect(engine.instance).to.deep.include({labels, kind: 'endpoint'});
    expect(await stand.control('e1', {slow_ms: 1})).to.include({slow_ms: 1});
    expect(await stand.terminate('s1')).to.include({status: 0});
    expect(await stand.kill('e1')).to.include({signal: 'SIGKILL'});
    await stand.remove('e1');
    expect(await listed()).to.deep.equal(['s1']);
  });

  it('halts and resumes a process', async () => {
    await stand.addEngine({name: 'e1'});
    stand.freeze('e1');
    const stats = stand.stats('e1');
    await stand.platformStats();
    stand.resume('e1');
    expect(await stats).to.include({started: 0});
  });

  it('tells what a process said that does not start', async () => {
    const flags = ['--slots', 'many'];
    const started = stand.addEngine({name: 'e1', flags});
    const failure = await started.then(
      () => '',
      (error: Error) => error.message,
    );
    expect(failure).to.contain('e1 ended').and.contain('--slots');
  });

  it('ends as a process when it is told to crash', async () => {
    const {process} = await stand.addEngine({name: 'e1'});
    await stand.control('e1', {down: true}).catch(() => {});
    expect(await process.exited).to.include({status: 1});
  });
});
