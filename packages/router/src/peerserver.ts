/**
 * HTTP listener for other routers, which serves forwarded requests and tRPC
 * calls. It refuses calls without the peer token.
 */
import type * as http from 'node:http';
import * as core from '@oleanderrock/core';
import * as trpcHttp from '@trpc/server/adapters/node-http';
import * as drain from './drain.js';
import type * as exchange from './exchange.js';
import * as requestHandler from './requesthandler.js';
import * as httpAnswer from './httpanswer.js';
import * as listeningService from './listeningservice.js';
import * as requestForwarder from './requestforwarder.js';
import * as peerApi from './peerapi.js';
import * as peerCalls from './peercalls.js';
import type * as settings from './settings.js';
import * as suspects from './suspects.js';

/** Maximum number of times that a request is forwarded between routers. */
const MAX_HOPS = 2;

/** Listener for other routers. */
export interface PeerServer {
  port(): number;
}

/** The contract under which the listener is registered. */
export const PEER_SERVER = core.contract<PeerServer>('peer-server', ['port']);

/** Peer listener over HTTP. */
export class HttpPeerServer
  extends listeningService.ListeningService
  implements PeerServer
{
  constructor(kernel: core.Kernel, routerSettings: settings.Settings) {
    super(kernel, routerSettings, {
      name: 'peer',
      port: routerSettings.peerPort,
      maxHeaderBytes: 2 * routerSettings.maxHeaderBytes,
    });
  }

  protected async serve(call: core.listener.Call): Promise<void> {
    const {request, response} = call;
    const token = request.headers[requestForwarder.PEER_TOKEN_HEADER];
    if (
      !core.areSecretsEqual(String(token ?? ''), this.routerSettings.peerToken)
    ) {
      const detail = 'only routers of this fleet may call the peer port';
      core.listener.sendProblem(response, {kind: 'unauthorized', detail}, '');
      return;
    }
    const path = request.url ?? '';
    if (path.startsWith(`${peerCalls.TRPC_PREFIX}/`)) {
      await this.serveTrpc(call, path);
      return;
    }
    if (path.startsWith(`${requestForwarder.FORWARD_PREFIX}/`)) {
      await this.serveForwarded(
        call,
        path.slice(requestForwarder.FORWARD_PREFIX.length),
      );
      return;
    }
    core.listener.sendProblem(response, {kind: 'not_found', detail: path}, '');
  }

  private async serveTrpc(
    call: core.listener.Call,
    path: string,
  ): Promise<void> {
    const prefix = `${peerCalls.TRPC_PREFIX}/`;
    await trpcHttp.nodeHTTPRequestHandler({
      req: call.request,
      res: call.response,
      path: path.slice(prefix.length).split('?')[0] ?? '',
      router: peerApi.peerRouter,
      createContext: () => ({kernel: this.kernel}),
      maxBodySize: this.routerSettings.maxBodyBytes,
    });
  }

  private async serveForwarded(
    call: core.listener.Call,
    path: string,
  ): Promise<void> {
    const {request, response} = call;
    response.writeProcessing();
    const id = String(request.headers[core.headers.REQUEST_ID] ?? '');
    let forwardedRequest: exchange.RouterRequest | undefined = undefined;
    const answer = new httpAnswer.HttpAnswer(response, {
      requestId: id,
      isForPeer: true,
      refusalHeaders: () =>
        forwardedRequest
          ? suspects.suspicionHeaders(this.kernel, forwardedRequest)
          : {},
    });
    if (this.kernel.find(drain.DRAIN).isDraining()) {
      response.setHeader('connection', 'close');
      answer.refuse({kind: 'draining', detail: 'the router is shutting down'});
      return;
    }
    const body = await core.listener.readBody(
      request,
      this.routerSettings.maxBodyBytes,
    );
    if (!body.ok) {
      answer.refuse(body.failure);
      return;
    }
    suspects.applySuspicion(
      this.kernel,
      request.headers[suspects.SUSPICION_HEADER],
    );
    forwardedRequest = parseForwarded(request, path, body.value);
    if (forwardedRequest.hops > MAX_HOPS) {
      const detail = `forwarded ${forwardedRequest.hops} times`;
      answer.refuse({kind: 'hop_limit', detail});
      return;
    }
    await this.kernel
      .find(requestHandler.REQUEST_HANDLER)
      .serve(forwardedRequest, answer);
  }
}

function parseForwarded(
  request: http.IncomingMessage,
  path: string,
  body: Buffer,
): exchange.RouterRequest {
  const header = (name: string) => {
    const value = request.headers[name];
    return typeof value === 'string' ? value : undefined;
  };
  const hops = Number(header(core.headers.HOPS));
  return {
    id: header(core.headers.REQUEST_ID) ?? '',
    customer: header(core.headers.CUSTOMER) ?? '',
    chat: header(core.headers.CHAT),
    key: header(core.headers.IDEMPOTENCY_KEY),
    method: request.method ?? 'GET',
    path,
    headers: httpAnswer.forwardedHeaders(request.headers),
    body,
    hops: Number.isInteger(hops) && hops > 0 ? hops : MAX_HOPS + 1,
    targetEndpoint: header(core.headers.TARGET_ENDPOINT),
    lastEndpoint: header(core.headers.LAST_ENDPOINT),
    claimAttempt: header(core.headers.CLAIM_ATTEMPT),
  };
}
