/** Assembles each stand-in: a kernel with its services and one HTTP server. */
import * as core from '@oleanderrock/core';
import * as control from './control.js';
import * as endpoint from './endpoint.js';
import * as endpointFaults from './endpointfaults.js';
import * as engine from './engine.js';
import * as httpServer from './httpserver.js';
import * as instanceList from './instancelist.js';
import * as log from './log.js';
import * as platform from './platform.js';
import * as platformFaults from './platformfaults.js';
import * as service from './service.js';
import * as weights from './weights.js';

/** Options common to all stand-ins. */
export interface ServerOptions extends httpServer.HttpServerOptions {
  readonly clock?: core.Clock;
  readonly logger?: core.Logger;
}

/** Options of the stand-in platform. */
export interface PlatformOptions extends ServerOptions {
  /** Faults and limits that differ from the defaults. */
  readonly faults?: Partial<platformFaults.PlatformFaults>;
}

/** Options of a stand-in endpoint. */
export interface ServiceOptions extends ServerOptions {
  readonly name?: string;
  /** Faults that differ from the defaults. */
  readonly faults?: Partial<endpointFaults.EndpointFaults>;
}

/** Options of a stand-in engine. */
export interface EngineOptions
  extends ServiceOptions, Partial<engine.EngineCapacity> {}

/** A stand-in that tests and programs start, control and stop. */
export abstract class StandInServer {
  protected readonly kernel = new core.Kernel();
  private readonly httpServer: httpServer.StandInHttpServer;

  constructor(options: ServerOptions, faults: control.FaultControl) {
    const {kernel} = this;
    const logger = options.logger ?? new core.SilentLogger();
    kernel.register(core.CLOCK, options.clock ?? new core.SystemClock());
    kernel.register(core.LOGGER, logger);
    kernel.register(control.FAULT_CONTROL, faults);
    this.httpServer = new httpServer.StandInHttpServer(kernel, options);
    kernel.register(httpServer.HTTP_SERVER, this.httpServer);
  }

  /** Port that it listens on, once `listen` has resolved. */
  get port(): number {
    return this.httpServer.port;
  }

  /** Base URL of its HTTP interface. */
  get url(): string {
    return `http://127.0.0.1:${this.port}`;
  }

  /** Starts to listen. */
  listen(): Promise<void> {
    return this.kernel.start();
  }

  /** Closes all connections and stops all tasks. */
  close(): Promise<void> {
    return this.kernel.stop();
  }

  /** Resets all connections and stops listening. */
  crash(): void {
    this.httpServer.crash();
  }

  /** Merges faults, as `POST /control` does. Throws if they are invalid. */
  setFaults(patch: object): void {
    const merged = this.kernel.find(control.FAULT_CONTROL).merge(patch);
    if (!merged.ok) throw new Error(merged.failure.detail);
  }

  /** Counters as `GET /stats` returns them. */
  stats(): object {
    return this.httpServer.stats(false);
  }
}

/** The stand-in platform. */
export class PlatformServer extends StandInServer {
  constructor(options: PlatformOptions = {}) {
    const faults = new control.Faults(
      platformFaults.platformFaultsSchema,
      options.faults,
    );
    super(options, faults);
    const {kernel} = this;
    kernel.register(
      instanceList.INSTANCE_LIST,
      new instanceList.VersionedInstanceList(kernel),
    );
    kernel.register(log.LOG, new log.Log(kernel));
    kernel.register(weights.WEIGHTS, new weights.Weights(kernel));
    kernel.register(httpServer.REQUEST_HANDLER, new platform.Platform(kernel));
  }
}

/** Stand-in endpoint: what engines and plain services share. */
abstract class EndpointServer extends StandInServer {
  readonly name: string;

  constructor(defaultName: string, options: ServiceOptions) {
    const faults = new control.Faults(
      endpointFaults.endpointFaultsSchema,
      options.faults,
    );
    super(options, faults);
    this.name = options.name ?? defaultName;
    const handler = new endpoint.Endpoint(this.kernel);
    this.kernel.register(httpServer.REQUEST_HANDLER, handler);
    this.kernel.register(endpoint.RUN_LOG, handler);
  }
}

/** The stand-in engine. */
export class EngineServer extends EndpointServer {
  constructor(options: EngineOptions = {}) {
    super('engine', options);
    const capacity = {...engine.DEFAULT_ENGINE_CAPACITY, ...options};
    const workload = new engine.Engine(this.kernel, capacity);
    this.kernel.register(endpoint.WORKLOAD, workload);
  }
}

/** The stand-in plain service. */
export class ServiceServer extends EndpointServer {
  constructor(options: ServiceOptions = {}) {
    super('service', options);
    const workload = new service.Service(this.kernel);
    this.kernel.register(endpoint.WORKLOAD, workload);
  }
}
