/** Tests of the kernel: registration, contract checks, start and stop order. */
import * as chai from 'chai';
import * as kernel from '../kernel.js';

interface Greeter {
  greet(): string;
}

const GREETER = kernel.contract<Greeter>('greeter', ['greet']);

/** Creates a service that records its start and stop in `events`. */
function createRecordingGreeter(
  name: string,
  events: string[],
  failsToStart = false,
) {
  return {
    greet: () => name,
    start: () => {
      events.push(`start ${name}`);
      return failsToStart ? Promise.reject(new Error(name)) : Promise.resolve();
    },
    stop: () => {
      events.push(`stop ${name}`);
      return Promise.resolve();
    },
  };
}

describe('kernel', () => {
  it('finds a service by its name', () => {
    const registry = new kernel.Kernel();
    registry.register(GREETER, {greet: () => 'hello'});
    chai.expect(registry.find(GREETER).greet()).to.equal('hello');
  });

  it('rejects a duplicate name, a missing method and an unknown name', () => {
    const registry = new kernel.Kernel();
    registry.register(GREETER, {greet: () => 'hello'});
    chai
      .expect(() => registry.register(GREETER, {greet: () => 'again'}))
      .to.throw('already registered');
    const emptyRegistry = new kernel.Kernel();
    chai
      .expect(() => emptyRegistry.register(GREETER, {} as Greeter))
      .to.throw('must have the methods: greet');
    chai.expect(() => emptyRegistry.find(GREETER)).to.throw('no service');
  });

  it('starts in order, stops in reverse, and stops started services if a start fails', async () => {
    const events: string[] = [];
    const registry = new kernel.Kernel();
    const greeterContract = (name: string) =>
      kernel.contract<Greeter>(name, ['greet']);
    registry.register(
      greeterContract('one'),
      createRecordingGreeter('one', events),
    );
    registry.register(
      greeterContract('two'),
      createRecordingGreeter('two', events),
    );
    await registry.start();
    await registry.stop();
    chai
      .expect(events)
      .to.deep.equal(['start one', 'start two', 'stop two', 'stop one']);
    events.length = 0;
    registry.register(
      greeterContract('three'),
      createRecordingGreeter('three', events, true),
    );
    let startError = '';
    await registry
      .start()
      .catch((error: Error) => (startError = error.message));
    chai.expect(startError).to.equal('three');
    chai.expect(events.slice(-2)).to.deep.equal(['stop two', 'stop one']);
  });
});
