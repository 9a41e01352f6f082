/** Tests of what happens to tasks that fail. */
import * as timers from 'node:timers/promises';
import * as chai from 'chai';
import * as core from '../index.js';

const {expect} = chai;

describe('a task that fails', () => {
  it('runs again if it is that of a service, until the service stops', async () => {
    const group = new core.TaskGroup(new core.SilentLogger());
    let runCount = 0;
    const succeeded = new Promise<void>(resolve => {
      group.supervise('task', new core.SystemClock(), () => {
        runCount += 1;
        if (runCount < 3) throw new Error('unexpected');
        resolve();
        return Promise.resolve();
      });
    });
    await succeeded;
    await group.stop();
    expect(runCount).to.equal(3);
  });

  it('does not hold up the stop of its group', async () => {
    const group = new core.TaskGroup(new core.SilentLogger());
    group.supervise('task', new core.SystemClock(), () =>
      Promise.reject(new Error('unexpected')),
    );
    await group.stop();
    expect(group.size).to.equal(0);
  });

  it('is logged if nobody waits for its end', async () => {
    const events: string[] = [];
    const log = new core.SilentLogger();
    log.error = (event?: string) => void events.push(event ?? '');
    core.detach(log, 'task', () => Promise.reject(new Error('unexpected')));
    await timers.setImmediate();
    core.detach(log, 'task', () => {
      throw new Error('unexpected');
    });
    expect(events).to.deep.equal(['task_failed', 'task_failed']);
  });
});
