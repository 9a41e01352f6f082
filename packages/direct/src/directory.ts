/**
 * The listeners beside the callers': which addresses to use, readiness with
 * metrics, and the state for other routers.
 */
import * as core from '@oleanderrock/core';
import * as catchUp from './catchup.js';
import * as decisions from './decisions.js';
import * as dialects from './dialect.js';
import * as fleetBook from './fleetbook.js';
import * as homeRecovery from './homerecovery.js';
import * as lifecycle from './lifecycle.js';
import type * as model from './model.js';
import type * as settings from './settings.js';
import * as states from './state.js';

const MAX_HEAD_BYTES = 16_384;
const REQUEST_TIMEOUT_MS = 5_000;

/** Routers of the caller's failure domain below which others are told too. */
const MIN_NEAR = 2;

/** Most addresses that callers take. */
const MAX_ADDRESSES = 64;

/** The contract under which the listener for addresses is registered. */
export const DIRECTORY = core.contract<core.Lifecycle>('directory', ['start']);

/** The contract under which the listener for readiness is registered. */
export const READINESS = core.contract<core.Lifecycle>('readiness', ['start']);

/** The contract under which the listener for routers is registered. */
export const PEER_STATE = core.contract<core.Lifecycle>('peer-state', [
  'start',
]);

/** A listener that answers at once. */
abstract class SideListener implements core.Lifecycle {
  private readonly listener: core.listener.Listener;

  constructor(
    protected readonly kernel: core.Kernel,
    protected readonly own: settings.Settings,
    name: string,
    port: number,
  ) {
    this.listener = new core.listener.Listener({
      name,
      host: own.address,
      port,
      maxHeaderBytes: MAX_HEAD_BYTES,
      requestTimeoutMs: REQUEST_TIMEOUT_MS,
      log: kernel.find(core.LOGGER),
      serve: call => this.serve(call),
    });
  }

  start(): Promise<void> {
    return this.listener.listen();
  }

  stop(): Promise<void> {
    return this.listener.close();
  }

  protected abstract serve(call: core.listener.Call): Promise<void>;

  protected missing({request, response}: core.listener.Call): void {
    const detail = `there is no ${request.url ?? '/'}`;
    core.listener.sendProblem(response, {kind: 'not_found', detail}, '');
  }

  protected phase(): fleetBook.Phase {
    return this.kernel.find(lifecycle.LIFE).phase();
  }
}

/** Tells callers which routers to use. */
export class Directory extends SideListener {
  constructor(kernel: core.Kernel, own: settings.Settings) {
    super(kernel, own, 'directory', own.directoryListen);
  }

  protected serve(call: core.listener.Call): Promise<void> {
    const dialect = this.kernel.find(dialects.DIALECT);
    const asked = dialect.readAddressCall(call.request.url ?? '');
    if (!asked) {
      this.missing(call);
      return Promise.resolve();
    }
    const routers = this.choose(asked.zone);
    if (routers.length === 0) {
      const failure = {
        kind: 'not_ready' as const,
        detail: 'no ready router is known',
      };
      core.listener.sendProblem(call.response, failure, '');
      return Promise.resolve();
    }
    const {entryListen, addressKeepS} = this.own;
    const keepMs = addressKeepS * 1_000;
    const body = dialect.writeAddresses(routers, entryListen, keepMs);
    core.listener.sendJson(call.response, 200, body);
    return Promise.resolve();
  }

  /** Ready routers, those of the caller's failure domain alone if enough. */
  private choose(zone: string | undefined): readonly model.Router[] {
    const fleet = this.kernel.find(fleetBook.FLEET_BOOK);
    const nowMs = this.kernel.find(core.CLOCK).nowMs();
    const ready = fleet
      .live(nowMs)
      .filter(({standing}) => standing?.phase === 'ready')
      .map(({router}) => router);
    if (this.phase() === 'ready') ready.push(fleet.self());
    const near = ready.filter(router => router.zone === zone);
    const chosen = near.length >= MIN_NEAR ? near : ready;
    return chosen.slice(0, MAX_ADDRESSES);
  }
}

/** Says whether this router takes requests, and serves its metrics. */
export class Readiness extends SideListener {
  constructor(kernel: core.Kernel, own: settings.Settings) {
    super(kernel, own, 'ready', own.readyListen);
  }

  protected async serve(call: core.listener.Call): Promise<void> {
    const {request, response} = call;
    if (request.url === '/metrics') {
      const metrics = this.kernel.find(core.METRICS);
      return core.responses.sendMetrics(response, metrics);
    }
    const dialect = this.kernel.find(dialects.DIALECT);
    if (!dialect.isReadyCall(request.url ?? '')) return this.missing(call);
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

/** Hands this router's state to others. */
export class PeerState extends SideListener {
  constructor(kernel: core.Kernel, own: settings.Settings) {
    super(kernel, own, 'peer', own.peerPort);
  }

  protected serve(call: core.listener.Call): Promise<void> {
    const {request, response} = call;
    if (request.url === catchUp.STATE_PATH) {
      core.listener.sendJson(response, 200, states.collect(this.kernel));
    } else if (request.url === homeRecovery.HOMES_PATH) {
      const homes = this.kernel.find(decisions.HOMES).all();
      const rows = homes.map(({prefix, endpoint}) => [prefix, endpoint]);
      core.listener.sendJson(response, 200, rows);
    } else {
      this.missing(call);
    }
    return Promise.resolve();
  }
}
