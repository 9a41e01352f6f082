/**
 * Faults that a test or a launcher sets in a stand-in: one object of named
 * values, checked by a schema, merged by `POST /control`.
 */
import * as core from '@oleanderrock/core';
import * as v from 'valibot';

/** Called after each merge with the keys that were given. */
export type FaultListener = (given: ReadonlySet<string>) => void;

/** The faults of a stand-in, whatever their names. */
export interface Control {
  /** Merges `patch`; a bad patch changes nothing. */
  merge(patch: unknown): core.Result<object>;
  /** Calls `listener` after each merge. */
  watch(listener: FaultListener): void;
}

/** The contract under which a stand-in's faults are registered. */
export const CONTROL = core.contract<Control>('control', ['merge', 'watch']);

/** A number that is 0 or more. */
export const amount = v.pipe(v.number(), v.minValue(0));

/** Schema of the body of a control call. */
export const patchSchema = v.record(v.string(), v.unknown());

/** Faults of the type `T`. */
export class Faults<T extends object> implements Control {
  private values: T;
  private readonly listeners: FaultListener[] = [];

  /** @param initial values that differ from the schema's defaults */
  constructor(
    private readonly schema: v.GenericSchema<unknown, T>,
    initial: Partial<T> = {},
  ) {
    this.values = v.parse(schema, initial);
  }

  /** The values in force. */
  get now(): T {
    return this.values;
  }

  merge(patch: unknown): core.Result<T> {
    const given = v.safeParse(patchSchema, patch);
    if (!given.success) return core.fail('bad_request', 'not a JSON object');
    const merged = {...this.values, ...given.output};
    const parsed = v.safeParse(this.schema, merged);
    if (!parsed.success) {
      return core.fail('bad_request', v.summarize(parsed.issues));
    }
    this.values = parsed.output;
    const keys = new Set(Object.keys(given.output));
    for (const listener of this.listeners) listener(keys);
    return core.succeed(this.values);
  }

  watch(listener: FaultListener): void {
    this.listeners.push(listener);
  }
}

/** The contract of faults whose type is known. */
export function faultsOf<T extends object>(): core.Contract<Faults<T>> {
  return core.contract<Faults<T>>(CONTROL.name, ['merge', 'watch']);
}
