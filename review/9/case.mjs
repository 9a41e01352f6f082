/**
 * A router gets SIGTERM while it relays event streams that have neither a length
 * nor chunks. A stream that it has to break off must not look complete.
 */
import * as harness from '../harness-2.mjs';

const ROUTERS = 2;
const ENGINES = 4;
const CLIENTS = 12;

/** Events of each stream, and the pause between them, in ms. */
const EVENTS = 110;
const EVENT_INTERVAL_MS = 100;

const DEADLINE_MS = 12_004;

/** Time from the first request to the signal, in ms. */
const SIGNAL_AFTER_MS = 1_000;

/** The signal that ends the router, and the time until SIGKILL follows, in ms. */
const {SIGNAL = 'SIGTERM'} = process.env;
const GRACE_MS = 8_000;

const ROUTES = [
  {
    name: 'report-draft',
    host: harness.HOST,
    pathPrefix: '/draft/',
    kind: 'streaming',
    timeoutMs: 12_000,
    goalMs: 800,
    priority: 0,
    service: 'pool',
    maxAttempts: 2,
    public: false,
    sticky: true,
    resumable: true,
    gapTargetMs: 400,
  },
];

/** Answers with a stream that ends with its channel. */
async function stream(run, {socket}, engine) {
  const from = Number(run.headers['last-event-id'] ?? 0);
  const headers = {
    ...engine.answerHeaders(run.id),
    'content-type': 'text/event-stream',
    connection: 'close',
  };
  const lines = Object.entries(headers).map(
    ([name, value]) => `${name}: ${value}\r\n`,
  );
  socket.on('error', () => undefined);
  socket.write(`HTTP/1.1 200 OK\r\n${lines.join('')}\r\n`);
  for (let n = from + 1; n <= EVENTS && !socket.destroyed; n++) {
    socket.write(`id: ${n}\ndata: piece ${n}\n\n`);
    await harness.sleep(EVENT_INTERVAL_MS);
  }
  run.isComplete = !socket.destroyed;
  socket.end();
}

function countEvents(body = '') {
  return body.match(/^id: \d+\ndata: piece \d+\n\n/gm)?.length ?? 0;
}

await harness.runCase(
  import.meta.url,
  async ({record, store, fleet, engines}) => {
    store.put('keyed.op', 'config', harness.createConfig(1, ROUTES));
    for (let index = 0; index < ENGINES; index++) {
      const id = `engine-${index}`;
      const engine = new harness.Engine(store, {
        id,
        service: 'pool',
        answer: stream,
      });
      await engine.start();
      engines.push(engine);
    }
    await fleet.start(ROUTERS);
    const [router] = fleet.routers;
    const calls = Array.from({length: CLIENTS}, async () => {
      const id = harness.newAttemptId();
      record.write(`${id} sent to ${router.name}`);
      const answer = await harness.call({
        address: router.address,
        port: fleet.ports.entry,
        path: '/draft/1',
        headers: harness.clientHeaders(id, DEADLINE_MS),
        body: 'x',
        timeoutMs: DEADLINE_MS,
      });
      const {status, isComplete, error} = answer;
      const events = countEvents(answer.body);
      const end = isComplete ? 'ended as complete' : `broken off: ${error}`;
      record.print(
        `${id}: status ${status}, ${events} of ${EVENTS} events, ${end}`,
      );
      return {isComplete, events};
    });
    await harness.sleep(SIGNAL_AFTER_MS);
    if (harness.hasTrouble) {
      fleet.signal(router, SIGNAL);
      const killTimer = setTimeout(() => {
        if (!router.exit) fleet.signal(router, 'SIGKILL');
      }, GRACE_MS);
      void router.exited.then(() => clearTimeout(killTimer));
    }
    const answers = await Promise.all(calls);
    const cutCount = engines
      .flatMap(({runs}) => runs)
      .filter(({isComplete}) => !isComplete).length;
    record.print(
      `streams that engines could not write to their end: ${cutCount}`,
    );
    return answers.some(
      ({isComplete, events}) => isComplete && events < EVENTS,
    );
  },
);
