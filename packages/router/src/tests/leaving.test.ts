/**
 * Guards against new requests to leaving endpoints, and against requests that a
 * graceful stop of a router or an engine cuts off.
 */
import * as chai from 'chai';
import type * as standins from '@oleanderrock/standins';
import * as faultSupport from './faultsupport.js';

const {expect} = chai;

/** Time after the announcement in which a leaving endpoint may get requests. */
const LEAVING_LIMIT_MS = 3_000;
const CALLERS = 30;
/** Keep-alive time of connections, lifetime of callers' cached addresses. */
const KEEP_MS = 3_000;

/** Callers that each send one request after another until `end`. */
class Traffic {
  readonly results: standins.CallResult[] = [];
  private readonly caller: standins.Caller;
  private readonly tasks: Array<Promise<void>>;
  private isEnded = false;

  constructor(
    fleet: standins.Fleet,
    callers: number,
    private readonly body: object,
  ) {
    this.caller = faultSupport.createCaller(fleet);
    this.tasks = [...Array(callers).keys()].map(index =>
      this.sendRepeatedly(`chat-${index}`),
    );
  }

  get resends(): number {
    return this.caller.resends;
  }

  async end(): Promise<void> {
    this.isEnded = true;
    await Promise.all(this.tasks);
    this.caller.close();
  }

  /** All results that are not answers. */
  failures(): standins.CallResult[] {
    return this.results.filter(result => result.type !== 'answered');
  }

  private async sendRepeatedly(chat: string): Promise<void> {
    const request = {method: 'POST', path: '/chat', customer: 'c', chat};
    while (!this.isEnded) {
      this.results.push(await this.caller.send({...request, body: this.body}));
    }
  }
}

const STREAM = {prompt_tokens: 10, output_tokens: 60, stream: true};
const SHORT = {prompt_tokens: 10, output_tokens: 2};

describe('leaving endpoints and graceful stops', function () {
  this.timeout(60_000);
  let fleet: standins.Fleet;
  const routerFlags = [
    ['--keep-alive-ms', String(KEEP_MS)],
    ['--where-keep-ms', String(KEEP_MS)],
  ].flat();

  before(async () => {
    fleet = await faultSupport.startFleet({
      routers: 4,
      engines: 8,
      routerFlags,
      route: {wait_ms: 5_000},
      pool: {load_multiple: 2},
    });
  });

  after(() => fleet.stop());

  const lastStartMs = async (name: string) => {
    const {admissions} = await faultSupport.readCounts(fleet, name);
    return admissions.at(-1)?.at_ms ?? 0;
  };

  /** Each engine announces in a different way that it is leaving. */
  it('sends leaving endpoints no new requests, however they announce it', async () => {
    const traffic = new Traffic(fleet, CALLERS, SHORT);
    const leaving = ['e1', 'e2', 'e3'];
    await faultSupport.until(async () => {
      const startsMs = await Promise.all(leaving.map(lastStartMs));
      return startsMs.every(startMs => startMs > 0);
    });
    const fromMs = Date.now();
    await fleet.putOnInstanceList('e1', {state: 'leaving'});
    // Only answers announce it: the load report lags behind by 60 s.
    await fleet.setFaults('e2', {report_lag_ms: 60_000, leaving: true});
    // Only the load report announces it: the list does not, and is down.
    await fleet.setPlatformFaults({list_down: true});
    await fleet.setFaults('e3', {leaving: true});
    await faultSupport.pause(LEAVING_LIMIT_MS + 2_500);
    await traffic.end();
    await fleet.setPlatformFaults({list_down: false});
    for (const name of leaving) {
      const lastMs = (await lastStartMs(name)) - fromMs;
      expect(lastMs, `${name}: last request started`).to.be.below(
        LEAVING_LIMIT_MS,
      );
    }
    expect(
      await lastStartMs('e4'),
      'other engines still get requests',
    ).to.be.above(fromMs + LEAVING_LIMIT_MS);
    expect(traffic.failures()).to.deep.equal([]);
  });

  it('stops a router and an engine without cutting off a request', async () => {
    const traffic = new Traffic(fleet, CALLERS, STREAM);
    await faultSupport.until(() => traffic.results.length >= CALLERS);
    await fleet.setFaults('e8', {leaving: true});
    const stopped = fleet.terminate('r1');
    await faultSupport.pause(LEAVING_LIMIT_MS);
    await faultSupport.until(
      async () => (await faultSupport.readCounts(fleet, 'e8')).in_flight === 0,
    );
    const {cut} = await faultSupport.readCounts(fleet, 'e8');
    await fleet.terminate('e8');
    expect(await stopped).to.deep.equal({status: 0, signal: null});
    const minResults = traffic.results.length + CALLERS;
    await faultSupport.until(() => traffic.results.length >= minResults);
    await traffic.end();
    expect(cut, 'requests cut off at the engine').to.equal(0);
    expect(traffic.failures()).to.deep.equal([]);
    expect(traffic.resends, 'requests resent by callers').to.equal(0);
  });
});
