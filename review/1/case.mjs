/**
 * Engines that are full refuse some requests with `Not-Executed`. With the
 * disruption they send a second copy of such an answer, late: on the kept
 * channel, when the next request has come. The copy carries the id of the
 * request that it answers. Streams that may not be resumed must run once.
 */
import {Caller} from '../caller.mjs';
import {
  Deployment,
  createRoute,
  isTroubled,
  runCase,
  sleep,
} from '../deployment.mjs';
import {Engine, eventText} from '../engine.mjs';

const CALLERS = 15;
const REQUESTS_PER_CALLER = 60;
/** Share of requests that an engine refuses since it is full. */
const FULL_SHARE = 0.03;
/** Engines that send late copies; the others only refuse. */
const FAULTY = new Set(['i-a', 'i-b', 'i-c']);
/** Time until the first event, and between events, in ms. */
const STEP_MS = 60;
const EVENTS = 4;
/** Machines are in touch after this time, in ms. */
const CONTACT_MS = 3_000;

const deployment = new Deployment(import.meta.dirname);

/** Copies of refusals that are still to be sent, by channel. */
const lateCopies = new WeakMap();

async function handle({engine, id, request, response, run}) {
  const {socket} = request;
  const copy = lateCopies.get(socket);
  if (copy) {
    lateCopies.delete(socket);
    socket.write(copy.text);
    deployment.record.add('late_copy', {of: copy.id, before: id});
  } else if (Math.random() < FULL_SHARE) {
    response.writeHead(503, {
      'attempt-id': id,
      'not-executed': '1',
      'content-length': 0,
    });
    response.end();
    deployment.record.add('refused_by_engine', {id, engine: engine.id});
    if (isTroubled && FAULTY.has(engine.id)) {
      const text =
        'HTTP/1.1 503 Service Unavailable\r\n' +
        `Attempt-Id: ${id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n`;
      lateCopies.set(socket, {id, text});
    }
    return;
  }
  run();
  response.writeHead(200, {
    ...engine.headersFor(request),
    'content-type': 'text/event-stream',
  });
  for (let number = 1; number <= EVENTS && !response.destroyed; number++) {
    await sleep(STEP_MS);
    response.write(eventText(number));
  }
  response.end();
}

await runCase(async () => {
  const storeAddress = await deployment.startStore();
  deployment.configure({
    routes: [createRoute({name: 'chat', pathPrefix: '/chat/', maxAttempts: 1})],
  });
  const engines = ['a', 'b', 'c', 'd', 'e'].map(
    (name, index) =>
      new Engine(deployment, `i-${name}`, {
        zone: `zone-${'abc'[index % 3]}`,
        handle,
      }),
  );
  for (const engine of engines) await engine.start();
  await deployment.startRouters(3, storeAddress);
  await sleep(CONTACT_MS + 1_000);

  const answers = [];
  await Promise.all(
    Array.from({length: CALLERS}, async (_, index) => {
      const router = deployment.routers[index % deployment.routers.length];
      const caller = new Caller(router, deployment.record);
      for (let count = 0; count < REQUESTS_PER_CALLER; count++) {
        const path = `/chat/${index}-${count}`;
        answers.push(
          await caller.send({path, deadlineMs: 15_000, isStream: true}),
        );
        await sleep(50);
      }
    }),
  );

  const runsById = new Map();
  for (const engine of engines) {
    for (const {id} of engine.runs) {
      runsById.set(id, [...(runsById.get(id) ?? []), engine.id]);
    }
  }
  const twice = [...runsById].filter(([, runs]) => runs.length > 1);
  const refused = answers.filter(
    ({id, status}) => [408, 421, 429, 503].includes(status) && runsById.has(id),
  );
  for (const [id, runs] of twice) {
    deployment.record.add('ran_twice', {id, engines: runs.join()});
  }
  for (const {id, status} of refused) {
    deployment.record.add('refused_but_ran', {id, status});
  }
  const complete = answers.filter(({outcome}) => outcome === 'complete');
  deployment.finish(
    twice.length + refused.length > 0,
    `${answers.length} requests, ${complete.length} whole answers, ` +
      `${twice.length} ran twice, ${refused.length} refused but ran`,
  );
});
