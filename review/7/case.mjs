/**
 * One of eight model engines sends interim response heads (status 102) without
 * end. Calls to another service must still be answered by their route's timeout.
 */
import * as childProcess from 'node:child_process';
import * as url from 'node:url';
import * as harness from '../harness-2.mjs';

const ROUTERS = 2;
const SOUND_ENGINES = 7;
const DESKS = 4;
const EVENTS = 20;
const EVENT_INTERVAL_MS = 100;

/** Route timeout and deadline of the calls that are judged, in ms. */
const TIMEOUT_MS = 800;
const DEADLINE_MS = 1_501;

/** Time after the route's timeout by which its answer is due, in ms. */
const ANSWER_SLACK_MS = 500;
const MIN_LATE = 8;

/** How long the engine is in trouble, in ms. */
const LENGTH_MS = 6_500;
const CALL_INTERVAL_MS = 100;
const STREAM_INTERVAL_MS = 60;
const READY_INTERVAL_MS = 1_000;

const ROUTES = [
  {
    name: 'norm-check',
    host: harness.HOST,
    pathPrefix: '/norm/',
    kind: 'streaming',
    timeoutMs: 10_000,
    goalMs: 800,
    priority: 1,
    service: 'pool',
    maxAttempts: 1,
    public: false,
    sticky: true,
    resumable: false,
    gapTargetMs: 400,
  },
  {
    name: 'cert-issue',
    host: harness.HOST,
    pathPrefix: '/cert/',
    kind: 'non_idempotent',
    timeoutMs: TIMEOUT_MS,
    goalMs: 100,
    priority: 2,
    service: 'desk',
    maxAttempts: 1,
    public: false,
  },
];

async function stream(run, response, engine) {
  response.writeHead(200, {
    ...engine.answerHeaders(run.id),
    'content-type': 'text/event-stream',
  });
  for (let n = 1; n <= EVENTS && !response.destroyed; n++) {
    response.write(`id: ${n}\ndata: piece ${n}\n\n`);
    await harness.sleep(EVENT_INTERVAL_MS);
  }
  response.end();
}

async function issue(run, response, engine) {
  await harness.sleep(20);
  response.writeHead(200, engine.answerHeaders(run.id)).end('issued');
}

async function startEngines(store, engines) {
  const count = SOUND_ENGINES + (harness.hasTrouble ? 0 : 1);
  for (let index = 0; index < count; index++) {
    const id = `engine-${index}`;
    engines.push(
      new harness.Engine(store, {id, service: 'pool', answer: stream}),
    );
  }
  for (let index = 0; index < DESKS; index++) {
    const id = `desk-${index}`;
    engines.push(
      new harness.Engine(store, {id, service: 'desk', slots: 6, answer: issue}),
    );
  }
  for (const engine of engines) await engine.start();
}

/** Starts the engine in trouble and keeps its entry; returns a handle of it. */
async function startTroubledEngine(store, record) {
  const program = url.fileURLToPath(new URL('engine.mjs', import.meta.url));
  const id = 'engine-in-trouble';
  const child = childProcess.fork(program, [id], {stdio: 'inherit'});
  const troubled = {runs: 0, stop: () => undefined};
  const port = await new Promise(resolve => {
    child.on('message', message => {
      if (message.port) resolve(message.port);
      if (message.sentBytes !== undefined) {
        record.write(`${id} sent ${message.sentBytes} bytes of interim heads`);
      }
      if (!message.ran) return;
      troubled.runs += 1;
      record.write(`${id} began ${message.ran}`);
    });
  });
  const entry = new harness.Engine(store, {id, service: 'pool'});
  entry.port = port;
  entry.writeEntry();
  const heartbeat = setInterval(() => entry.writeEntry(), 1_200);
  troubled.begin = () => child.send('begin');
  troubled.recover = () => child.send('recover');
  troubled.stop = () => {
    clearInterval(heartbeat);
    child.kill('SIGKILL');
  };
  return troubled;
}

async function measureLag(state) {
  while (!state.isOver) {
    const startMs = performance.now();
    await harness.sleep(20);
    state.lagMs = Math.max(state.lagMs, performance.now() - startMs - 20);
  }
}

async function checkReadiness(state, fleet, record, router) {
  while (!state.isOver) {
    const status = await fleet.readiness(router);
    record.write(
      `readiness of ${router.name}: ${status || 'no answer in 1 s'}`,
    );
    await harness.sleep(READY_INTERVAL_MS);
  }
}

await harness.runCase(
  import.meta.url,
  async ({record, store, fleet, engines}) => {
    store.put('keyed.op', 'config', harness.createConfig(1, ROUTES));
    await startEngines(store, engines);
    await fleet.start(ROUTERS);
    const {entry: port} = fleet.ports;
    const state = {isOver: false, lagMs: 0};
    void measureLag(state);
    for (const router of fleet.routers) {
      void checkReadiness(state, fleet, record, router);
    }
    const troubled = harness.hasTrouble
      ? await startTroubledEngine(store, record)
      : undefined;
    // The routers hear of the engine.
    await harness.sleep(1_500);

    const openCalls = new Set();
    const calls = [];
    const send = ({address, name}, path, deadlineMs) => {
      const id = harness.newAttemptId();
      const sentMs = performance.now();
      const sent = {id, path, router: name, sentMs, answeredMs: undefined};
      const headers = harness.clientHeaders(id, deadlineMs);
      const done = harness
        .call({address, port, path, headers, body: 'x', timeoutMs: deadlineMs})
        .then(({status, error}) => {
          if (status > 0) sent.answeredMs = performance.now() - sentMs;
          const tookMs = Math.round(performance.now() - sentMs);
          record.write(
            `${id} ${path} at ${name}: ${status || error} after ${tookMs} ms`,
          );
          openCalls.delete(done);
        });
      openCalls.add(done);
      return sent;
    };
    troubled?.begin();
    const endMs = performance.now() + LENGTH_MS;
    const sendStreams = async () => {
      for (let n = 0; performance.now() < endMs; n++) {
        send(fleet.routers[n % ROUTERS], '/norm/1', 10_000);
        await harness.sleep(STREAM_INTERVAL_MS);
      }
    };
    void sendStreams();
    for (let n = 0; performance.now() < endMs; n++) {
      calls.push(send(fleet.routers[n % ROUTERS], '/cert/1', DEADLINE_MS));
      await harness.sleep(CALL_INTERVAL_MS);
    }
    troubled?.recover();
    await harness.sleep(DEADLINE_MS + 500);
    state.isOver = true;
    troubled?.stop();

    const answeredBy = ms =>
      calls.filter(({answeredMs = Infinity}) => answeredMs <= ms).length;
    const late = calls.length - answeredBy(TIMEOUT_MS);
    const dueMs = TIMEOUT_MS + ANSWER_SLACK_MS;
    const unanswered = calls.length - answeredBy(dueMs);
    record.print(
      `${calls.length} calls to the other service: ${late} unanswered at the ` +
        `route's ${TIMEOUT_MS} ms, ${unanswered} at ${dueMs} ms`,
    );
    record.print(`requests at the engine in trouble: ${troubled?.runs ?? 0}`);
    record.print(
      `longest pause of the stand-ins: ${Math.round(state.lagMs)} ms`,
    );
    if (state.lagMs > 400) throw new Error('the stand-ins were held up');
    return late >= MIN_LATE && unanswered * 2 > late;
  },
);
