/** The router's settings, read from flags and environment variables. */
import * as net from 'node:net';
import * as core from '@oleanderrock/core';
import * as v from 'valibot';

const MAX_PORT = 65_535;
const HOUR_MS = 3_600_000;
const MIN_TOKEN_LENGTH = 8;

/** Strategies that distribute requests; `naive` serves as a baseline. */
export const STRATEGIES = ['owner', 'naive'] as const;

const port = core.wholeNumberSchema(0, MAX_PORT);
const durationMs = core.wholeNumberSchema(1, HOUR_MS);
const bytes = core.wholeNumberSchema(1, 1 << 30);
const count = core.wholeNumberSchema(1, 100_000_000);
const token = core.textSchema(MIN_TOKEN_LENGTH);
const address = v.pipe(
  v.string(),
  v.ip('must be an IP address, not a host name'),
);
const url = v.pipe(
  v.string(),
  v.url('must be a URL, such as http://10.0.0.1:80'),
  v.check(hasIpHost, 'must have an IP address, not a host name'),
);

function hasIpHost(text: string): boolean {
  const {hostname} = new URL(text);
  return net.isIP(hostname.replace(/^\[|\]$/g, '')) !== 0;
}

/** Specifications of all settings of the router. */
export const SETTINGS = {
  name: {
    schema: core.textSchema(),
    meaning: 'name of this router in the instance list',
  },
  host: {
    schema: address,
    fallback: '127.0.0.1',
    meaning: 'address on which the router listens',
  },
  entryPort: {
    schema: port,
    fallback: '8080',
    meaning: 'port for callers; 0 takes a free one',
  },
  peerPort: {
    schema: port,
    fallback: '8081',
    meaning: 'TCP and UDP port for other routers; 0 takes a free one',
  },
  adminPort: {
    schema: port,
    fallback: '8082',
    meaning: 'port for operators; 0 takes a free one',
  },
  region: {
    schema: core.textSchema(),
    fallback: 'default',
    meaning: 'region of this instance',
  },
  failureDomain: {
    schema: core.textSchema(),
    fallback: 'default',
    meaning: 'failure domain of this instance',
  },
  platformUrl: {schema: url, meaning: "URL of the platform's services"},
  peerToken: {
    schema: token,
    secret: true,
    meaning: 'secret with which routers authenticate to each other',
  },
  adminToken: {
    schema: token,
    secret: true,
    meaning: 'secret with which operators authenticate to the admin interface',
  },
  logLevel: {
    schema: core.oneOfSchema(['error', 'warn', 'info', 'debug']),
    fallback: 'info',
    meaning: 'least severe level that is logged',
  },
  strategy: {
    schema: core.oneOfSchema(STRATEGIES),
    fallback: 'owner',
    meaning:
      'strategy that distributes requests: owner, or naive as a baseline',
  },
  maxHeaderBytes: {
    schema: bytes,
    fallback: '16384',
    unit: 'bytes',
    meaning: 'maximum size of a request head',
  },
  maxBodyBytes: {
    schema: bytes,
    fallback: '1048576',
    unit: 'bytes',
    meaning: 'maximum size of a request body',
  },
  requestTimeoutMs: {
    schema: durationMs,
    fallback: '30000',
    unit: 'ms',
    meaning: 'time-out for receiving a whole request from a caller',
  },
  whereKeepMs: {
    schema: durationMs,
    fallback: '10000',
    unit: 'ms',
    meaning: 'how long callers may cache an answer of /where',
  },
  keepAliveMs: {
    schema: durationMs,
    fallback: '10000',
    unit: 'ms',
    meaning: 'how long idle connections of callers stay open',
  },
  drainTimeoutMs: {
    schema: durationMs,
    fallback: '120000',
    unit: 'ms',
    meaning: 'longest wait for requests in flight at shutdown',
  },
  peerTimeoutMs: {
    schema: durationMs,
    fallback: '2200',
    unit: 'ms',
    meaning: 'time without a digest after which a router is considered down',
  },
  peerAckTimeoutMs: {
    schema: durationMs,
    fallback: '1000',
    unit: 'ms',
    meaning: 'longest wait for a router to acknowledge a forwarded request',
  },
  digestPeriodMs: {
    schema: durationMs,
    fallback: '1000',
    unit: 'ms',
    meaning: 'time between digests to one peer when nothing changes',
  },
  controlBytesPerSecond: {
    schema: count,
    fallback: '3600',
    unit: 'bytes/s',
    meaning: 'budget for digests sent, UDP and IP headers included',
  },
  loadPeriodMs: {
    schema: durationMs,
    fallback: '1000',
    unit: 'ms',
    meaning: "polling interval of an owned endpoint's load report",
  },
  contextWaitMs: {
    schema: core.wholeNumberSchema(0, HOUR_MS),
    fallback: '300',
    unit: 'ms',
    meaning: 'how long a chat waits for the endpoint that served it last',
  },
  listLingerMs: {
    schema: core.wholeNumberSchema(0, HOUR_MS),
    fallback: '2500',
    unit: 'ms',
    meaning: 'how long an instance that vanishes from the list is still used',
  },
  settleMs: {
    schema: durationMs,
    fallback: '5000',
    unit: 'ms',
    meaning: 'how long a recovered endpoint is not used as a home of chats',
  },
  staleConfigMs: {
    schema: durationMs,
    fallback: '5000',
    unit: 'ms',
    meaning:
      'time without log or current peer after which requests are refused',
  },
  snapshotEvery: {
    schema: count,
    fallback: '500',
    unit: 'records',
    meaning: 'configuration records between snapshots',
  },
  snapshotMaxAgeMs: {
    schema: core.wholeNumberSchema(1, 30 * 24 * HOUR_MS),
    fallback: '600000',
    unit: 'ms',
    meaning: 'age of the newest snapshot at which another is appended',
  },
  claimStreams: {
    schema: core.wholeNumberSchema(1, 1024),
    fallback: '8',
    unit: 'streams',
    meaning: 'number of claim streams; must be the same on all routers',
  },
  claimLingerMs: {
    schema: core.wholeNumberSchema(0, 1000),
    fallback: '25',
    unit: 'ms',
    meaning: 'minimum time between two appends to one claim stream',
  },
  claimTimeoutMs: {
    schema: durationMs,
    fallback: '2000',
    unit: 'ms',
    meaning: 'longest wait for a claim to be read back',
  },
  claimValidityMs: {
    schema: durationMs,
    fallback: '5000',
    unit: 'ms',
    meaning: 'how long after its claim a call may be dispatched',
  },
  keyWindowMs: {
    schema: durationMs,
    fallback: '600000',
    unit: 'ms',
    meaning: 'maximum age of an Idempotency-Key; far below the log retention',
  },
  maxChats: {
    schema: count,
    fallback: '50000',
    unit: 'chats',
    meaning: 'number of chats whose last endpoint is remembered',
  },
  maxTraces: {
    schema: count,
    fallback: '20000',
    unit: 'requests',
    meaning: 'number of requests whose trace is kept for oleanderctl why',
  },
} as const satisfies core.SettingSpecifications;

/** Validated settings of a router. */
export type Settings = core.SettingValues<typeof SETTINGS>;

/** Service that provides the router's settings. */
export interface SettingsService {
  get(): Settings;
}

/** The contract under which the settings are registered. */
export const SETTINGS_SERVICE = core.contract<SettingsService>('settings', [
  'get',
]);
