/** Settings of a router that sends requests directly to endpoints. */
import * as core from '@oleanderrock/core';
import * as v from 'valibot';

const MAX_PORT = 65_535;
const MAX_MS = 3_600_000;

const portSchema = core.wholeNumberSchema(0, MAX_PORT);

/** The port of a listener, from the platform's `ADDRESS:PORT` form. */
const listenPortSchema = v.pipe(
  v.string(),
  v.regex(/^[\d.]+:\d+$/, 'must be ADDRESS:PORT'),
  v.transform(text => Number(text.split(':')[1])),
);

/** The addresses in a comma-separated list of `ADDRESS:PORT`. */
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
  name: {schema: core.textSchema(), meaning: 'name of this router'},
  address: {schema: core.textSchema(), meaning: 'IP address of this router'},
  zone: {schema: core.textSchema(), meaning: 'failure domain of this router'},
  entryListen: {
    schema: listenPortSchema,
    meaning: 'listener for requests of callers',
  },
  readyListen: {
    schema: listenPortSchema,
    meaning: 'listener for readiness checks and metrics',
  },
  directoryListen: {
    schema: listenPortSchema,
    meaning: 'listener that serves the router addresses to callers',
  },
  peerListen: {schema: listenPortSchema, meaning: 'listener for other routers'},
  gossipPort: {
    schema: v.pipe(
      v.string(),
      v.transform(text => text.split(',')[0] ?? ''),
      portSchema,
    ),
    meaning: 'UDP port for digests; of a list, the first port is used',
  },
  seeds: {
    schema: addressesSchema,
    fallback: '',
    meaning: 'listeners of routers from which state is fetched at the start',
  },
  storeAddress: {
    schema: v.pipe(v.string(), v.regex(/^[\d.]+:\d+$/, 'must be ADDRESS:PORT')),
    meaning: "listener of the platform's store",
  },
  retryRatio: {
    schema: decimalSchema,
    fallback: '0.2',
    meaning: 'retries of the fleet for each request',
  },
  retrySlack: {
    schema: decimalSchema,
    fallback: '20',
    meaning: 'retries of the fleet beyond the ratio, in one window',
  },
  retryWindowS: {
    schema: decimalSchema,
    fallback: '10',
    unit: 's',
    meaning: 'window of the retry budget',
  },
  isFirstStart: {
    schema: core.oneOfSchema(['true', 'false']),
    fallback: 'false',
    meaning: 'whether the whole fleet starts for the first time',
  },
  graceS: {
    schema: decimalSchema,
    fallback: '8',
    unit: 's',
    meaning: 'time from the termination signal until the process is killed',
  },
  addressKeepS: {
    schema: decimalSchema,
    fallback: '2',
    unit: 's',
    meaning: 'how long callers may cache the router addresses',
  },
  endpointsPaceMs: {
    schema: core.wholeNumberSchema(50, MAX_MS),
    fallback: '700',
    unit: 'ms',
    meaning: 'shortest interval between reads of the list of endpoints',
  },
  digestMs: {
    schema: core.wholeNumberSchema(50, MAX_MS),
    fallback: '400',
    unit: 'ms',
    meaning: 'interval between digests to the other routers',
  },
  placement: {
    schema: core.oneOfSchema(['auto', 'cost', 'counts']),
    fallback: 'auto',
    meaning:
      'whether requests are placed by their cost or by their number, and slow ' +
      'ones sent twice; auto: by cost where endpoints tell how long work takes',
  },
  memoryMb: {
    schema: core.wholeNumberSchema(64, 1_048_576),
    fallback: '202',
    unit: 'MB',
    meaning: 'memory of the machine that this process may use',
  },
  heldMb: {
    schema: core.wholeNumberSchema(0, 1_048_576),
    fallback: '0',
    unit: 'MB',
    meaning:
      'memory for requests and answers that are received, wait or are sent; ' +
      '0: a quarter of the memory',
  },
  maxFds: {
    schema: core.wholeNumberSchema(64, 1_048_576),
    fallback: '2069',
    meaning: 'descriptors that this process may open',
  },
  stallMs: {
    schema: core.wholeNumberSchema(100, MAX_MS),
    fallback: '15000',
    unit: 'ms',
    meaning:
      'longest time for which a caller may send nothing of a body, or take ' +
      'nothing of an answer',
  },
  logLevel: {
    schema: core.oneOfSchema(['error', 'warn', 'info', 'debug']),
    fallback: 'info',
    meaning: 'lowest severity that is logged',
  },
} as const satisfies core.SettingSpecifications;

type LoadedValues = core.SettingValues<typeof SETTINGS>;

/** Validated settings in the form used by the services. */
export interface Settings extends Omit<
  LoadedValues,
  'seeds' | 'peerListen' | 'isFirstStart'
> {
  readonly isFirstStart: boolean;
  readonly peerPort: number;
  readonly seedAddresses: readonly string[];
}

/**
 * Settings that take effect in a running router; the others take effect at the
 * next start.
 */
const RELOADABLE_NAMES = [
  'seedAddresses',
  'retryRatio',
  'retrySlack',
  'retryWindowS',
  'graceS',
  'addressKeepS',
  'endpointsPaceMs',
  'digestMs',
] as const satisfies ReadonlyArray<keyof Settings>;

/** Converts the loaded values to the form used by the services. */
export function toSettings(loaded: LoadedValues): Settings {
  const {seeds, peerListen, isFirstStart, ...rest} = loaded;
  return {
    ...rest,
    peerPort: peerListen,
    seedAddresses: seeds,
    isFirstStart: isFirstStart === 'true',
  };
}

/** The names of changed settings, by whether they took effect. */
export interface SettingsChange {
  readonly applied: readonly string[];
  /** Settings that take effect at the next start. */
  readonly deferred: readonly string[];
}

/**
 * Copies the reloadable changes of `next` into `current`, which the services
 * read.
 */
export function applyChanges(
  current: Settings,
  next: Settings,
): SettingsChange {
  const names = Object.keys(next) as Array<keyof Settings>;
  const isChanged = (name: keyof Settings) =>
    JSON.stringify(current[name]) !== JSON.stringify(next[name]);
  const changedNames = names.filter(isChanged);
  const isReloadable = (name: keyof Settings) =>
    (RELOADABLE_NAMES as readonly string[]).includes(name);
  const applied = changedNames.filter(isReloadable);
  for (const name of applied) Object.assign(current, {[name]: next[name]});
  return {applied, deferred: changedNames.filter(name => !isReloadable(name))};
}
