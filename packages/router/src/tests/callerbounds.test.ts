/**
 * Callers that do not behave: whatever a crowd of them sends at any listener,
 * the process lives, its memory and descriptors stay within bounds, and ordinary
 * requests are answered, while the crowd stays and after it has left.
 */
import * as chai from 'chai';
import type * as standins from '@oleanderrock/standins';
import * as crowds from './crowds.js';
import * as pressedRouter from './pressedrouter.js';
import * as routerProcess from './routerprocess.js';

const {expect} = chai;

const BYTES_PER_MB = 1_048_576;

/** Memory that the router may hold for requests and answers, in MB. */
const HELD_MB = 20;
/** What the process may grow by, as a multiple of that memory. */
const MAX_GROWTH = 1.5;
const MAX_FDS = 400;
/** Connections of a crowd: of 4 MB each, 50 times the memory to be held. */
const CROWD = 250;
const CROWD_OVER_DESCRIPTORS = 600;
/** Connections of a crowd each of which makes the endpoint work. */
const SMALL_CROWD = 60;

/** Limits of the smallest instances, and the callers' connections there. */
const INSTANCE_MB = 272;
const INSTANCE_HELD_MB = 68;
const INSTANCE_FDS = 2_069;
const INSTANCE_SEATS = 930;

const TEST_TIMEOUT_MS = 60_000;
const LONG_ANSWER = 'a'.repeat(12 * BYTES_PER_MB);
/** Answer that is read as a whole before it is passed on. */
const WHOLE_ANSWER = 'a'.repeat(1_000_000);
const ANSWERS_AHEAD = 18;

/** Head of an answer that ends with its connection. */
function unframedHead({headers}: standins.RecordedRun): string {
  return (
    'HTTP/1.1 200 OK\r\nresponse-seal: s\r\n' +
    `attempt-id: ${String(headers['attempt-id'])}\r\n\r\n`
  );
}

