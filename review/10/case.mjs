/**
 * Clients send requests of legal size that have very many short fields. Engines
 * must get the fields that say what the request is as the clients sent them.
 */
import * as net from 'node:net';
import * as harness from '../harness-2.mjs';

const ROUTERS = 2;
const ENGINES = 4;
const REQUESTS = 20;
const EVENTS = 20;
const DEADLINE_MS = 12_004;
const INTERVAL_MS = 50;

/** Number of short fields with the disruption, and without. */
const MANY_FIELDS = 1_100;
const FEW_FIELDS = 10;

/** The config's limit on the head of a request, in bytes. */
const MAX_HEAD_BYTES = 16_384;

/** Id of the last event that the clients have from an earlier answer. */
const LAST_EVENT_ID = 12;

/** What the request is; these fields follow the short ones. */
const REQUEST_FIELDS = {
  model: 'm',
  'token-counts': '1460,80',
  'prompt-prefix': '5c1e07a2:800,91bd3f06:410,e4402b7d:250',
};

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

async function stream(run, response, engine) {
  response.writeHead(200, {
    ...engine.answerHeaders(run.id),
    'content-type': 'text/event-stream',
  });
  const from = Number(run.headers['last-event-id'] ?? 0);
  for (let n = from + 1; n <= EVENTS; n++) {
    response.write(`id: ${n}\ndata: piece ${n}\n\n`);
  }
  response.end();
}

function requestHead(id) {
  const count = harness.hasTrouble ? MANY_FIELDS : FEW_FIELDS;
  const shortFields = Array.from({length: count}, (_, index) => [
    `x${index.toString(36)}`,
    '1',
  ]);
  const fields = [
    ...Object.entries(harness.clientHeaders(id, DEADLINE_MS)),
    ...shortFields,
    ...Object.entries(REQUEST_FIELDS),
    ['last-event-id', String(LAST_EVENT_ID)],
    ['content-length', '1'],
    ['connection', 'close'],
  ];
  const lines = fields.map(([name, value]) => `${name}: ${value}`);
  const head = ['POST /draft/1 HTTP/1.1', ...lines, '', ''].join('\r\n');
  if (head.length > MAX_HEAD_BYTES) throw new Error('the head is too large');
  return head;
}

/** Sends the request; resolves with the text of the answer. */
function send({address}, port, head) {
  return new Promise(resolve => {
    const socket = net.connect({host: address, port});
    let text = '';
    const timer = setTimeout(() => socket.destroy(), DEADLINE_MS);
    socket.on('data', data => (text += data));
    socket.on('error', () => undefined);
    socket.on('close', () => {
      clearTimeout(timer);
      resolve(text);
    });
    socket.write(`${head}x`);
  });
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
    let changedCount = 0;
    let repeatedCount = 0;
    let answeredCount = 0;
    for (let n = 0; n < REQUESTS; n++) {
      const id = harness.newAttemptId();
      const head = requestHead(id);
      const router = fleet.routers[n % ROUTERS];
      const text = await send(router, fleet.ports.entry, head);
      const [statusLine] = text.split('\r\n');
      record.write(`${id}: head of ${head.length} bytes, ${statusLine}`);
      if (statusLine.startsWith('HTTP/1.1 200')) answeredCount += 1;
      if (text.includes(`id: ${LAST_EVENT_ID}\n`)) repeatedCount += 1;
      for (const run of engines.flatMap(({runs}) => runs)) {
        if (run.id !== id) continue;
        const changed = Object.entries(REQUEST_FIELDS).filter(
          ([name, value]) => run.headers[name] !== value,
        );
        for (const [name, value] of changed) {
          const got = run.headers[name] ?? 'nothing';
          record.write(`${id}: ${name} sent as ${value}, run with ${got}`);
        }
        if (changed.length > 0) changedCount += 1;
      }
      await harness.sleep(INTERVAL_MS);
    }
    record.print(
      `${REQUESTS} requests sent, ${answeredCount} answered with 200`,
    );
    record.print(`runs with other fields than the client's: ${changedCount}`);
    record.print(
      `answers that repeat events before ${LAST_EVENT_ID + 1}: ${repeatedCount}`,
    );
    return changedCount > 0;
  },
);
