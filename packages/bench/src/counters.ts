/** Reads counters of routers, endpoints and the platform over HTTP. */
import type * as standins from '@oleanderrock/standins';
import * as v from 'valibot';

const SAMPLE_PATTERN = /^(\w+)(?:\{(.*)\})? (\S+)$/;

const endpointStatsSchema = v.object({
  started: v.number(),
  max_in_flight: v.number(),
  admissions: v.array(
    v.object({at_ms: v.number(), in_flight: v.number(), queued: v.number()}),
  ),
  runs_by_key: v.record(v.string(), v.number()),
});

/** Counters of a stand-in endpoint. */
export type EndpointStats = v.InferOutput<typeof endpointStatsSchema>;

/** Counters of a router at one time, summed over their labels. */
export interface RouterCounters {
  /** Monotonic time at which they were read. */
  readonly atMs: number;
  readonly controlSentBytes: number;
  readonly controlReceivedBytes: number;
  /** Control bytes by channel, sent and received. */
  readonly controlBytesByChannel: Readonly<Record<string, number>>;
  readonly cpuSeconds: number;
  readonly residentBytes: number;
}

interface Sample {
  readonly name: string;
  readonly labels: string;
  readonly value: number;
}

/** Parses the samples of a metrics page in the Prometheus text format. */
export function parseSamples(text: string): Sample[] {
  return text
    .split('\n')
    .map(line => SAMPLE_PATTERN.exec(line))
    .filter(match => match !== null)
    .map(([, name = '', labels = '', value]) => ({
      name,
      labels,
      value: Number(value),
    }));
}

function sumSamples(
  samples: readonly Sample[],
  name: string,
  label = '',
): number {
  return samples
    .filter(sample => sample.name === name && sample.labels.includes(label))
    .reduce((sum, {value}) => sum + value, 0);
}

const CONTROL_BYTES_METRIC = 'oleander_control_bytes_total';

/** Computes a router's counters from its metrics page. */
export function toRouterCounters(text: string, atMs: number): RouterCounters {
  const samples = parseSamples(text);
  const labels = samples
    .filter(({name}) => name === CONTROL_BYTES_METRIC)
    .map(sample => /channel="(\w+)"/.exec(sample.labels)?.[1] ?? '');
  const controlBytesByChannel = [...new Set(labels)].map(
    channel =>
      [
        channel,
        sumSamples(samples, CONTROL_BYTES_METRIC, `channel="${channel}"`),
      ] as const,
  );
  return {
    atMs,
    controlSentBytes: sumSamples(
      samples,
      CONTROL_BYTES_METRIC,
      'direction="sent"',
    ),
    controlReceivedBytes: sumSamples(
      samples,
      CONTROL_BYTES_METRIC,
      'direction="received"',
    ),
    controlBytesByChannel: Object.fromEntries(controlBytesByChannel),
    cpuSeconds: sumSamples(samples, 'process_cpu_seconds_total'),
    residentBytes: sumSamples(samples, 'process_resident_memory_bytes'),
  };
}

/** Reads the counters of the router with the given entry address. */
export async function readRouterCounters(
  address: string,
): Promise<RouterCounters> {
  const answer = await fetch(`http://${address}/metrics`);
  return toRouterCounters(await answer.text(), performance.now());
}

/** Reads the counters of all routers. */
export function readAllRouterCounters(
  fleet: standins.Fleet,
): Promise<RouterCounters[]> {
  return Promise.all(fleet.entryAddresses().map(readRouterCounters));
}

/** Reads the counters of a stand-in endpoint. */
export async function readEndpointStats(
  fleet: standins.Fleet,
  name: string,
): Promise<EndpointStats> {
  return v.parse(endpointStatsSchema, await fleet.stats(name));
}

const trafficSchema = v.object({bytes_in: v.number(), bytes_out: v.number()});
const platformStatsSchema = v.object({
  ...trafficSchema.entries,
  list: trafficSchema,
});

/** Reads the bytes of bodies that the platform's list and log transferred. */
export async function readPlatformBytes(
  fleet: standins.Fleet,
): Promise<number> {
  const stats = v.parse(platformStatsSchema, await fleet.platformStats());
  const {list} = stats;
  return stats.bytes_in + stats.bytes_out + list.bytes_in + list.bytes_out;
}

/** Control bytes per second of each router between two readings. */
export function controlRates(
  before: readonly RouterCounters[],
  after: readonly RouterCounters[],
): number[] {
  return after.map((end, index) => {
    const start = before[index]!;
    const bytes =
      end.controlSentBytes +
      end.controlReceivedBytes -
      start.controlSentBytes -
      start.controlReceivedBytes;
    return (bytes * 1_000) / (end.atMs - start.atMs);
  });
}

/** Mean of the values; 0 without values. */
export function mean(values: readonly number[]): number {
  const sum = values.reduce((total, value) => total + value, 0);
  return values.length > 0 ? sum / values.length : 0;
}
