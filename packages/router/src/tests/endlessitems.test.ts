/**
 * Guards against answers that consist of very many small items without end, such
 * as interim heads or chunks of one byte: a bound in bytes lets the parser make
 * so many calls for them in one turn that the process does nothing else.
 */
import * as net from 'node:net';
import * as chai from 'chai';
import type * as standins from '@oleanderrock/standins';
import * as support from './directfleet.js';
import * as polling from './polling.js';
import * as routerProcess from './routerprocess.js';

const {expect} = chai;

const LIMITS: routerProcess.ProcessLimits = {heldMb: 20, maxFds: 400};
const REQUESTS = 10;
const ORDINARY_CALLS = 5;
/** Time-out of the requests that get such answers, in ms. */
const DEADLINE_MS = 30_000;
const TEST_TIMEOUT_MS = 60_000;

interface Trouble {
  readonly name: string;
  readonly behaviour: standins.Behaviour;
}

function endless(
  name: string,
  item: string,
  text: (run: standins.RecordedRun) => string = () => '',
): Trouble {
  const bytes = Buffer.from(item.repeat(2_500));
  return {name, behaviour: {type: 'endless', text, bytes}};
}

function soundHead({headers}: standins.RecordedRun): string {
  return (
    'HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n' +
    `attempt-id: ${String(headers['attempt-id'])}\r\nresponse-seal: s\r\n` +
    'transfer-encoding: chunked\r\n\r\n'
  );
}

const INTERIM = endless('heads of status 102', 'HTTP/1.1 102 Wait\r\n\r\n');

const TROUBLES: readonly Trouble[] = [
  INTERIM,
  endless('heads of status 100', 'HTTP/1.1 100 Continue\r\n\r\n'),
  endless('chunks of one byte in an event', '1\r\nx\r\n', soundHead),
  endless('events of one byte a chunk', chunksOf('data: x\n\n'), soundHead),
];

function chunksOf(text: string): string {
  return [...text].map(byte => `1\r\n${byte}\r\n`).join('');
}

describe('an answer of small items without end', function () {
  this.timeout(TEST_TIMEOUT_MS);

  describe('to a router in a process of its own', () => {
    let router: routerProcess.RouterProcess;
    let sockets: net.Socket[];

    beforeEach(async () => {
      router = new routerProcess.RouterProcess();
      sockets = [];
      const long = {resumable: false, timeoutMs: DEADLINE_MS};
      const routes = [
        support.route('/read/', 'idempotent'),
        support.route('/once/', 'streaming', long),
      ];
      await router.start(LIMITS, {routes});
    });

    afterEach(async () => {
      for (const socket of sockets) socket.destroy();
      await router.stop();
    });

    function ask(): void {
      const socket = net.connect(router.ports.entry, router.address);
      sockets.push(socket);
      socket.on('error', () => undefined);
      socket.resume();
      const head = router.head('POST /once/a', ['content-length: 0']);
      socket.write(`${head}\r\n\r\n`);
    }

    for (const {name, behaviour} of TROUBLES) {
      it(`is closed, and others are answered beside it: ${name}`, async () => {
        router.endpoint.chooseBehaviour = ({path}) =>
          path === '/once/a' ? behaviour : {type: 'answer'};
        for (let count = 0; count < REQUESTS; count++) ask();
        await polling.until('the endpoint runs one', () =>
          router.endpoint.runs.some(({path}) => path === '/once/a'),
        );
        for (let count = 0; count < ORDINARY_CALLS; count++) {
          await router.awaitService();
        }
        // Long before the deadline of these requests.
        await polling.until('the endpoint is rid of them', () =>
          router.endpoint.runs.every(
            ({path, isCutOff}) => path !== '/once/a' || isCutOff,
          ),
        );
        expect(router.isAlive).to.equal(true);
        expect(router.log).to.match(/reading_stopped .*reason=/);
      });
    }
  });

  describe('in a fleet', () => {
    let fleet: support.DirectFleet;
    let troubled: standins.HostedEndpoint;

    beforeEach(async () => {
      fleet = new support.DirectFleet();
      await fleet.start();
      troubled = fleet.endpoints[0]!;
      troubled.defaultBehaviour = INTERIM.behaviour;
    });

    afterEach(() => fleet.stop());

    it('is repeated elsewhere where it may be, and its endpoint is avoided', async () => {
      for (let count = 0; count < 20; count++) {
        const {status} = await fleet.call('/read/a');
        expect(status).to.equal(200);
      }
      expect(troubled.runs.length).to.be.within(1, 8);
    });

    it('is told by the metrics', async () => {
      await polling.until('an answer is stopped', async () => {
        await fleet.call('/read/a');
        return troubled.runs.length > 0;
      });
      const {body} = await fleet.getReadiness(0, '/metrics');
      expect(body).to.match(
        /reading_stopped_total{reason="interim_heads"} [1-9]/,
      );
      expect(body).to.match(/^oleander_event_loop_delay_ms \d/m);
    });

    it('is unknown to have run where it may not be repeated', async () => {
      const statuses = new Set<number>();
      await polling.until('it gets a request', async () => {
        statuses.add((await fleet.call('/book/a')).status);
        return troubled.runs.length > 0;
      });
      expect([...statuses]).to.include(502);
      expect(fleet.runs().length).to.equal(
        new Set(fleet.runs().map(({headers}) => headers['attempt-id'])).size,
      );
    });
  });

  it('that is sound is not bounded: some interim heads, and many small events', async () => {
    const fleet = new support.DirectFleet();
    await fleet.start(1);
    try {
      const events = support.events(2_000);
      fleet.setBehaviour({
        type: 'raw',
        isReset: false,
        text: run =>
          'HTTP/1.1 102 Processing\r\n\r\n'.repeat(30) +
          soundHead(run) +
          events.replace(
            /id: .*\ndata: .*\n\n/g,
            event => `${event.length.toString(16)}\r\n${event}\r\n`,
          ) +
          '0\r\n\r\n',
      });
      const {isComplete, body} = await fleet.call('/once/a');
      expect(isComplete).to.equal(true);
      expect(body).to.equal(events);
    } finally {
      await fleet.stop();
    }
  });
});
