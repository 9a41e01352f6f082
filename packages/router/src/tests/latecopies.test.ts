/**
 * Guards against a late copy of a refusal being taken for the answer to the next
 * request of its connection, which then runs at two endpoints or is refused
 * although it runs.
 */
import * as chai from 'chai';
import * as fc from 'fast-check';
import * as direct from '@oleanderrock/direct';
import type * as standins from '@oleanderrock/standins';
import * as support from './directfleet.js';

const {expect} = chai;

const PROPERTY_PARAMETERS = {seed: 20_261_205, numRuns: 12};

/** Statuses that promise that a request did not and will not run. */
const PROMISES = [408, 421, 429, 503];

const STREAM: standins.Behaviour = {type: 'stream', events: 3};

function refusalText(status: string, headers: string): string {
  return `HTTP/1.1 ${status}\r\n${headers}content-length: 0\r\n\r\n`;
}

describe('a late copy of a refusal', () => {
  let fleet: support.DirectFleet;

  beforeEach(async () => {
    fleet = new support.DirectFleet();
    await fleet.start();
  });

  afterEach(() => fleet.stop());

  /**
   * Lets each endpoint refuse one request in `everyNth`, and send a copy of the
   * refusal before its answer to the next one.
   */
  const sendLateCopies = (everyNth: number, copyOf: (id: string) => string) => {
    for (const endpoint of fleet.endpoints) {
      let count = 0;
      let copy: string | undefined;
      endpoint.chooseBehaviour = run => {
        if (copy !== undefined) {
          const text = copy;
          copy = undefined;
          return {type: 'precede', text, next: STREAM};
        }
        count += 1;
        if (count % everyNth > 0) return STREAM;
        copy = copyOf(String(run.headers['attempt-id']));
        return {type: 'shed'};
      };
    }
  };

  const runsById = () => {
    const runs = new Map<string, number>();
    for (const {headers} of fleet.runs()) {
      const id = String(headers['attempt-id']);
      runs.set(id, (runs.get(id) ?? 0) + 1);
    }
    return runs;
  };

  /** Calls in sequence; returns the ids that were promised not to run. */
  const callAll = async (count: number, prefix: string) => {
    const promised: string[] = [];
    for (let index = 0; index < count; index++) {
      const id = `${prefix}-${index}`;
      const headers = {'attempt-id': id};
      const {status} = await fleet.call('/once/a', {headers});
      if (PROMISES.includes(status)) promised.push(id);
    }
    return promised;
  };

  it('makes no stream that may not be resumed run twice, and is no promise', async () => {
    const copies = fc.record({
      status: fc.constantFrom(
        '503 Service Unavailable',
        '429 Too Many Requests',
        '421 Misdirected Request',
        '408 Request Timeout',
      ),
      hasId: fc.boolean(),
      everyNth: fc.integer({min: 1, max: 5}),
    });
    let round = 0;
    await fc.assert(
      fc.asyncProperty(copies, async ({status, hasId, everyNth}) => {
        sendLateCopies(everyNth, id =>
          refusalText(
            status,
            `${hasId ? `attempt-id: ${id}\r\n` : ''}not-executed: 1\r\n`,
          ),
        );
        round += 1;
        const promised = await callAll(15, `round-${round}`);
        const runs = runsById();
        const twice = [...runs].filter(([, runCount]) => runCount > 1);
        expect(twice, 'requests that ran twice').to.deep.equal([]);
        const broken = promised.filter(id => runs.has(id));
        expect(broken, 'promised not to run, and ran').to.deep.equal([]);
      }),
      PROPERTY_PARAMETERS,
    );
  });

  it('tells nothing of the endpoint at the time of the next request', async () => {
    const notices =
      'not-executed: 1\r\nserver-leaving: 1\r\nretry-after: 60\r\n' +
      'server-limit: 0.1\r\nserver-load: 900,900,8\r\n';
    sendLateCopies(2, id =>
      refusalText('503 Service Unavailable', `attempt-id: ${id}\r\n${notices}`),
    );
    await callAll(12, 'notices');
    const kernel = fleet.kernels[0]!;
    const limits = kernel.find(direct.ENDPOINT_LIMITS);
    const load = kernel.find(direct.FLEET_LOAD);
    const endpoints = kernel
      .find(direct.ENDPOINT_REGISTRY)
      .readyEndpoints('pool');
    expect(endpoints).to.have.length(2);
    for (const endpoint of endpoints) {
      const {isWilling} = direct.endpointNotices;
      expect(isWilling(kernel, endpoint), endpoint.id).to.equal(true);
      expect(limits.limitOf(endpoint), endpoint.id).to.equal(undefined);
      const inFlight = load.inFlight(endpoint.id, performance.now());
      expect(inFlight, endpoint.id).to.be.below(100);
    }
  });
});
