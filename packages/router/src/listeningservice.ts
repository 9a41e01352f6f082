/** Base class of the services that listen over HTTP. */
import * as core from '@oleanderrock/core';
import type * as settings from './settings.js';

/** Options of a listening service. */
export interface ListeningOptions {
  /** Name of the listener in logs, such as `entry`. */
  readonly name: string;
  readonly port: number;
  readonly maxHeaderBytes: number;
  /** How long idle connections stay open. */
  readonly keepAliveMs?: number;
}

/** A service with an HTTP listener; subclasses serve the calls. */
export abstract class ListeningService implements core.Lifecycle {
  protected readonly listener: core.listener.Listener;

  constructor(
    protected readonly kernel: core.Kernel,
    protected readonly routerSettings: settings.Settings,
    options: ListeningOptions,
  ) {
    this.listener = new core.listener.Listener({
      ...options,
      host: routerSettings.host,
      requestTimeoutMs: routerSettings.requestTimeoutMs,
      log: kernel.find(core.LOGGER),
      createId: core.createId,
      serve: call => this.serve(call),
    });
  }

  start(): Promise<void> {
    return this.listener.listen();
  }

  stop(): Promise<void> {
    return this.listener.close();
  }

  port(): number {
    return this.listener.port;
  }

  protected abstract serve(call: core.listener.Call): Promise<void>;
}
