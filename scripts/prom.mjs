/**
 * The subset of prom-client that the programs use, for the bundle: the main
 * module of prom-client also loads the push gateway and cluster support, which
 * take some 5 MB.
 */
import Counter from 'prom-client/lib/counter.js';
import Gauge from 'prom-client/lib/gauge.js';
import Histogram from 'prom-client/lib/histogram.js';
import Registry from 'prom-client/lib/registry.js';

export {Counter, Gauge, Histogram, Registry};

/** Adds the metrics of the Node.js runtime; loads their module on demand. */
export async function collectDefaultMetrics(options) {
  const defaultMetrics = await import('prom-client/lib/defaultMetrics.js');
  defaultMetrics.default(options);
}
