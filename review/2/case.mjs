/**
 * An entry from another writer stands in the list of engines: its `address`
 * can't be read, since no port has that number. The entry names no engine to
 * use, and the other engines hold.
 */
import {Caller} from '../caller.mjs';
import {
  Deployment,
  createRoute,
  isTroubled,
  runCase,
  sleep,
} from '../deployment.mjs';
import {Engine} from '../engine.mjs';

const CALLERS = 30;
/** Time for which the callers send, and when the entry is written, in ms. */
const TRAFFIC_MS = 30_000;
const ENTRY_AT_MS = 8_000;
/** The store removes an entry that nobody renews: three intervals, in ms. */
const EXPIRY_MS = 3 * 1_200;
/** Work of a request, in ms. */
const WORK_MS = 300;
const CONTACT_MS = 3_000;
/** Ends of processes on a machine, and machines, from which on a day fails. */
const MAX_ENDS = 3;
const MIN_MACHINES = 2;
/** Requests that a machine may pass on and leave without an answer. */
const MAX_UNANSWERED = 3;

const deployment = new Deployment(import.meta.dirname);

async function handle({engine, request, response, run}) {
  run();
  await sleep(WORK_MS);
  const body = `done by ${engine.id}`;
  response.writeHead(200, {
    ...engine.headersFor(request),
    'content-length': body.length,
  });
  response.end(body);
}

async function sendUntil(endMs, index, answers) {
  const router = deployment.routers[index % deployment.routers.length];
  const caller = new Caller(router, deployment.record);
  for (let count = 0; performance.now() < endMs; count++) {
    const path = `/desk/${index}-${count}`;
    const answer = await caller.send({path, deadlineMs: 1_500});
    answers.push({...answer, isKept: count > 0});
    await sleep(100);
  }
}

await runCase(async () => {
  const storeAddress = await deployment.startStore();
  const service = 'sheet-app';
  deployment.configure({
    routes: [
      createRoute({
        name: 'desk',
        pathPrefix: '/desk/',
        kind: 'idempotent',
        service,
        timeoutMs: 1_500,
        goalMs: 1_000,
        maxAttempts: 2,
      }),
    ],
  });
  const engines = ['a', 'b', 'c'].map(
    zone =>
      new Engine(deployment, `i-${zone}`, {
        service,
        zone: `zone-${zone}`,
        handle,
      }),
  );
  for (const engine of engines) await engine.start();
  await deployment.startRouters(3, storeAddress);
  await sleep(CONTACT_MS + 1_000);

  const answers = [];
  const endMs = performance.now() + TRAFFIC_MS;
  const traffic = Array.from({length: CALLERS}, (_, index) =>
    sendUntil(endMs, index, answers),
  );
  await sleep(ENTRY_AT_MS);
  if (isTroubled) {
    deployment.store.put('keyed.servers', 'i-other', {
      service,
      address: '127.0.0.1:99999',
      zone: 'zone-a',
      version: '1',
      slots: 6,
      state: 'ready',
      warmupLeftMs: 0,
      seq: 1,
    });
    deployment.record.add('foreign_entry', {address: '127.0.0.1:99999'});
    await sleep(EXPIRY_MS);
    deployment.unregister('i-other');
  }
  await Promise.all(traffic);

  const ran = new Set(engines.flatMap(({runs}) => runs.map(({id}) => id)));
  const unansweredBy = deployment.routers.map(
    ({name}) =>
      answers.filter(
        ({id, router, outcome, isKept}) =>
          router === name && outcome === 'closed' && isKept && ran.has(id),
      ).length,
  );
  const failed = answers.filter(
    ({outcome, status}) => outcome !== 'complete' || status !== 200,
  );
  const ending = deployment.routers.filter(({ends}) => ends >= MAX_ENDS);
  const ends = deployment.routers.map(({ends: count}) => count);
  deployment.finish(
    Math.max(...unansweredBy) > MAX_UNANSWERED || ending.length >= MIN_MACHINES,
    `${answers.length} requests, ${failed.length} not served, ` +
      `${unansweredBy.join('+')} ran and lost their kept channel, ` +
      `processes ended by themselves ${ends.join('+')} times`,
  );
});
