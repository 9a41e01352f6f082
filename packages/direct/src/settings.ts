/** Settings of a router that sends straight to endpoints. */
import * as core from '@oleanderrock/core';
import * as v from 'valibot';

const MAX_PORT = 65_535;
const MAX_MS = 3_600_000;

const portSchema = core.wholeNumber(0, MAX_PORT);

/** `ADDRESS:PORT`, as the platform writes its listeners. */
const portOfSchema = v.pipe(
  v.string(),
  v.regex(/^[\d.]+:\d+$/, 'must be ADDRESS:PORT'),
  v.transform(text => Number(text.split(':')[1])),
);

/** Addresses of a list of `ADDRESS:PORT`, separated by commas. */
const addressesSchema = v.pipe(
  v.string(),
  v.transform(text =>
    text
      .split(',')
      .map(item => item.trim().split(':')[0] ?? '')
      .filter(item => item !== ''),
  ),
);

const decimalSchema = v.pipe(
  v.string(),
  v.regex(/^\d+(\.\d+)?$/, 'must be a number'),
  v.transform(Number),
);

/** Specifications of the settings. */
export const SETTINGS = {
  name: {schema: core.text(), meaning: 'name of this router'},
  address: {schema: core.text(), meaning: 'IP address of this router'},
  zone: {schema: core.text(), meaning: 'failure domain of this router'},
  entryListen: {schema: portOfSchema, meaning: 'listener for callers'},
  readyListen: {schema: portOfSchema, meaning: 'listener for readiness'},
  directoryListen: {
    schema: portOfSchema,
    meaning: 'listener that tells callers which addresses to use',
  },
  peerListen: {schema: portOfSchema, meaning: 'listener for other routers'},
  gossipPort: {
    schema: v.pipe(
      v.string(),
      v.transform(text => text.split(',')[0] ?? ''),
      portSchema,
    ),
    meaning: 'UDP port of the digests; the first of a list is taken',
  },
  seeds: {
    schema: addressesSchema,
    fallback: '',
    meaning: 'listeners of routers to ask at the start',
  },
  storeAddress: {
    schema: v.pipe(v.string(), v.regex(/^[\d.]+:\d+$/, 'must be ADDRESS:PORT')),
    meaning: 'the store of the platform',
  },
  retryRatio: {
    schema: decimalSchema,
    fallback: '0.2',
    meaning: 'repeated sends of the fleet for each request',
  },
  retrySlack: {
    schema: decimalSchema,
    fallback: '20',
    meaning: 'repeated sends of the fleet beyond the ratio, in one window',
  },
  retryWindowS: {
    schema: decimalSchema,
    fallback: '10',
    unit: 's',
    meaning: 'window of the budget of repeated sends',
  },
  isFirstStart: {
    schema: core.word(['true', 'false']),
    fallback: 'false',
    meaning: 'whether the whole fleet starts for the first time',
  },
  graceS: {
    schema: decimalSchema,
    fallback: '8',
    unit: 's',
    meaning: 'time from the signal to end until the process is killed',
  },
  addressKeepS: {
    schema: decimalSchema,
    fallback: '2',
    unit: 's',
    meaning: 'how long callers keep the addresses that they are told',
  },
  endpointsPaceMs: {
    schema: core.wholeNumber(50, MAX_MS),
    fallback: '700',
    unit: 'ms',
    meaning: 'shortest pause between reads of the list of endpoints',
  },
  digestMs: {
    schema: core.wholeNumber(50, MAX_MS),
    fallback: '400',
    unit: 'ms',
    meaning: 'pause between digests to the other routers',
  },
  logLevel: {
    schema: core.word(['error', 'warn', 'info', 'debug']),
    fallback: 'info',
    meaning: 'the least urgent events that are logged',
  },
} as const satisfies core.Specifications;

type Loaded = core.Values<typeof SETTINGS>;

/** Checked settings. */
export interface Settings extends Omit<
  Loaded,
  'seeds' | 'peerListen' | 'isFirstStart'
> {
  readonly isFirstStart: boolean;
  readonly peerPort: number;
  readonly seedAddresses: readonly string[];
}

/** Settings that a running router takes up; the others hold until its end. */
const LIVE_NAMES = [
  'seedAddresses',
  'retryRatio',
  'retrySlack',
  'retryWindowS',
  'graceS',
  'addressKeepS',
  'endpointsPaceMs',
  'digestMs',
] as const satisfies ReadonlyArray<keyof Settings>;

/** Names the values as the services use them. */
export function settle(loaded: Loaded): Settings {
  const {seeds, peerListen, isFirstStart, ...rest} = loaded;
  return {
    ...rest,
    peerPort: peerListen,
    seedAddresses: seeds,
    isFirstStart: isFirstStart === 'true',
  };
}

/** What became of changed settings, by name. */
export interface SettingsChange {
  readonly applied: readonly string[];
  /** These hold from the next start on. */
  readonly deferred: readonly string[];
}

/** Puts changed settings in force in the settings that the services read. */
export function update(own: Settings, next: Settings): SettingsChange {
  const names = Object.keys(next) as Array<keyof Settings>;
  const isChanged = (name: keyof Settings) =>
    JSON.stringify(own[name]) !== JSON.stringify(next[name]);
  const changed = names.filter(isChanged);
  const isLive = (name: keyof Settings) =>
    (LIVE_NAMES as readonly string[]).includes(name);
  const applied = changed.filter(isLive);
  for (const name of applied) Object.assign(own, {[name]: next[name]});
  return {applied, deferred: changed.filter(name => !isLive(name))};
}
