/**
 * Metrics of the evacuated failure domains: the version of each evacuation, how
 * long it has been in force here, and what this router still runs there.
 */
import * as core from '@oleanderrock/core';
import * as prom from 'prom-client';
import * as evacuatedZones from './evacuatedzones.js';

/** Computes one value of an evacuation. */
type ValueOf = (zone: string, offset: number) => number;

/** The contract under which these metrics are registered. */
export const EVACUATION_METRICS = core.contract<core.Lifecycle>(
  'evacuation-metrics',
  ['start'],
);

/** Reads the values when the metrics are collected. */
export class EvacuationMetrics implements core.Lifecycle {
  constructor(private readonly kernel: core.Kernel) {}

  start(): Promise<void> {
    const zones = this.kernel.find(evacuatedZones.EVACUATED_ZONES);
    const clock = this.kernel.find(core.CLOCK);
    this.addGauge(
      'offset',
      'Offset of the record that evacuates the failure domain.',
      (zone, offset) => offset,
    );
    this.addGauge(
      'seconds',
      'Time for which the failure domain is evacuated at this router.',
      zone => (clock.nowMs() - (zones.sinceMs(zone) ?? 0)) / 1_000,
    );
    this.addGauge(
      'in_flight',
      'Requests of this router that run in the evacuated failure domain.',
      zone => zones.inFlight(zone),
    );
    return Promise.resolve();
  }

  stop(): Promise<void> {
    return Promise.resolve();
  }

  private addGauge(name: string, help: string, valueOf: ValueOf): void {
    const zones = this.kernel.find(evacuatedZones.EVACUATED_ZONES);
    new prom.Gauge({
      name: `oleander_zone_evacuated_${name}`,
      help,
      labelNames: ['zone'],
      registers: [this.kernel.find(core.METRICS).registry()],
      collect() {
        this.reset();
        for (const {zone, offset, isEvacuated} of zones.records()) {
          if (isEvacuated) this.set({zone}, valueOf(zone, offset));
        }
      },
    });
  }
}
