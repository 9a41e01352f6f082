/**
 * Guards against a failure that promises "not run" being sent for a request that
 * may have run, whatever the dispatcher returns.
 */
import * as http from 'node:http';
import type * as net from 'node:net';
import * as chai from 'chai';
import * as core from '@oleanderrock/core';
import * as decide from '@oleanderrock/decide';
import * as direct from '../index.js';

const {expect} = chai;

const PROMISES = core.ERROR_KINDS.filter(
  kind => core.ERROR_RESPONSES[kind].ran === 'no',
);

class ErrorLogger extends core.SilentLogger {
  readonly errors: Array<Record<string, core.FieldValue>> = [];

  override error(event = '', fields: Record<string, core.FieldValue> = {}) {
    this.errors.push({event, ...fields});
  }
}

function runsOf(...results: decide.SendResult[]): decide.RequestRuns {
  const runs = new decide.RequestRuns({isRepeatable: true, maxRuns: 4});
  for (const result of results) {
    runs.begin();
    runs.end(result);
  }
  return runs;
}

const HEAD = {requestId: 'q', host: 'h', sharedParts: []};

/** A protocol of which only what the listener uses is told. */
const PROTOCOL = new Proxy({} as direct.WireProtocol, {
  get: (...[, name]) =>
    name === 'readCallerRequest' ? () => HEAD : () => ({}),
});

/** A listener whose dispatcher returns `outcome` for each request. */
class ListenerUnderTest {
  readonly log = new ErrorLogger();
  outcome: direct.RequestOutcome | undefined;
  private readonly kernel = new core.Kernel();
  private port = 0;

  async start(): Promise<void> {
    const {kernel} = this;
    kernel.register(core.CLOCK, new core.SystemClock());
    kernel.register(core.LOGGER, this.log);
    const tables = new direct.IndexedTables(kernel);
    kernel.register(direct.ACTIVE_TABLES, tables);
    kernel.register(direct.RUN_STATE, new direct.RouterRunState(kernel));
    kernel.register(direct.REQUEST_RECORDER, {recordEnd: () => undefined});
    kernel.register(
      direct.CRASH_TRACKER,
      new decide.EvidenceCrashTracker({self: 'r', isProber: () => true}),
    );
    kernel.register(direct.WIRE_PROTOCOL, PROTOCOL);
    kernel.register(core.READ_PACER, core.UNPACED);
    kernel.register(direct.CALLER_BOUNDS, {of: () => core.UNBOUNDED});
    kernel.register(direct.DISPATCHER, {
      serve: () => Promise.resolve(this.outcome as direct.RequestOutcome),
    });
    this.port = await freePort();
    const listener = new direct.callerListener.HttpCallerListener(kernel, {
      address: '127.0.0.1',
      entryListen: this.port,
    } as direct.settings.Settings);
    kernel.register(direct.callerListener.CALLER_LISTENER, listener);
    const route = {
      name: 'r',
      host: 'h',
      pathPrefix: '/',
      pools: [{name: 'pool', weight: 1}],
      repeat: 'stream',
      isResumable: false,
      maxRuns: 1,
      timeoutMs: 1_000,
      goalMs: 100,
      priority: 1,
      isPublic: true,
    } as unknown as direct.Route;
    const limits = {maxBodyBytes: 1_000, idleMs: 1_000};
    tables.activate({version: 1, routes: [route], pools: [], limits}, 'test');
    await kernel.start();
  }

  stop(): Promise<void> {
    return this.kernel.stop();
  }

  async status(): Promise<number> {
    const response = await fetch(`http://127.0.0.1:${this.port}/a`);
    await response.text();
    return response.status;
  }
}

async function freePort(): Promise<number> {
  const server = http.createServer();
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as net.AddressInfo;
  await new Promise(resolve => server.close(resolve));
  return port;
}

describe('a failure that promises "not run"', () => {
  let listener: ListenerUnderTest;

  beforeEach(async () => {
    listener = new ListenerUnderTest();
    await listener.start();
  });

  afterEach(() => listener.stop());

  const fail = (kind: core.ErrorKind, runs?: decide.RequestRuns) => {
    const failure = {kind, detail: 'd'};
    listener.outcome = {type: 'failed', failure, sendCount: 1, runs};
    return listener.status();
  };

  it('is sent as 502 and logged if the request may have run', async () => {
    for (const kind of PROMISES) {
      for (const result of ['may_run', 'ended'] as const) {
        const status = await fail(kind, runsOf('not_run', result, 'not_sent'));
        expect(status, `${kind} after ${result}`).to.equal(502);
      }
    }
    expect(listener.log.errors).to.have.length(2 * PROMISES.length);
    expect(listener.log.errors[0]).to.deep.equal({
      event: 'promise_withheld',
      request: 'q',
      kind: PROMISES[0],
      detail: 'd',
      runs: 'not_run,may_run,not_sent',
    });
  });

  it('is sent as 502 if the result of a send is not known', async () => {
    const runs = runsOf('not_run');
    runs.begin();
    expect(await fail('endpoint_refused', runs)).to.equal(502);
  });

  it('is sent as it is if no endpoint can have run the request', async () => {
    for (const kind of PROMISES) {
      const {status} = core.ERROR_RESPONSES[kind];
      expect(await fail(kind), kind).to.equal(status);
      const runs = runsOf('not_sent', 'not_run');
      expect(await fail(kind, runs), kind).to.equal(status);
    }
    expect(listener.log.errors).to.deep.equal([]);
  });
});
