/**
 * The parts of prom-client that the programs use, for the bundle: its main
 * module also loads the push gateway and the cluster, some 5 MB.
 */
import Counter from 'prom-client/lib/counter.js';
import Gauge from 'prom-client/lib/gauge.js';
import Histogram from 'prom-client/lib/histogram.js';
import Registry from 'prom-client/lib/registry.js';

export {Counter, Gauge, Histogram, Registry};

/** Adds the metrics of the runtime; only then is their module loaded. */
export async function collectDefaultMetrics(options) {
  const defaultMetrics = await import('prom-client/lib/defaultMetrics.js');
  defaultMetrics.default(options);
}
