/** Single services of a router on a kernel of their own, for tests. */
import * as core from '@oleanderrock/core';
import * as decide from '@oleanderrock/decide';
import * as claims from '../claims.js';
import * as configuration from '../configuration.js';
import * as fleet from '../fleet.js';
import * as peerCalls from '../peercalls.js';
import * as platform from '../platform.js';
import * as settings from '../settings.js';
import * as sharedLog from './sharedlog.js';

/** Values of some settings, as flags give them. */
export type Flags = Partial<Record<keyof settings.Settings, string>>;

/** Checked settings of a router. */
export function settingsOf(name: string, flags: Flags = {}): settings.Settings {
  const basics = {
    name,
    platformUrl: 'http://127.0.0.1:1',
    peerToken: 'token-of-peers',
    adminToken: 'token-of-operators',
  };
  const inputs = {flags: {...basics, ...flags}, environment: {}};
  const loaded = core.loadSettings(settings.SETTINGS, inputs);
  if (!loaded.ok) throw new Error(loaded.problems.join());
  return loaded.values;
}

function unused(): never {
  throw new Error('this part of the fleet is not there');
}

/** A fleet of which only the leader is known. */
function ledBy(leader: string, self: string): fleet.Fleet {
  const known = {
    self: () => self,
    isKnown: () => true,
    leaders: () => [leader],
  };
  const others = ['find', 'members', 'owners', 'epoch'];
  const rest = Object.fromEntries(others.map(name => [name, unused]));
  return {...rest, ...known} as unknown as fleet.Fleet;
}

/** Options of a part. */
export interface PartOptions {
  readonly name: string;
  readonly log: sharedLog.SharedLog;
  readonly flags?: Flags;
  /** Who leads all tasks; absent: this router. */
  readonly leader?: string;
  /** Whether the log cannot be reached from the start. */
  readonly isCut?: boolean;
}

function basics({name, log, leader = name, isCut}: PartOptions) {
  const kernel = new core.Kernel();
  const link = new sharedLog.LogLink(log, isCut);
  kernel.register(core.CLOCK, log.clock);
  kernel.register(core.LOGGER, new core.SilentLogger());
  kernel.register(platform.LOG_CLIENT, link);
  kernel.register(fleet.FLEET, ledBy(leader, name));
  return {kernel, link};
}

/** A router's claims. */
export async function startClaims(options: PartOptions) {
  const {kernel, link} = basics(options);
  const own = settingsOf(options.name, options.flags);
  const service = new claims.LogClaims(kernel, own);
  kernel.register(claims.CLAIMS, service);
  await kernel.start();
  return {service, link, stop: () => kernel.stop()};
}

/** A router's configuration with the link to the log. */
export interface ConfigPart {
  readonly service: configuration.LogConfiguration;
  readonly link: sharedLog.LogLink;
  stop(): Promise<void>;
}

/** A router's configuration; `peers` are those it can call. */
export async function startConfiguration(
  options: PartOptions & {peers?: ReadonlyMap<string, ConfigPart>},
): Promise<ConfigPart> {
  const {kernel, link} = basics(options);
  const own = settingsOf(options.name, options.flags);
  kernel.register(configuration.CONFIG_BOOK, new decide.LogConfigBook());
  kernel.register(peerCalls.PEER_CALLS, {
    snapshot: router => {
      const peer = options.peers?.get(router)?.service;
      const answer = peer?.isCurrent()
        ? core.succeed(peer.snapshot())
        : core.fail('peer_unreachable', router);
      return Promise.resolve(answer);
    },
    steps: unused,
    handOver: unused,
    status: unused,
    usage: unused,
    drain: unused,
  });
  const service = new configuration.LogConfiguration(kernel, own);
  kernel.register(configuration.CONFIGURATION, service);
  await kernel.start();
  return {service, link, stop: () => kernel.stop()};
}
