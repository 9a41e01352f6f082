/**
 * The evacuated failure domains that this router knows: from the store's feed if
 * it reads it, else from the digests and the state of other routers. Each digest
 * carries them, so that a router hears of them again after any loss.
 */
import * as core from '@oleanderrock/core';
import * as decide from '@oleanderrock/decide';
import * as coldStarts from './coldstarts.js';
import * as decisions from './decisions.js';
import * as endpointRegistry from './endpointregistry.js';

/** Source of a record: the store's feed, or another router. */
export type EvacuationSource = 'feed' | 'router';

/** The evacuated failure domains. */
export interface EvacuatedZones {
  /** Applies a record; returns whether it changes what is in force here. */
  apply(record: decide.EvacuationRecord, source: EvacuationSource): boolean;
  /** Whether any zone is evacuated. */
  areAny(): boolean;
  /** Whether no request may be sent to the endpoints of the zone. */
  isEvacuated(zone: string): boolean;
  /** The newest record of each zone, those of ended evacuations included. */
  records(): readonly decide.EvacuationRecord[];
  /** The records for the next digest. */
  digestRecords(): readonly decide.EvacuationRecord[];
  /** Requests of this router that run at endpoints of the zone. */
  inFlight(zone: string): number;
  /** Monotonic time since which the zone is evacuated here, in ms. */
  sinceMs(zone: string): number | undefined;
}

/** The contract under which the evacuated zones are registered. */
export const EVACUATED_ZONES = core.contract<EvacuatedZones>(
  'evacuated-zones',
  [
    'apply',
    'areAny',
    'isEvacuated',
    'records',
    'digestRecords',
    'inFlight',
    'sinceMs',
  ],
);

/** Maximum number of records in one digest, so that it fits a datagram. */
const MAX_RECORDS_PER_DIGEST = 12;

/** Keeps them in memory, and logs each change. */
export class LoggedEvacuatedZones implements EvacuatedZones {
  private readonly startsMs = new Map<string, number>();

  constructor(
    private readonly kernel: core.Kernel,
    private readonly evacuations: decide.Evacuations,
  ) {}

  apply(record: decide.EvacuationRecord, source: EvacuationSource): boolean {
    const {zone, offset, isEvacuated} = record;
    const wasEvacuated = this.isEvacuated(zone);
    if (!this.evacuations.apply(record)) return false;
    if (wasEvacuated === isEvacuated) return false;
    const event = isEvacuated ? 'zone_evacuated' : 'zone_evacuation_ended';
    this.kernel.find(core.LOGGER).info(event, {
      zone,
      offset,
      source,
      endpoints: this.endpointCount(zone),
      in_flight: this.inFlight(zone),
    });
    if (isEvacuated) {
      this.startsMs.set(zone, this.kernel.find(core.CLOCK).nowMs());
    } else {
      this.startsMs.delete(zone);
      this.kernel.find(coldStarts.COLD_STARTS).recordReturn(zone);
    }
    return true;
  }

  areAny(): boolean {
    return this.evacuations.areAny();
  }

  isEvacuated(zone: string): boolean {
    return this.evacuations.isEvacuated(zone);
  }

  records(): readonly decide.EvacuationRecord[] {
    return this.evacuations.all();
  }

  digestRecords(): readonly decide.EvacuationRecord[] {
    return this.evacuations.takeTurn(MAX_RECORDS_PER_DIGEST);
  }

  inFlight(zone: string): number {
    const counts = this.kernel.find(decisions.FLEET_LOAD).localCounts();
    let sum = 0;
    for (const [id, count] of counts) {
      if (this.endpoints.find(id)?.zone === zone) sum += count;
    }
    return sum;
  }

  sinceMs(zone: string): number | undefined {
    return this.startsMs.get(zone);
  }

  private endpointCount(zone: string): number {
    const ids = this.endpoints.ids();
    return ids.filter(id => this.endpoints.find(id)?.zone === zone).length;
  }

  private get endpoints(): endpointRegistry.EndpointRegistry {
    return this.kernel.find(endpointRegistry.ENDPOINT_REGISTRY);
  }
}
