/** Schemas that keep the valid items of a list that others have written. */
import * as v from 'valibot';

/** Schema of an array; items that the item's schema rejects are left out. */
export function validItems<const TSchema extends v.GenericSchema>(
  itemSchema: TSchema,
) {
  return v.pipe(
    v.array(v.unknown()),
    v.transform(items =>
      items.flatMap((item): Array<v.InferOutput<TSchema>> => {
        const parsed = v.safeParse(itemSchema, item);
        return parsed.success ? [parsed.output] : [];
      }),
    ),
  );
}
