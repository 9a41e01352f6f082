/** Where the routers are and who asks, from flags and variables. */
import * as os from 'node:os';
import * as core from '@oleanderrock/core';
import * as v from 'valibot';
import * as exits from './exits.js';

const MAX_PORT = 65_535;

/** An address of the administration interface. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

/** Options of every command, checked. */
export interface Options {
  /** Tried in this order. */
  readonly addresses: readonly Address[];
  readonly token: string;
  /** Name of the operator, for the audit. */
  readonly operator: string;
}

/** The options as they were written. */
export interface Written {
  readonly address?: string;
  readonly token?: string;
  readonly operator?: string;
}

const addressSchema = v.pipe(
  v.string(),
  v.regex(/^[^:\s]+:\d{1,5}$/, 'must be host:port, as 10.0.0.1:8082'),
  v.transform(text => {
    const [host = '', port] = text.split(':');
    return {host, port: Number(port)};
  }),
  v.object({
    host: v.pipe(v.string(), v.ip('must have an IP number, no host name')),
    port: v.pipe(v.number(), v.minValue(1), v.maxValue(MAX_PORT)),
  }),
);

const optionsSchema = v.object({
  address: v.pipe(
    v.string('is required, as 10.0.0.1:8082; several separated by commas'),
    v.transform(text => text.split(',').map(part => part.trim())),
    v.array(addressSchema),
  ),
  token: v.pipe(v.string('is required'), v.minLength(1, 'is required')),
  operator: core.nameSchema,
});

const VARIABLES = {
  address: '--address (OLEANDER_ADMIN_ADDRESS)',
  token: '--token (OLEANDER_ADMIN_TOKEN)',
  operator: '--operator (OLEANDER_OPERATOR)',
} as const;

/** Checks the options. */
export function read(written: Written): exits.Result<Options> {
  const operator = written.operator ?? userName();
  const parsed = v.safeParse(optionsSchema, {...written, operator});
  if (parsed.success) {
    const {address, ...rest} = parsed.output;
    return exits.succeed({addresses: address, ...rest});
  }
  const [issue] = parsed.issues;
  const [field] = (v.getDotPath(issue) ?? 'address').split('.');
  const name = VARIABLES[field as keyof typeof VARIABLES];
  return exits.stop('usage', `${name}: ${issue.message}`);
}

function userName(): string | undefined {
  try {
    return os.userInfo().username.toLowerCase();
  } catch {
    return undefined;
  }
}
