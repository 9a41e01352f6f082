/** Metrics of the process, in a prom-client registry. */
import * as prom from 'prom-client';
import * as build from './build.js';
import * as kernel from './kernel.js';

/** The registry in which services register their metrics. */
export interface Metrics {
  /** The prom-client registry; metric names are unique in it. */
  registry(): prom.Registry;
  /** All metrics in the Prometheus text format. */
  render(): Promise<string>;
}

/** Kernel contract of the metrics. */
export const METRICS = kernel.contract<Metrics>('metrics', [
  'registry',
  'render',
]);

/** Metrics of one process. */
export class ProcessMetrics implements Metrics {
  private readonly promRegistry = new prom.Registry();

  /** @param withRuntime whether to include the metrics of the Node.js runtime */
  constructor({withRuntime = true}: {withRuntime?: boolean} = {}) {
    if (withRuntime) prom.collectDefaultMetrics({register: this.promRegistry});
    this.registerBuildInfo();
  }

  registry(): prom.Registry {
    return this.promRegistry;
  }

  render(): Promise<string> {
    return this.promRegistry.metrics();
  }

  /** A gauge that is always 1 and whose label names the build. */
  private registerBuildInfo(): void {
    const gauge = new prom.Gauge({
      name: 'oleander_build_info',
      help: 'Build of the program',
      labelNames: ['build'],
      registers: [this.promRegistry],
    });
    gauge.set({build: build.BUILD_ID}, 1);
  }
}
