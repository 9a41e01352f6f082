/**
 * Evacuated failure domains: the operator asks that nothing more is sent to the
 * endpoints of a zone until the request is withdrawn. Of the records of a zone
 * the one with the highest offset holds, whoever told it, so that an outdated
 * one can neither end an evacuation nor bring one back.
 */

/** What the operator wants of a zone, as of an offset of the feed. */
export interface EvacuationRecord {
  readonly zone: string;
  readonly offset: number;
  /** False if the evacuation was withdrawn. */
  readonly isEvacuated: boolean;
}

/** Keeps the evacuations. */
export interface Evacuations {
  /** Applies a record; returns false if one at least as new is known. */
  apply(record: EvacuationRecord): boolean;
  /** Whether any zone is evacuated. */
  areAny(): boolean;
  /** Whether nothing may be sent to the endpoints of the zone. */
  isEvacuated(zone: string): boolean;
  /** The newest record of each zone, withdrawn ones included. */
  all(): readonly EvacuationRecord[];
  /**
   * At most so many of these records: the latest news first, then the others by
   * turns.
   */
  takeTurn(maxRecords: number): readonly EvacuationRecord[];
}

/** Maximum number of zones whose withdrawn evacuation is remembered. */
const MAX_WITHDRAWN = 256;

/** Keeps the newest record of each zone. */
export class NewestEvacuations implements Evacuations {
  /** The newest records, the one whose turn it is first. */
  private records: readonly EvacuationRecord[] = [];
  private evacuatedZones: ReadonlySet<string> = new Set();

  apply(record: EvacuationRecord): boolean {
    const {zone, offset} = record;
    const known = this.records.find(each => each.zone === zone);
    if (known && known.offset >= offset) return false;
    const others = this.records.filter(each => each !== known);
    this.records = withoutOldest([record, ...others]);
    const inForce = this.records.filter(each => each.isEvacuated);
    this.evacuatedZones = new Set(inForce.map(each => each.zone));
    return true;
  }

  areAny(): boolean {
    return this.evacuatedZones.size > 0;
  }

  isEvacuated(zone: string): boolean {
    return this.evacuatedZones.has(zone);
  }

  all(): readonly EvacuationRecord[] {
    return this.records;
  }

  takeTurn(maxRecords: number): readonly EvacuationRecord[] {
    if (this.records.length <= maxRecords) return this.records;
    const taken = this.records.slice(0, maxRecords);
    this.records = [...this.records.slice(maxRecords), ...taken];
    return taken;
  }
}

/** Forgets the oldest withdrawal if there are too many. */
function withoutOldest(
  records: readonly EvacuationRecord[],
): readonly EvacuationRecord[] {
  const withdrawn = records.filter(({isEvacuated}) => !isEvacuated);
  if (withdrawn.length <= MAX_WITHDRAWN) return records;
  const oldestOffset = Math.min(...withdrawn.map(({offset}) => offset));
  return records.filter(
    ({isEvacuated, offset}) => isEvacuated || offset !== oldestOffset,
  );
}

/** Baseline: does not know of evacuations. */
export class NoEvacuations implements Evacuations {
  apply(): boolean {
    return false;
  }

  areAny(): boolean {
    return false;
  }

  isEvacuated(): boolean {
    return false;
  }

  all(): readonly EvacuationRecord[] {
    return [];
  }

  takeTurn(): readonly EvacuationRecord[] {
    return [];
  }
}
