/** Unit tests of which response heads are believed, and of what is logged. */
import * as chai from 'chai';
import * as core from '@oleanderrock/core';
import * as decide from '@oleanderrock/decide';
import * as direct from '../index.js';

const {expect} = chai;

const ENDPOINT: direct.Endpoint = {
  id: 'e1',
  pool: 'pool',
  address: '127.0.0.1',
  port: 1,
  zone: 'z',
  isDraining: false,
  bornMs: 1,
};

const LEAVING_HEAD: direct.EndpointResponseHead = {
  requestId: 'r1',
  isSealed: true,
  isNotRun: false,
  isMisdirected: false,
  isLeaving: true,
  namedLimit: {type: 'none'},
};

/** Logger that records the events of level `info`. */
class RecordingLogger extends core.SilentLogger {
  constructor(private readonly events: string[]) {
    super();
  }

  override info(event?: string): void {
    this.events.push(event ?? '');
  }
}

describe('the notices in response heads', () => {
  let kernel: core.Kernel;
  let lines: string[];

  const setUp = () => {
    kernel = new core.Kernel();
    lines = [];
    kernel.register(core.CLOCK, new core.SystemClock());
    kernel.register(core.LOGGER, new RecordingLogger(lines));
    kernel.register(
      direct.EVACUATED_ZONES,
      new direct.LoggedEvacuatedZones(kernel, new decide.NewestEvacuations()),
    );
    kernel.register(
      direct.ENDPOINT_NOTICES,
      new decide.RecentEndpointNotices(),
    );
    kernel.register(direct.ENDPOINT_LIMITS, new decide.NewestEndpointLimits());
  };

  beforeEach(setUp);

  const isWillingAfter = (head: Partial<direct.EndpointResponseHead>) => {
    const fullHead = {...LEAVING_HEAD, ...head};
    direct.endpointNotices.recordNotices(kernel, ENDPOINT, 'r1', fullHead);
    return direct.endpointNotices.isWilling(kernel, ENDPOINT);
  };

  it('are not believed if the head belongs to another request or endpoint', () => {
    const notRun = {isNotRun: true, isSealed: false};
    expect(isWillingAfter({requestId: 'r2'})).to.equal(true);
    expect(isWillingAfter({requestId: undefined})).to.equal(true);
    const heldOff = {...notRun, isLeaving: false, holdOffMs: 60_000};
    expect(isWillingAfter({...heldOff, requestId: 'r2'})).to.equal(true);
    expect(isWillingAfter({...heldOff, isMisdirected: true})).to.equal(true);
    expect(isWillingAfter({...notRun, requestId: 'r2'})).to.equal(true);
    expect(isWillingAfter({...notRun, isMisdirected: true})).to.equal(true);
    expect(isWillingAfter({isLeaving: false})).to.equal(true);
    expect(lines).to.deep.equal([]);
  });

  it('are believed of a response that is a success, a failure or a refusal', () => {
    const heads = [
      {},
      {isSealed: false},
      {isNotRun: true, isSealed: false},
      {isNotRun: true, isSealed: false, requestId: undefined},
      {isLeaving: false, holdOffMs: 60_000},
      {isLeaving: false, isNotRun: true, holdOffMs: 60_000},
    ];
    for (const head of heads) {
      setUp();
      expect(isWillingAfter(head)).to.equal(false);
    }
  });

  it('are logged once for each period in which the endpoint wants nothing', () => {
    const heldOff = {isLeaving: false, holdOffMs: 60_000};
    for (let count = 0; count < 5; count++) isWillingAfter(heldOff);
    expect(lines).to.deep.equal(['endpoint_hold_off']);
  });

  it('are logged once for each lifetime', () => {
    for (let count = 0; count < 5; count++) isWillingAfter({});
    expect(lines).to.deep.equal(['endpoint_leaving']);
    const nextLifetime = {...ENDPOINT, bornMs: 2};
    expect(
      direct.endpointNotices.isWilling(kernel, nextLifetime),
      'the next lifetime accepts requests',
    ).to.equal(true);
  });
});
