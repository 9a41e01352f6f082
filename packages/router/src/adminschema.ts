/** Describes the JSON bodies of the administration interface by its schemas. */
import * as core from '@oleanderrock/core';
import * as v from 'valibot';
import * as adminEdits from './adminedits.js';
import * as resource from './resource.js';

/** The properties of a valibot schema that the description reads. */
interface SchemaNode {
  readonly type: string;
  readonly entries?: Readonly<Record<string, SchemaNode>>;
  readonly item?: SchemaNode;
  readonly value?: SchemaNode;
  readonly wrapped?: SchemaNode;
  readonly default?: unknown;
  readonly options?: readonly unknown[];
  readonly literal?: unknown;
  readonly pipe?: ReadonlyArray<{
    readonly kind: string;
    readonly type: string;
    readonly requirement?: unknown;
  }>;
}

function describeChecks(schema: SchemaNode): Record<string, unknown> {
  const checks = (schema.pipe ?? []).filter(item => item.kind === 'validation');
  const entries = checks.map(({type, requirement}): [string, unknown] => {
    if (requirement instanceof RegExp) return [type, requirement.source];
    return [type, typeof requirement === 'function' ? true : requirement];
  });
  return Object.fromEntries(entries);
}

function describeEntries(entries: Readonly<Record<string, SchemaNode>>) {
  const fields = Object.entries(entries);
  return Object.fromEntries(
    fields.map(([name, entry]) => [name, describeNode(entry)]),
  );
}

function describeNode(schema: SchemaNode): Record<string, unknown> {
  if (schema.wrapped) {
    const modifier = schema.type === 'nullable' ? 'nullable' : 'optional';
    const fallback =
      schema.default === undefined ? {} : {default: schema.default};
    return {...describeNode(schema.wrapped), [modifier]: true, ...fallback};
  }
  return {
    type: schema.type.replace('strict_', ''),
    ...(schema.entries && {fields: describeEntries(schema.entries)}),
    ...(schema.item && {items: describeNode(schema.item)}),
    ...(schema.value && {values: describeNode(schema.value)}),
    ...(schema.type === 'picklist' && {options: schema.options}),
    ...(schema.type === 'literal' && {value: schema.literal}),
    ...(schema.type === 'variant' && {
      variants: (schema.options as SchemaNode[]).map(describeNode),
    }),
    ...describeChecks(schema),
  };
}

/** Describes a schema's types, fields, defaults and checks as plain JSON. */
export function describe(schema: v.GenericSchema): Record<string, unknown> {
  return describeNode(schema);
}

/** Serves the descriptions of all rows and bodies, and the error kinds. */
export class SchemaResource implements resource.Resource {
  handle(
    request: resource.AdminRequest,
  ): Promise<core.Result<resource.AdminReply>> {
    return Promise.resolve(this.describeAll(request));
  }

  private describeAll(
    request: resource.AdminRequest,
  ): core.Result<resource.AdminReply> {
    if (request.segments.length > 0) return resource.notFound(request);
    if (request.method !== 'GET') return resource.badMethod(request, 'GET');
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
      why: describe(core.whyResponseSchema),
      audit: describe(core.auditResponseSchema),
      usage: describe(core.usageResponseSchema),
      where: describe(core.whereResponseSchema),
      problem: describe(core.problemSchema),
      kinds: core.ERROR_RESPONSES,
    });
  }
}
