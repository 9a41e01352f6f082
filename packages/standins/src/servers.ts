/** Wires the parts of each stand-in: services in a kernel behind one server. */
import * as core from '@oleanderrock/core';
import * as control from './control.js';
import * as endpoint from './endpoint.js';
import * as endpointFaults from './endpointfaults.js';
import * as engine from './engine.js';
import * as front from './front.js';
import * as instancelist from './instancelist.js';
import * as log from './log.js';
import * as platform from './platform.js';
import * as platformFaults from './platformfaults.js';
import * as service from './service.js';
import * as weights from './weights.js';

/** Options of every stand-in. */
export interface ServerOptions extends front.FrontOptions {
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
  extends ServiceOptions, Partial<engine.EngineSpeed> {}

/** A stand-in as tests and launchers hold it. */
export abstract class Server {
  protected readonly kernel = new core.Kernel();
  private readonly front: front.HttpFront;

  constructor(options: ServerOptions, faults: control.Control) {
    const {kernel} = this;
    const logger = options.logger ?? new core.SilentLogger();
    kernel.register(core.CLOCK, options.clock ?? new core.SystemClock());
    kernel.register(core.LOGGER, logger);
    kernel.register(control.CONTROL, faults);
    this.front = new front.HttpFront(kernel, options);
    kernel.register(front.FRONT, this.front);
  }

  /** Where it listens, once `listen` has resolved. */
  get port(): number {
    return this.front.port;
  }

  /** The address of its pages. */
  get url(): string {
    return `http://127.0.0.1:${this.port}`;
  }

  /** Starts to listen. */
  listen(): Promise<void> {
    return this.kernel.start();
  }

  /** Closes all connections and ends all tasks. */
  close(): Promise<void> {
    return this.kernel.stop();
  }

  /** Resets all connections and stops listening. */
  crash(): void {
    this.front.crash();
  }

  /** Merges faults, as `POST /control` does. Throws where they are bad. */
  control(patch: object): void {
    const merged = this.kernel.find(control.CONTROL).merge(patch);
    if (!merged.ok) throw new Error(merged.failure.detail);
  }

  /** The counts of `GET /stats`. */
  stats(): object {
    return this.front.stats(false);
  }
}

/** The stand-in platform. */
export class PlatformServer extends Server {
  constructor(options: PlatformOptions = {}) {
    const faults = new control.Faults(
      platformFaults.platformFaultsSchema,
      options.faults,
    );
    super(options, faults);
    const {kernel} = this;
    kernel.register(instancelist.INSTANCES, new instancelist.Instances(kernel));
    kernel.register(log.LOG, new log.Log(kernel));
    kernel.register(weights.WEIGHTS, new weights.Weights(kernel));
    kernel.register(front.SITE, new platform.Platform(kernel));
  }
}

/** What engines and plain services share. */
abstract class EndpointServer extends Server {
  readonly name: string;

  constructor(kind: string, options: ServiceOptions) {
    const faults = new control.Faults(
      endpointFaults.endpointFaultsSchema,
      options.faults,
    );
    super(options, faults);
    this.name = options.name ?? kind;
    const site = new endpoint.Endpoint(this.kernel);
    this.kernel.register(front.SITE, site);
    this.kernel.register(endpoint.RUN_LOG, site);
  }
}

/** The stand-in engine. */
export class EngineServer extends EndpointServer {
  constructor(options: EngineOptions = {}) {
    super('engine', options);
    const speed = {...engine.ENGINE_SPEED, ...options};
    const workload = new engine.Engine(this.kernel, speed);
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
