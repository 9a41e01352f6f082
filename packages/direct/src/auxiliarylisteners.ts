/**
 * The HTTP listeners other than the one for requests of callers: router
 * addresses for callers, readiness with metrics, and state for other routers.
 */
import * as core from '@oleanderrock/core';
import type * as decide from '@oleanderrock/decide';
import * as v from 'valibot';
import * as callerBounds from './callerbounds.js';
import * as decisions from './decisions.js';
import * as wireProtocol from './wireprotocol.js';
import * as fleetRegistry from './fleetregistry.js';
import * as homeRecovery from './homerecovery.js';
import * as peerJson from './peerjson.js';
import * as runState from './runstate.js';
import type * as model from './model.js';
import type * as settings from './settings.js';
import * as routerState from './routerstate.js';
import * as tablesDifference from './tablesdifference.js';
import * as tablesUpdate from './tablesupdate.js';

const MAX_HEAD_BYTES = 16_384;
const REQUEST_TIMEOUT_MS = 5_000;

/** What is read of a body that nobody asked for, in bytes. */
const MAX_SKIPPED_BYTES = 65_536;

/**
 * Minimum number of ready routers in the caller's failure domain for the
 * address list to contain only those.
 */
const MIN_SAME_ZONE_ROUTERS = 2;

/** Maximum number of addresses that callers accept in one list. */
const MAX_ADDRESSES = 64;

/** The contract under which the listener for router addresses is registered. */
export const ADDRESS_LISTENER = core.contract<core.Lifecycle>(
  'address-listener',
  ['start'],
);

/** The contract under which the listener for readiness checks is registered. */
export const READINESS_LISTENER = core.contract<core.Lifecycle>(
  'readiness-listener',
  ['start'],
);

/** The contract under which the listener for other routers is registered. */
export const PEER_STATE_LISTENER = core.contract<core.Lifecycle>(
  'peer-state-listener',
  ['start'],
);

/** Base class of listeners that respond without sending to an endpoint. */
abstract class AuxiliaryListener implements core.Lifecycle {
  private readonly listener: core.listener.Listener;

  constructor(
    protected readonly kernel: core.Kernel,
    protected readonly routerSettings: settings.Settings,
    name: string,
    port: number,
  ) {
    this.listener = new core.listener.Listener({
      name,
      host: routerSettings.address,
      port,
      maxHeaderBytes: MAX_HEAD_BYTES,
      requestTimeoutMs: REQUEST_TIMEOUT_MS,
      log: kernel.find(core.LOGGER),
      bounds: kernel.find(callerBounds.CALLER_BOUNDS).of(name),
      pacer: kernel.find(core.READ_PACER),
      serve: call => this.serveWithoutBody(call),
    });
  }

  start(): Promise<void> {
    return this.listener.listen();
  }

  stop(): Promise<void> {
    return this.listener.close();
  }

  /** Whether the request's body is read by `serve`. */
  protected readsBody(call: core.listener.Call): boolean {
    void call;
    return false;
  }

  protected abstract serve(call: core.listener.Call): Promise<void>;

  /** Serves the call after its body was dropped, which none should have. */
  private async serveWithoutBody(call: core.listener.Call): Promise<void> {
    if (!this.readsBody(call)) {
      const {request, memory} = call;
      await core.listener.skipBody(request, MAX_SKIPPED_BYTES, memory);
    }
    await this.serve(call);
  }

  protected sendNotFound({request, response}: core.listener.Call): void {
    const detail = `no such path: ${request.url ?? '/'}`;
    core.listener.sendProblem(response, {kind: 'not_found', detail}, '');
  }

  protected phase(): decide.RouterPhase {
    return this.kernel.find(runState.RUN_STATE).phase();
  }
}

/**
 * Time without a word of any router beyond which the others are not listed any
 * more, in ms: a router that hears nothing reports none as down, since it may be
 * cut off itself, but they may have ended.
 */
const UNHEARD_LISTED_MS = 4_000;

/** The routers that callers may use. */
export function listedRouters(kernel: core.Kernel): model.Router[] {
  const fleet = kernel.find(fleetRegistry.FLEET_REGISTRY);
  const nowMs = kernel.find(core.CLOCK).nowMs();
  const areUnheard = kernel
    .find(decisions.MEMBERSHIP)
    .isIsolated(nowMs - UNHEARD_LISTED_MS);
  const routers = areUnheard
    ? []
    : fleet
        .livePeers()
        .filter(({note}) => note.phase === 'ready')
        .map(({note}) => note.router);
  const phase = kernel.find(runState.RUN_STATE).phase();
  if (phase === 'ready') routers.push(fleet.self());
  return routers;
}

/** Serves to callers the addresses of the routers to use. */
export class AddressListener extends AuxiliaryListener {
  constructor(kernel: core.Kernel, routerSettings: settings.Settings) {
    super(kernel, routerSettings, 'directory', routerSettings.directoryListen);
  }

