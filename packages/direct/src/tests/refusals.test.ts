/** Tests that the log tells why a request was refused as wrong. */
import * as chai from 'chai';
import * as core from '@oleanderrock/core';
import * as decide from '@oleanderrock/decide';
import * as direct from '../index.js';
import * as virtualClock from './virtualclock.js';

const {expect} = chai;

type Fields = Record<string, core.FieldValue>;

/** Keeps all lines. */
class RecordingLogger implements core.Logger {
  readonly lines: Array<readonly [string, Fields]> = [];

  debug(): void {}

  info(event: string, fields: Fields = {}): void {
    this.lines.push([event, fields]);
  }

  warn(event: string, fields: Fields = {}): void {
    this.lines.push([event, fields]);
  }

  error(): void {}

  /** Fields of the lines of an event. */
  of(event: string): Fields[] {
    return this.lines.filter(([name]) => name === event).map(([, f]) => f);
  }
}

const PEER = {name: 'r2', address: '10.0.0.2', zone: 'z0'};
const ROUTER = {name: 'r1', address: '10.0.0.1', zone: 'z0'};
const LIMITS = {maxBodyBytes: 1_000, idleMs: 1_000};

function setUp() {
  const kernel = new core.Kernel();
  const log = new RecordingLogger();
  const clock = new virtualClock.VirtualClock();
  kernel.register(core.LOGGER, log);
  kernel.register(core.CLOCK, clock);
  kernel.register(core.METRICS, new core.ProcessMetrics({withRuntime: false}));
  const tables = new direct.IndexedTables(kernel);
  kernel.register(direct.ACTIVE_TABLES, tables);
  kernel.register(
    direct.MEMBERSHIP,
    new decide.PingMembership({self: ROUTER, firstEpoch: 1, hash: core.hash32}),
  );
  const fleet = new direct.InMemoryFleetRegistry(kernel, ROUTER);
  kernel.register(direct.FLEET_REGISTRY, fleet);
  kernel.register(direct.RUN_STATE, new direct.RouterRunState(kernel));
  const recorder = new direct.LoggingRequestRecorder(kernel);
  return {log, clock, tables, fleet, recorder};
}

function endedRequest(): direct.EndedRequest {
  const head = {
    requestId: 'q1',
    host: 'h.example',
    apiKey: 'secret-key',
    sharedPrefixTokens: 0,
    promptTokens: 0,
    sharedParts: [],
  };
  return {head, path: '/chat/1?x=1', arrivedMs: 0};
}

function failedOutcome(kind: core.ErrorKind): direct.RequestOutcome {
  return {type: 'failed', failure: {kind, detail: ''}, sendCount: 0};
}

describe('log of refusals', () => {
  it('names the tables that decided, their source and age, and the newest of the fleet', async () => {
    const {log, clock, tables, fleet, recorder} = setUp();
    tables.activate(
      {version: 7, routes: [], pools: [], limits: LIMITS},
      '10.0.0.2',
    );
    fleet.recordDigest(
      {router: PEER, epoch: 1, phase: 'ready', isStoreLost: false},
      {
        version: 9,
        endpointsFingerprint: 0,
        membersFingerprint: 0,
        uptimeS: 1,
      },
      clock.nowMs(),
    );
    await clock.advance(250);
    recorder.recordEnd(endedRequest(), failedOutcome('unauthorized'));
    expect(log.of('refused')).to.deep.equal([
      {
        request: 'q1',
        kind: 'unauthorized',
        host: 'h.example',
        path: '/chat/1',
        key: core.hash64('secret-key'),
        tables: 7,
        tables_source: '10.0.0.2',
        tables_age_ms: 250,
        tables_fingerprint: 0,
        fleet_tables: 9,
        uptime_s: 0,
      },
    ]);
  });

  it('leaves out what is not the fault of a request', () => {
    const {log, recorder} = setUp();
    recorder.recordEnd(endedRequest(), failedOutcome('not_ready'));
    recorder.recordEnd(endedRequest(), failedOutcome('caller_gone'));
    expect(log.of('request')).to.have.length(2);
    expect(log.of('refused')).to.deep.equal([]);
  });
});

describe('fingerprint of the tables', () => {
  it('is equal for the same rows in another order, and differs for others', () => {
    const customers = ['a', 'b'].map(name => ({name, keys: [`${name}-key`]}));
    const fingerprints = [
      customers,
      [...customers].reverse(),
      customers.slice(1),
    ].map((rows, index) => {
      const {tables} = setUp();
      tables.activate(
        {
          version: index,
          routes: [],
          pools: [],
          customers: rows,
          limits: LIMITS,
        },
        'store',
      );
      return tables.provenance()?.fingerprint;
    });
    expect(fingerprints[0]).to.equal(fingerprints[1]);
    expect(fingerprints[0]).not.to.equal(fingerprints[2]);
  });
});
