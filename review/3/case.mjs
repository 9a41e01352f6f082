/**
 * Two of four engines are in trouble: the body of some of their streams goes on
 * with bytes that are no events, without end, until the caller closes. Requests
 * of another route and service pass through the same routers meanwhile.
 */
import {Caller} from '../caller.mjs';
import {
  Deployment,
  ROOT,
  createRoute,
  freePort,
  isTroubled,
  runCase,
  sleep,
} from '../deployment.mjs';
import {Engine, eventText} from '../engine.mjs';

const STREAM_CALLERS = 16;
const DESK_CALLERS = 8;
const ROUTERS = 2;
const TRAFFIC_MS = 45_000;
const PAUSE_MS = 200;
/** The engines in trouble spoil 5 in 100 of their answers. */
const EVERY_NTH = 20;
/** Response-time goal of the streams; callers wait for four times as long. */
const GOAL_MS = 1_500;
const STEP_MS = 60;
const EVENTS = 4;
const WORK_MS = 20;
const DESK_TIMEOUT_MS = 1_500;
/**
 * Time after `timeoutMs` by which there has to be an answer, and after a caller
 * has left by which its engine is let go, in ms.
 */
const SLACK_MS = 500;
const CONTACT_MS = 3_000;

const deployment = new Deployment(import.meta.dirname);

/** When the channels of endless answers closed at their engine, by id. */
const closedMs = new Map();

async function handleStream({engine, request, response, run}) {
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

async function handleDesk({engine, request, response, run}) {
  run();
  await sleep(WORK_MS);
  response.writeHead(200, {
    ...engine.headersFor(request),
    'content-length': 2,
  });
  response.end('ok');
}

async function startTroubledEngine(name) {
  const host = deployment.nextAddress();
  const port = await freePort(host);
  const file = `${ROOT}/review/endless.mjs`;
  const everyNth = isTroubled ? EVERY_NTH : 0;
  const child = await deployment.startProgram(file, [
    host,
    port,
    `i-${name}`,
    everyNth,
  ]);
  child.stdout.on('data', text => {
    for (const [, id] of String(text).matchAll(/closed (\w+)/g)) {
      closedMs.set(id, performance.now());
      deployment.record.add('endless_answer_closed', {id});
    }
  });
  deployment.register(`i-${name}`, {
    service: 'oleander-pool',
    address: `${host}:${port}`,
    zone: `zone-${name}`,
    born: Date.now(),
  });
}

async function sendUntil(endMs, index, request, answers) {
  const router = deployment.routers[index % deployment.routers.length];
  const caller = new Caller(router, deployment.record);
  for (let count = 0; performance.now() < endMs; count++) {
    const path = `${request.prefix}${index}-${count}`;
    answers.push(await caller.send({...request, path}));
    await sleep(PAUSE_MS);
  }
}

await runCase(async () => {
  const storeAddress = await deployment.startStore();
  deployment.configure({
    routes: [
      createRoute({name: 'chat', pathPrefix: '/chat/', goalMs: GOAL_MS}),
      createRoute({
        name: 'desk',
        pathPrefix: '/desk/',
        kind: 'idempotent',
        service: 'sheet-app',
        timeoutMs: DESK_TIMEOUT_MS,
        goalMs: 121,
      }),
    ],
  });
  const engines = ['a', 'b'].flatMap(name => [
    new Engine(deployment, `i-${name}`, {
      zone: `zone-${name}`,
      handle: handleStream,
    }),
    new Engine(deployment, `d-${name}`, {
      service: 'sheet-app',
      zone: `zone-${name}`,
      handle: handleDesk,
    }),
  ]);
  for (const engine of engines) await engine.start();
  for (const name of ['c', 'd']) await startTroubledEngine(name);
  await deployment.startRouters(ROUTERS, storeAddress);
  await sleep(CONTACT_MS + 1_000);

  const streams = [];
  const calls = [];
  const endMs = performance.now() + TRAFFIC_MS;
  const stream = {
    prefix: '/chat/',
    deadlineMs: 15_000,
    gapMs: 4 * GOAL_MS,
    isStream: true,
  };
  const call = {prefix: '/desk/', deadlineMs: 20_000};
  await Promise.all([
    ...Array.from({length: STREAM_CALLERS}, (_, index) =>
      sendUntil(endMs, index, stream, streams),
    ),
    ...Array.from({length: DESK_CALLERS}, (_, index) =>
      sendUntil(endMs, index, call, calls),
    ),
  ]);

  const overdue = calls.filter(({tookMs}) => tookMs > DESK_TIMEOUT_MS);
  const unanswered = overdue.filter(
    ({tookMs}) => tookMs > DESK_TIMEOUT_MS + SLACK_MS,
  );
  const left = streams.filter(({outcome}) => outcome === 'left');
  const endless = left.filter(({id}) => closedMs.has(id));
  const kept = endless.filter(
    ({id, sentMs, tookMs}) => closedMs.get(id) - sentMs - tookMs > SLACK_MS,
  );
  for (const {id, sentMs, tookMs} of kept) {
    const afterMs = Math.round(closedMs.get(id) - sentMs - tookMs);
    deployment.record.add('engine_kept_at_work', {id, after_ms: afterMs});
  }
  const longestMs = Math.max(...calls.map(({tookMs}) => tookMs));
  deployment.finish(
    unanswered.length > overdue.length / 2 || kept.length > endless.length / 4,
    `${calls.length} calls, ${overdue.length} unanswered at timeoutMs, ` +
      `${unanswered.length} of them half a second later, ` +
      `longest ${longestMs} ms; ${streams.length} streams, ${endless.length} ` +
      `without end, ${kept.length} kept half a second after the caller left`,
  );
});
