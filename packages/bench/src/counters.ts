/** Reads counters of routers and endpoints over HTTP. */
import type * as standins from '@oleanderrock/standins';
import * as v from 'valibot';

const SAMPLE = /^(\w+)(?:\{(.*)\})? (\S+)$/;

const statsSchema = v.object({
  started: v.number(),
  max_in_flight: v.number(),
  admissions: v.array(
    v.object({at_ms: v.number(), in_flight: v.number(), queued: v.number()}),
  ),
  runs_by_key: v.record(v.string(), v.number()),
});

/** Counts of a stand-in endpoint. */
export type EndpointStats = v.InferOutput<typeof statsSchema>;

/** Sums of one router's counters at one time. */
export interface RouterCounters {
  /** Monotonic time of the reading. */
  readonly atMs: number;
  readonly controlSentBytes: number;
  readonly controlReceivedBytes: number;
  /** Control bytes by channel, both directions. */
  readonly byChannel: Readonly<Record<string, number>>;
  readonly cpuSeconds: number;
  readonly residentBytes: number;
}

interface Sample {
  readonly name: string;
  readonly labels: string;
  readonly value: number;
}

/** Reads the samples of a page of metrics. */
export function samples(text: string): Sample[] {
  return text
    .split('\n')
    .map(line => SAMPLE.exec(line))
    .filter(match => match !== null)
    .map(([, name = '', labels = '', value]) => ({
      name,
      labels,
      value: Number(value),
    }));
}

function total(all: readonly Sample[], name: string, label = ''): number {
  return all
    .filter(sample => sample.name === name && sample.labels.includes(label))
    .reduce((sum, {value}) => sum + value, 0);
}

const CONTROL = 'oleander_control_bytes_total';

/** Sums up the samples of a page of metrics. */
export function summarize(text: string, atMs: number): RouterCounters {
  const all = samples(text);
  const labels = all
    .filter(({name}) => name === CONTROL)
    .map(sample => /channel="(\w+)"/.exec(sample.labels)?.[1] ?? '');
  const byChannel = [...new Set(labels)].map(
    channel => [channel, total(all, CONTROL, `channel="${channel}"`)] as const,
  );
  return {
    atMs,
    controlSentBytes: total(all, CONTROL, 'direction="sent"'),
    controlReceivedBytes: total(all, CONTROL, 'direction="received"'),
    byChannel: Object.fromEntries(byChannel),
    cpuSeconds: total(all, 'process_cpu_seconds_total'),
    residentBytes: total(all, 'process_resident_memory_bytes'),
  };
}

/** Reads the counters of the router with the entry address. */
export async function readRouter(address: string): Promise<RouterCounters> {
  const answer = await fetch(`http://${address}/metrics`);
  return summarize(await answer.text(), performance.now());
}

/** Reads the counters of all routers. */
export function readRouters(fleet: standins.Fleet): Promise<RouterCounters[]> {
  return Promise.all(fleet.addresses().map(readRouter));
}

/** Reads the counts of a stand-in endpoint. */
export async function readEndpoint(
  fleet: standins.Fleet,
  name: string,
): Promise<EndpointStats> {
  return v.parse(statsSchema, await fleet.stats(name));
}

const trafficSchema = v.object({bytes_in: v.number(), bytes_out: v.number()});
const platformSchema = v.object({
  ...trafficSchema.entries,
  list: trafficSchema,
});

/** Bytes of bodies that the platform's list and log took and gave. */
export async function platformBytes(fleet: standins.Fleet): Promise<number> {
  const stats = v.parse(platformSchema, await fleet.platformStats());
  const {list} = stats;
  return stats.bytes_in + stats.bytes_out + list.bytes_in + list.bytes_out;
}

/** Control bytes a second of each router between two readings. */
export function controlRates(
  before: readonly RouterCounters[],
  after: readonly RouterCounters[],
): number[] {
  return after.map((end, index) => {
    const begin = before[index]!;
    const bytes =
      end.controlSentBytes +
      end.controlReceivedBytes -
      begin.controlSentBytes -
      begin.controlReceivedBytes;
    return (bytes * 1_000) / (end.atMs - begin.atMs);
  });
}

/** The mean of numbers; 0 of none. */
export function mean(values: readonly number[]): number {
  const sum = values.reduce((total, value) => total + value, 0);
  return values.length > 0 ? sum / values.length : 0;
}
