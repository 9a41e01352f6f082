/** The process's metrics, in prom-client's registry. */
import * as prom from 'prom-client';
import * as kernel from './kernel.js';

/** Registry to which services add their metrics. */
export interface Metrics {
  /** The registry; a metric's name is unique in it. */
  registry(): prom.Registry;
  /** The text that Prometheus scrapes. */
  render(): Promise<string>;
}

/** The contract under which the metrics are registered. */
export const METRICS = kernel.contract<Metrics>('metrics', [
  'registry',
  'render',
]);

/** Metrics of one process. */
export class ProcessMetrics implements Metrics {
  private readonly own = new prom.Registry();

  /** @param withRuntime also the metrics of the Node.js runtime */
  constructor({withRuntime = true}: {withRuntime?: boolean} = {}) {
    if (withRuntime) prom.collectDefaultMetrics({register: this.own});
  }

  registry(): prom.Registry {
    return this.own;
  }

  render(): Promise<string> {
    return this.own.metrics();
  }
}
