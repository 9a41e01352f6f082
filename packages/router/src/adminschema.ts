/** A description of the interface's JSON, drawn from the schemas themselves. */
import * as core from '@oleanderrock/core';
import * as v from 'valibot';
import * as adminEdits from './adminedits.js';
import * as resource from './resource.js';

/** A schema as it describes itself, as far as the interface uses it. */
interface Shape {
  readonly type: string;
  readonly entries?: Readonly<Record<string, Shape>>;
  readonly item?: Shape;
  readonly value?: Shape;
  readonly wrapped?: Shape;
  readonly default?: unknown;
  readonly options?: readonly unknown[];
  readonly literal?: unknown;
  readonly pipe?: ReadonlyArray<{
    readonly kind: string;
    readonly type: string;
    readonly requirement?: unknown;
  }>;
}

function rules(shape: Shape): Record<string, unknown> {
  const checks = (shape.pipe ?? []).filter(item => item.kind === 'validation');
  const told = checks.map(({type, requirement}): [string, unknown] => {
    if (requirement instanceof RegExp) return [type, requirement.source];
    return [type, typeof requirement === 'function' ? true : requirement];
  });
  return Object.fromEntries(told);
}

function describeEntries(entries: Readonly<Record<string, Shape>>) {
  const fields = Object.entries(entries);
  return Object.fromEntries(
    fields.map(([name, entry]) => [name, describeShape(entry)]),
  );
}

function describeShape(shape: Shape): Record<string, unknown> {
  if (shape.wrapped) {
    const word = shape.type === 'nullable' ? 'nullable' : 'optional';
    const fallback =
      shape.default === undefined ? {} : {default: shape.default};
    return {...describeShape(shape.wrapped), [word]: true, ...fallback};
  }
  return {
    type: shape.type.replace('strict_', ''),
    ...(shape.entries && {fields: describeEntries(shape.entries)}),
    ...(shape.item && {items: describeShape(shape.item)}),
    ...(shape.value && {values: describeShape(shape.value)}),
    ...(shape.type === 'picklist' && {options: shape.options}),
    ...(shape.type === 'literal' && {value: shape.literal}),
    ...(shape.type === 'variant' && {
      variants: (shape.options as Shape[]).map(describeShape),
    }),
    ...rules(shape),
  };
}

/** Describes a schema: types, fields, defaults and checks. */
export function describe(schema: v.GenericSchema): Record<string, unknown> {
  return describeShape(schema);
}

/** Tells the description. */
export class SchemaResource implements resource.Resource {
  answer(ask: resource.Ask): Promise<core.Result<resource.Reply>> {
    return Promise.resolve(this.tell(ask));
  }

  private tell(ask: resource.Ask): core.Result<resource.Reply> {
    if (ask.path.length > 0) return resource.missing(ask);
    if (ask.method !== 'GET') return resource.wrongMethod(ask, 'GET');
    const {routes, pools, customers} = core.ROW_SCHEMAS;
    return resource.reply({
      rows: {
        routes: describe(routes),
        pools: describe(pools),
        customers: describe(customers),
      },
      edit: describe(adminEdits.editBodySchema),
      verdict: describe(core.verdictSchema),
      status: describe(core.fleetStatusSchema),
      why: describe(core.whySchema),
      audit: describe(core.auditSchema),
      usage: describe(core.usageSchema),
      where: describe(core.whereSchema),
      problem: describe(core.problemSchema),
      kinds: core.ANSWERS,
    });
  }
}
