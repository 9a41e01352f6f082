/** The kernel: names, contracts, ordered start and stop. */
import * as chai from 'chai';
import * as kernel from '../kernel.js';

interface Greeter {
  greet(): string;
}

const GREETER = kernel.contract<Greeter>('greeter', ['greet']);

function stage(name: string, steps: string[], breaks = false) {
  return {
    greet: () => name,
    start: () => {
      steps.push(`start ${name}`);
      return breaks ? Promise.reject(new Error(name)) : Promise.resolve();
    },
    stop: () => {
      steps.push(`stop ${name}`);
      return Promise.resolve();
    },
  };
}

describe('kernel', () => {
  it('finds a service by its name', () => {
    const own = new kernel.Kernel();
    own.register(GREETER, {greet: () => 'hello'});
    chai.expect(own.find(GREETER).greet()).to.equal('hello');
  });

  it('refuses a name that is taken and a service that lacks a method', () => {
    const own = new kernel.Kernel();
    own.register(GREETER, {greet: () => 'hello'});
    chai
      .expect(() => own.register(GREETER, {greet: () => 'again'}))
      .to.throw('registered twice');
    const other = new kernel.Kernel();
    chai
      .expect(() => other.register(GREETER, {} as Greeter))
      .to.throw('lacks one of: greet');
    chai.expect(() => other.find(GREETER)).to.throw('no service');
  });

  it('starts in order, stops in reverse, and undoes a failed start', async () => {
    const steps: string[] = [];
    const own = new kernel.Kernel();
    const key = (name: string) => kernel.contract<Greeter>(name, ['greet']);
    own.register(key('one'), stage('one', steps));
    own.register(key('two'), stage('two', steps));
    await own.start();
    await own.stop();
    chai
      .expect(steps)
      .to.deep.equal(['start one', 'start two', 'stop two', 'stop one']);
    steps.length = 0;
    own.register(key('three'), stage('three', steps, true));
    let failure = '';
    await own.start().catch((error: Error) => (failure = error.message));
    chai.expect(failure).to.equal('three');
    chai.expect(steps.slice(-2)).to.deep.equal(['stop two', 'stop one']);
  });
});