describe('callers that do not behave', function () {
  this.timeout(TEST_TIMEOUT_MS);
  const pressed = new pressedRouter.PressedRouter({
    heldMb: HELD_MB,
    maxFds: MAX_FDS,
  });
  let router: routerProcess.RouterProcess;
  let crowd: crowds.Crowd;
  let startBytes: number;

  beforeEach(() => {
    ({router, crowd} = pressed);
    startBytes = router.memory().nowBytes;
    router.resetPeak();
  });

  const plainDoor = (port: number, path: string): crowds.Door => ({
    host: router.address,
    port,
    head: (method, fields) =>
      [`${method} ${path} HTTP/1.1`, 'host: h', ...fields].join('\r\n'),
  });

  const otherDoors = (): readonly crowds.Door[] => [
    pressed.entryDoor('/nowhere'),
    plainDoor(router.ports.ready, '/ready'),
    plainDoor(router.ports.ready, '/metrics'),
    plainDoor(router.ports.directory, '/resolve?name=chat.example'),
    plainDoor(router.ports.peer, '/nowhere'),
  ];

  function checkBounds(): void {
    expect(router.isAlive, `the process lives: ${router.logEnd}`).to.equal(
      true,
    );
    expect(router.descriptorCount(), 'open descriptors').to.be.below(MAX_FDS);
    const growthBytes = router.memory().peakBytes - startBytes;
    expect(growthBytes / BYTES_PER_MB, 'growth in MB').to.be.at.most(
      MAX_GROWTH * HELD_MB,
    );
  }

  /** Lets the crowd press, and checks the bounds with it and after it. */
  async function checkCrowd(): Promise<void> {
    await crowd.press();
    checkBounds();
    await router.awaitService();
    crowd.leave();
    await router.awaitService();
    checkBounds();
  }

  for (const kind of crowds.MISBEHAVIOURS) {
    it(`${kind.name}: at a route`, async () => {
      crowd.open([pressed.entryDoor('/read/a')], kind, CROWD);
      await checkCrowd();
    });

    it(`${kind.name}: without a route, and at the other listeners`, async () => {
      crowd.open(otherDoors(), kind, CROWD);
      await checkCrowd();
    });
  }

  it('more connections than descriptors: at a route', async () => {
    const silent = crowds.MISBEHAVIOURS.at(-1)!;
    crowd.open([pressed.entryDoor('/read/a')], silent, CROWD_OVER_DESCRIPTORS);
    await checkCrowd();
  });

  it('more connections than descriptors: at the other listeners', async () => {
    const silent = crowds.MISBEHAVIOURS.at(-1)!;
    crowd.open(otherDoors(), silent, CROWD_OVER_DESCRIPTORS);
    await checkCrowd();
  });

  const asksAndReadsNothing = (requests: number): crowds.Misbehaviour => ({
    name: 'answers of which nothing is read',
    readsNothing: true,
    attack: (socket, door) => {
      for (let count = 0; count < requests; count++) {
        const head = door.head('POST', ['content-length: 0']);
        socket.write(`${head}\r\n\r\n`);
      }
    },
  });

  const WHOLE_BODIES: crowds.Misbehaviour = {
    name: 'whole bodies',
    attack: (socket, door) => {
      const length = `content-length: ${routerProcess.MAX_BODY_BYTES}`;
      socket.write(`${door.head('POST', [length])}\r\n\r\n`);
      socket.write(Buffer.alloc(routerProcess.MAX_BODY_BYTES, 'w'));
    },
  };

  /** Lets the endpoint behave so towards all but ordinary requests. */
  function setBehaviour(behaviour: standins.Behaviour): void {
    router.endpoint.chooseBehaviour = ({body}) =>
      body === 'ordinary' ? {type: 'answer'} : behaviour;
  }

  it('long answers of which nothing is read', async () => {
    setBehaviour({type: 'answer', body: LONG_ANSWER});
    const kind = asksAndReadsNothing(1);
    crowd.open([pressed.entryDoor('/book/b')], kind, SMALL_CROWD);
    await checkCrowd();
  });

  it('answers to requests ahead of which nothing is read', async () => {
    setBehaviour({type: 'answer', body: WHOLE_ANSWER});
    const kind = asksAndReadsNothing(ANSWERS_AHEAD);
    crowd.open([pressed.entryDoor('/book/b')], kind, SMALL_CROWD);
    await checkCrowd();
  });

  it('answers without end of which nothing is read', async () => {
    setBehaviour({
      type: 'endless',
      text: unframedHead,
      bytes: Buffer.from('data: x\n\n'.repeat(5_000)),
    });
    const doors = [pressed.entryDoor('/once/b'), pressed.entryDoor('/chat/b')];
    crowd.open(doors, asksAndReadsNothing(1), SMALL_CROWD);
    await checkCrowd();
  });

  // What waits of an event until it is complete was not part of the budget.
  it('streams whose first event does not end', async () => {
    setBehaviour({
      type: 'endless',
      text: unframedHead,
      bytes: Buffer.alloc(16_384, 'x'),
    });
    const kind = {...asksAndReadsNothing(1), readsNothing: false};
    crowd.open([pressed.entryDoor('/chat/b')], kind, SMALL_CROWD);
    await checkCrowd();
  });

  it('whole bodies for an endpoint that does not answer', async () => {
    setBehaviour({type: 'hang'});
    crowd.open([pressed.entryDoor('/book/b')], WHOLE_BODIES, SMALL_CROWD);
    await checkCrowd();
  });

  it('whole bodies for an endpoint that does not read', async () => {
    router.endpoint.refusesEarly = headers =>
      headers['content-length'] === String(routerProcess.MAX_BODY_BYTES);
    router.endpoint.unreadBodyMs = TEST_TIMEOUT_MS;
    crowd.open([pressed.entryDoor('/book/b')], WHOLE_BODIES, SMALL_CROWD);
    await checkCrowd();
  });
});

describe('callers that take all seats of an instance', function () {
  this.timeout(TEST_TIMEOUT_MS);
  const pressed = new pressedRouter.PressedRouter({
    heldMb: INSTANCE_HELD_MB,
    maxFds: INSTANCE_FDS,
  });

  for (const kind of [
    crowds.HEADS_OF_MOST_FIELDS,
    crowds.BODIES_OF_MOST_FIELDS,
    crowds.LONG_HEADS_AHEAD,
  ]) {
    it(kind.name, async () => {
      const {router, crowd} = pressed;
      router.endpoint.chooseBehaviour = ({body}) =>
        body === 'ordinary' ? {type: 'answer'} : {type: 'hang'};
      crowd.open([pressed.entryDoor('/read/a')], kind, INSTANCE_SEATS);
      await crowd.press();
      await router.awaitService();
      const peakMb = router.memory().peakBytes / BYTES_PER_MB;
      expect(peakMb, 'peak of the memory in MB').to.be.at.most(INSTANCE_MB);
    });
  }
});
