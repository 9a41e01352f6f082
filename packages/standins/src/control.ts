/**
 * Faults injected into a stand-in by a test or a launcher: an object checked by
 * a schema, into which each `POST /control` merges its body.
 */
import * as core from '@oleanderrock/core';
import * as v from 'valibot';

/** Called after each merge with the keys of the patch. */
export type FaultListener = (patchedKeys: ReadonlySet<string>) => void;

/** Access to the faults of a stand-in that does not depend on their type. */
export interface FaultControl {
  /** Merges `patch`; fails and changes nothing if the result is invalid. */
  merge(patch: unknown): core.Result<object>;
  /** Calls `listener` after each merge. */
  watch(listener: FaultListener): void;
}

/** Contract of a stand-in's faults. */
export const FAULT_CONTROL = core.contract<FaultControl>('fault-control', [
  'merge',
  'watch',
]);

/** Schema of a number that is not negative. */
export const nonNegativeNumberSchema = v.pipe(v.number(), v.minValue(0));

/** Schema of the body of `POST /control`. */
export const patchSchema = v.record(v.string(), v.unknown());

/** Current fault values of the type `T`. */
export class Faults<T extends object> implements FaultControl {
  private values: T;
  private readonly listeners: FaultListener[] = [];

  /** @param initial values that differ from the schema's defaults */
  constructor(
    private readonly schema: v.GenericSchema<unknown, T>,
    initial: Partial<T> = {},
  ) {
    this.values = v.parse(schema, initial);
  }

  /** The current values. */
  get current(): T {
    return this.values;
  }

  merge(patch: unknown): core.Result<T> {
    const input = v.safeParse(patchSchema, patch);
    if (!input.success) return core.fail('bad_request', 'not a JSON object');
    const merged = {...this.values, ...input.output};
    const validated = v.safeParse(this.schema, merged);
    if (!validated.success) {
      return core.fail('bad_request', v.summarize(validated.issues));
    }
    this.values = validated.output;
    const keys = new Set(Object.keys(input.output));
    for (const listener of this.listeners) listener(keys);
    return core.succeed(this.values);
  }

  watch(listener: FaultListener): void {
    this.listeners.push(listener);
  }
}

/** The contract `FAULT_CONTROL` with the faults typed as `T`. */
export function faultsContract<T extends object>(): core.Contract<Faults<T>> {
  return core.contract<Faults<T>>(FAULT_CONTROL.name, ['merge', 'watch']);
}
