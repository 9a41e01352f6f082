/** Options of all commands: addresses, token and operator. */
import * as os from 'node:os';
import * as core from '@oleanderrock/core';
import * as v from 'valibot';
import * as results from './results.js';

const MAX_PORT = 65_535;

/** Address of the administration interface of a router. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

/** Validated options of all commands. */
export interface Options {
  /** Addresses of routers, tried in this order. */
  readonly addresses: readonly Address[];
  readonly token: string;
  /** Name of the operator, for the audit. */
  readonly operator: string;
}

/** The options as given by flags or variables. */
export interface RawOptions {
  readonly address?: string;
  readonly token?: string;
  readonly operator?: string;
}

const addressSchema = v.pipe(
  v.string(),
  v.regex(/^[^:\s]+:\d{1,5}$/, 'must be host:port, such as 10.0.0.1:8082'),
  v.transform(text => {
    const [host = '', port] = text.split(':');
    return {host, port: Number(port)};
  }),
  v.object({
    host: v.pipe(v.string(), v.ip('must be an IP address, not a host name')),
    port: v.pipe(v.number(), v.minValue(1), v.maxValue(MAX_PORT)),
  }),
);

const optionsSchema = v.object({
  address: v.pipe(
    v.string('is required, such as 10.0.0.1:8082; separate several by commas'),
    v.transform(text => text.split(',').map(item => item.trim())),
    v.array(addressSchema),
  ),
  token: v.pipe(v.string('is required'), v.minLength(1, 'is required')),
  operator: core.nameSchema,
});

const OPTION_NAMES = {
  address: '--address (OLEANDER_ADMIN_ADDRESS)',
  token: '--token (OLEANDER_ADMIN_TOKEN)',
  operator: '--operator (OLEANDER_OPERATOR)',
} as const;

/** Validates the options; the operator defaults to the user name. */
export function parseOptions(rawOptions: RawOptions): results.Result<Options> {
  const operator = rawOptions.operator ?? userName();
  const parsed = v.safeParse(optionsSchema, {...rawOptions, operator});
  if (parsed.success) {
    const {address, ...otherOptions} = parsed.output;
    return results.succeed({addresses: address, ...otherOptions});
  }
  const [issue] = parsed.issues;
  const [field] = (v.getDotPath(issue) ?? 'address').split('.');
  const optionName = OPTION_NAMES[field as keyof typeof OPTION_NAMES];
  return results.fail('usage', `${optionName}: ${issue.message}`);
}

function userName(): string | undefined {
  try {
    return os.userInfo().username.toLowerCase();
  } catch {
    return undefined;
  }
}
