/**
 * Test support: a router for each test of a suite, and a crowd of callers that
 * presses it. Created within `describe`; both end after each test.
 */
import * as crowds from './crowds.js';
import * as routerProcess from './routerprocess.js';

/** A router process and a crowd. */
export class PressedRouter {
  router = new routerProcess.RouterProcess();
  crowd = new crowds.Crowd();

  constructor(limits: routerProcess.ProcessLimits) {
    beforeEach(async () => {
      this.router = new routerProcess.RouterProcess();
      this.crowd = new crowds.Crowd();
      await this.router.start(limits);
    });
    afterEach(async () => {
      this.crowd.leave();
      await this.router.stop();
    });
  }

  /** The listener for requests, by a path of it. */
  entryDoor(path: string): crowds.Door {
    const {router} = this;
    return {
      host: router.address,
      port: router.ports.entry,
      head: (method, fields) => router.head(`${method} ${path}`, fields),
    };
  }
}
