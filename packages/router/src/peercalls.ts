/**
 * Calls between routers over tRPC. Requests of callers do not pass through
 * here; the request forwarder sends them.
 */
import * as http from 'node:http';
import * as core from '@oleanderrock/core';
import * as trpcClient from '@trpc/client';
import type * as decide from '@oleanderrock/decide';
import * as connections from './connections.js';
import * as controlMeter from './controlmeter.js';
import * as fleet from './fleet.js';
import * as requestForwarder from './requestforwarder.js';
import type * as peerApi from './peerapi.js';
import type * as settings from './settings.js';
import type * as requestTraces from './requesttraces.js';

const CALL_TIMEOUT_MS = 1_500;
/** Assumed size of an HTTP head, which is not measured. */
const ASSUMED_HEAD_BYTES = 250;

/** Path prefix of tRPC calls on the peer port. */
export const TRPC_PREFIX = '/trpc';

/** Calls to another router, addressed by name. */
export interface PeerCalls {
  snapshot(router: string): Promise<core.Result<core.Snapshot>>;
  /** Reads the trace steps of a request at the router. */
  steps(
    router: string,
    requestId: string,
  ): Promise<core.Result<readonly requestTraces.Step[]>>;
  /** Hands over entries of the chat memory; returns how many were stored. */
  handOver(
    router: string,
    entries: readonly decide.ChatEntry[],
  ): Promise<core.Result<number>>;
  status(router: string): Promise<core.Result<peerApi.RouterStatus>>;
  usage(
    router: string,
    limit: number,
  ): Promise<core.Result<readonly decide.Usage[]>>;
  /** Starts the router's graceful shutdown; false if already requested. */
  drain(router: string): Promise<core.Result<boolean>>;
}

/** The contract under which the peer calls are registered. */
export const PEER_CALLS = core.contract<PeerCalls>('peer-calls', [
  'snapshot',
  'steps',
  'handOver',
  'status',
  'usage',
  'drain',
]);

type Client = ReturnType<
  typeof trpcClient.createTRPCClient<peerApi.PeerRouter>
>;

/** Peer calls over tRPC, with Node's HTTP client in place of fetch. */
export class TrpcPeerCalls implements PeerCalls {
  constructor(
    private readonly kernel: core.Kernel,
    private readonly routerSettings: settings.Settings,
  ) {}

  snapshot(router: string): Promise<core.Result<core.Snapshot>> {
    return this.call(router, client => client.snapshot.query());
  }

  steps(
    router: string,
    requestId: string,
  ): Promise<core.Result<readonly requestTraces.Step[]>> {
    return this.call(router, client => client.steps.query(requestId));
  }

  handOver(
    router: string,
    entries: readonly decide.ChatEntry[],
  ): Promise<core.Result<number>> {
    return this.call(router, client => client.handOver.mutate([...entries]));
  }

  status(router: string): Promise<core.Result<peerApi.RouterStatus>> {
    return this.call(router, client => client.status.query());
  }

  usage(
    router: string,
    limit: number,
  ): Promise<core.Result<readonly decide.Usage[]>> {
    return this.call(router, client => client.usage.query(limit));
  }

  drain(router: string): Promise<core.Result<boolean>> {
    return this.call(router, client => client.drain.mutate());
  }

  private async call<T>(
    router: string,
    invoke: (client: Client) => Promise<T>,
  ): Promise<core.Result<T>> {
    const peer = this.kernel.find(fleet.FLEET).find(router);
    if (!peer) return core.fail('peer_unreachable', `${router} is not listed`);
    try {
      return core.succeed(await invoke(this.client(peer)));
    } catch (error) {
      const detail = `${router}: ${core.errorMessage(error)}`;
      return core.fail('peer_unreachable', detail);
    }
  }

  /** Makes a call and counts its control bytes: bodies plus assumed heads. */
  private async meteredFetch(
    url: string,
    init: FetchInit,
    agent: http.Agent,
  ): Promise<Response> {
    const meter = this.kernel.find(controlMeter.CONTROL_METER);
    const body = typeof init.body === 'string' ? init.body : '';
    meter.add('call', 'sent', ASSUMED_HEAD_BYTES + Buffer.byteLength(body));
    const response = await fetchOverHttp(url, init, agent);
    const copy = await response.clone().arrayBuffer();
    meter.add('call', 'received', ASSUMED_HEAD_BYTES + copy.byteLength);
    return response;
  }

  private client(peer: core.Instance): Client {
    const {address, peer_port: port} = peer;
    const connectionPools = this.kernel.find(connections.CONNECTIONS);
    const link = trpcClient.httpLink({
      url: `http://${address}:${port}${TRPC_PREFIX}`,
      headers: {
        [requestForwarder.PEER_TOKEN_HEADER]: this.routerSettings.peerToken,
      },
      fetch: (input, init) =>
        this.meteredFetch(
          String(input),
          init ?? {},
          connectionPools.agent(address, port),
        ),
    });
    return trpcClient.createTRPCClient<peerApi.PeerRouter>({links: [link]});
  }
}

/** The options of `fetch` that tRPC sets. */
interface FetchInit {
  readonly method?: string;
  readonly headers?: unknown;
  readonly body?: unknown;
}

/** Implements `fetch` with Node's HTTP client, so that an agent can be set. */
function fetchOverHttp(
  url: string,
  init: FetchInit,
  agent: http.Agent,
): Promise<Response> {
  return new Promise((resolve, reject) => {
    const request = http.request(url, {
      method: init.method ?? 'GET',
      headers: init.headers as http.OutgoingHttpHeaders,
      agent,
      signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
    });
    core.responseEnds.follow(request);
    request.on('error', reject);
    request.on('response', response => {
      const chunks: Buffer[] = [];
      response.on('error', reject);
      response.on('data', (chunk: Buffer) => chunks.push(chunk));
      response.on('end', () => {
        if (!core.responseEnds.isWhole(response)) {
          reject(new Error('the connection was reset during the response'));
          return;
        }
        const status = response.statusCode ?? 500;
        resolve(new Response(Buffer.concat(chunks), {status}));
      });
    });
    request.end(typeof init.body === 'string' ? init.body : undefined);
  });
}
