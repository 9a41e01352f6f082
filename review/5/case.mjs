/**
 * The channels on which the routers wait for a newer configuration go silent,
 * without a reset, while all other channels and new ones work. Later than
 * `contactMs` after that, a key is taken away. Requests with that key that are
 * sent later than `configMs` after the confirmation must not run.
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
import {SilencingProxy} from '../proxy.mjs';

const CALLERS = 6;
const PAUSE_MS = 100;
const WORK_MS = 20;
const CONTACT_MS = 3_000;
const CONFIG_MS = 2_000;
/** Time for which requests are sent after the key was taken away, in ms. */
const OBSERVED_MS = 20_000;

const deployment = new Deployment(import.meta.dirname);

async function handle({engine, request, response, run}) {
  run();
  await sleep(WORK_MS);
  response.writeHead(200, {
    ...engine.headersFor(request),
    'content-length': 2,
  });
  response.end('ok');
}

async function sendUntil(isDone, index, key, answers) {
  const router = deployment.routers[index % deployment.routers.length];
  const caller = new Caller(router, deployment.record);
  for (let count = 0; !isDone(); count++) {
    const path = `/desk/${index}-${count}`;
    const headers = {'x-api-key': key};
    answers.push(await caller.send({path, deadlineMs: 1_500, headers}));
    await sleep(PAUSE_MS);
  }
}

await runCase(async () => {
  const storeAddress = await deployment.startStore();
  const proxy = new SilencingProxy(storeAddress);
  const proxyAddress = await proxy.listen(deployment.nextAddress());
  const service = 'sheet-app';
  const routes = [
    createRoute({
      name: 'desk',
      pathPrefix: '/desk/',
      kind: 'idempotent',
      service,
      timeoutMs: 1_500,
      goalMs: 121,
      public: false,
    }),
  ];
  const keys = ['key-kept', 'key-revoked'];
  deployment.configure({routes, tenants: [{name: 'acme', keys}]});
  const engines = ['a', 'b', 'c'].map(
    name =>
      new Engine(deployment, `d-${name}`, {
        service,
        zone: `zone-${name}`,
        handle,
      }),
  );
  for (const engine of engines) await engine.start();
  await deployment.startRouters(3, proxyAddress);
  await sleep(CONTACT_MS + 1_000);

  const answers = [];
  let isDone = false;
  const traffic = Array.from({length: CALLERS}, (_, index) =>
    sendUntil(() => isDone, index, 'key-revoked', answers),
  );
  // A change that all routers receive, so that they all begin a new wait.
  deployment.configure({routes, tenants: [{name: 'acme', keys}]});
  await sleep(1_500);
  if (isTroubled) {
    const count = proxy.silenceWaitingReads();
    deployment.record.add('channels_silent', {count});
  }
  await sleep(CONTACT_MS + 500);
  deployment.configure({routes, tenants: [{name: 'acme', keys: ['key-kept']}]});
  const confirmedMs = performance.now();
  await sleep(OBSERVED_MS);
  isDone = true;
  await Promise.all(traffic);

  const ran = new Set(engines.flatMap(({runs}) => runs.map(({id}) => id)));
  const late = answers.filter(
    ({id, sentMs}) => ran.has(id) && sentMs > confirmedMs + CONFIG_MS,
  );
  for (const {id, router, sentMs} of late) {
    const afterMs = Math.round(sentMs - confirmedMs);
    deployment.record.add('ran_with_dropped_key', {
      id,
      router,
      after_ms: afterMs,
    });
  }
  const lastMs = Math.max(0, ...late.map(({sentMs}) => sentMs - confirmedMs));
  deployment.finish(
    late.length > 0,
    `${answers.length} requests with the key, ${late.length} ran that were ` +
      `sent later than ${CONFIG_MS} ms after it was taken away, the last ` +
      `${Math.round(lastMs)} ms after`,
  );
});