  protected serve(call: core.listener.Call): Promise<void> {
    const protocol = this.kernel.find(wireProtocol.WIRE_PROTOCOL);
    const query = protocol.readAddressQuery(call.request.url ?? '');
    if (!query) {
      this.sendNotFound(call);
      return Promise.resolve();
    }
    const routers = this.routersFor(query.zone);
    if (routers.length === 0) {
      const failure = {
        kind: 'not_ready' as const,
        detail: 'no router is ready',
      };
      core.listener.sendProblem(call.response, failure, '');
      return Promise.resolve();
    }
    const {entryListen, addressKeepS} = this.routerSettings;
    const validMs = addressKeepS * 1_000;
    const body = protocol.addressListBody(routers, entryListen, validMs);
    core.listener.sendJson(call.response, 200, body);
    return Promise.resolve();
  }

  /**
   * Selects ready routers, only those of the caller's failure domain if it has
   * enough.
   */
  private routersFor(zone: string | undefined): readonly model.Router[] {
    const readyRouters = listedRouters(this.kernel);
    const sameZoneRouters = readyRouters.filter(router => router.zone === zone);
    return this.sample(
      sameZoneRouters.length >= MIN_SAME_ZONE_ROUTERS
        ? sameZoneRouters
        : readyRouters,
    );
  }

  /** At most as many routers as fit the list, chosen at random. */
  private sample(routers: readonly model.Router[]): readonly model.Router[] {
    const remaining = [...routers];
    const random = this.kernel.find(core.RANDOM);
    while (remaining.length > MAX_ADDRESSES) {
      remaining.splice(random.nextInt(remaining.length), 1);
    }
    return remaining;
  }
}

/** Answers readiness checks and serves the metrics. */
export class ReadinessListener extends AuxiliaryListener {
  constructor(kernel: core.Kernel, routerSettings: settings.Settings) {
    super(kernel, routerSettings, 'ready', routerSettings.readyListen);
  }

  protected async serve(call: core.listener.Call): Promise<void> {
    const {request, response} = call;
    if (request.url === '/metrics') {
      const metrics = this.kernel.find(core.METRICS);
      return core.responses.sendMetrics(response, metrics);
    }
    const protocol = this.kernel.find(wireProtocol.WIRE_PROTOCOL);
    if (!protocol.isReadinessCheck(request.url ?? '')) {
      return this.sendNotFound(call);
    }
    const phase = this.phase();
    if (phase === 'ready') {
      core.listener.sendJson(response, 200, {});
      return;
    }
    const kind = phase === 'leaving' ? 'draining' : 'not_ready';
    const detail = `the router is ${phase}`;
    core.listener.sendProblem(response, {kind, detail}, '');
  }
}

/** Serves this router's tables, state and prefix homes to other routers. */
export class PeerStateListener extends AuxiliaryListener {
  private readonly tablesUpdates: tablesUpdate.EncodedUpdates;

  constructor(kernel: core.Kernel, routerSettings: settings.Settings) {
    super(kernel, routerSettings, 'peer', routerSettings.peerPort);
    this.tablesUpdates = new tablesUpdate.EncodedUpdates(kernel);
  }

  protected override readsBody({request}: core.listener.Call): boolean {
    const version = tablesUpdate.readTablesUrl(request.url ?? '');
    return version !== undefined && request.method === 'POST';
  }

  protected async serve(call: core.listener.Call): Promise<void> {
    const {request, response} = call;
    const url = request.url ?? '';
    const version = tablesUpdate.readTablesUrl(url);
    if (version !== undefined && request.method === 'POST') {
      await this.serveDifference(call, version);
    } else if (version !== undefined) {
      peerJson.send(response, this.tablesUpdates.encode(version));
    } else if (url === routerState.STATE_PATH) {
      const state = routerState.collect(this.kernel);
      peerJson.send(response, peerJson.encode(state));
    } else if (url === homeRecovery.HOMES_PATH) {
      const homes = this.kernel.find(decisions.PREFIX_HOMES).all();
      const rows = homes.map(({prefix, endpoint}) => [prefix, endpoint]);
      peerJson.send(response, peerJson.encode(rows));
    } else {
      this.sendNotFound(call);
    }
  }

  /** Serves the difference for a router that sent a summary of its rows. */
  private async serveDifference(
    {request, response, memory}: core.listener.Call,
    version: number,
  ): Promise<void> {
    const body = await core.listener.readBody(
      request,
      tablesDifference.MAX_SUMMARY_BYTES,
      memory,
    );
    const hashes = body.ok
      ? v.safeParse(tablesDifference.summarySchema, body.value)
      : undefined;
    if (hashes?.success) {
      const difference = this.tablesUpdates.encodeDifference(
        version,
        hashes.output,
      );
      peerJson.send(response, difference);
      return;
    }
    const detail = 'the summary is not a list of hashes of rows';
    const failure = {kind: 'bad_request' as const, detail};
    core.listener.sendProblem(response, failure, '');
  }
}
