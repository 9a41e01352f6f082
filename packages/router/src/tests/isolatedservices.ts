/** Runs single services of a router in isolation, each on its own kernel. */
import * as core from '@oleanderrock/core';
import * as decide from '@oleanderrock/decide';
import * as claims from '../claims.js';
import * as configuration from '../configuration.js';
import * as fleet from '../fleet.js';
import * as peerCalls from '../peercalls.js';
import * as platform from '../platform.js';
import * as settings from '../settings.js';
import * as sharedLog from './sharedlog.js';

/** Values of some settings, as flags would give them. */
export type Flags = Partial<Record<keyof settings.Settings, string>>;

/** Validated settings of a test router. */
export function settingsOf(name: string, flags: Flags = {}): settings.Settings {
  const defaults = {
    name,
    platformUrl: 'http://127.0.0.1:1',
    peerToken: 'token-of-peers',
    adminToken: 'token-of-operators',
  };
  const inputs = {flags: {...defaults, ...flags}, environment: {}};
  const loaded = core.loadSettings(settings.SETTINGS, inputs);
  if (!loaded.ok) throw new Error(loaded.problems.join());
  return loaded.values;
}

function failOnCall(): never {
  throw new Error('this method is not available in the test');
}

/** Fake fleet view: `leader` leads all tasks; unused methods throw. */
function createFleetWithLeader(leader: string, self: string): fleet.Fleet {
  const available = {
    self: () => self,
    hasInstanceList: () => true,
    leaders: () => [leader],
  };
  const unavailable = ['find', 'members', 'owners', 'epoch'];
  const failing = Object.fromEntries(
    unavailable.map(name => [name, failOnCall]),
  );
  return {...failing, ...available} as unknown as fleet.Fleet;
}

/** Options of an isolated service. */
export interface ServiceOptions {
  readonly name: string;
  readonly log: sharedLog.SharedLog;
  readonly flags?: Flags;
  /** Router that leads all tasks; by default this one. */
  readonly leader?: string;
  /** Whether the link to the log is down from the start. */
  readonly isDisconnected?: boolean;
}

function createKernel({
  name,
  log,
  leader = name,
  isDisconnected,
}: ServiceOptions) {
  const kernel = new core.Kernel();
  const link = new sharedLog.LogLink(log, isDisconnected);
  kernel.register(core.CLOCK, log.clock);
  kernel.register(core.LOGGER, new core.SilentLogger());
  kernel.register(platform.LOG_CLIENT, link);
  kernel.register(fleet.FLEET, createFleetWithLeader(leader, name));
  return {kernel, link};
}

/** Starts a router's claims service. */
export async function startClaims(options: ServiceOptions) {
  const {kernel, link} = createKernel(options);
  const routerSettings = settingsOf(options.name, options.flags);
  const service = new claims.LogClaims(kernel, routerSettings);
  kernel.register(claims.CLAIMS, service);
  await kernel.start();
  return {service, link, stop: () => kernel.stop()};
}

/** A router's configuration service and its link to the log. */
export interface ConfigurationRouter {
  readonly service: configuration.LogConfiguration;
  readonly link: sharedLog.LogLink;
  stop(): Promise<void>;
}

/** Starts a configuration service, which can read the snapshots of `peers`. */
export async function startConfiguration(
  options: ServiceOptions & {peers?: ReadonlyMap<string, ConfigurationRouter>},
): Promise<ConfigurationRouter> {
  const {kernel, link} = createKernel(options);
  const routerSettings = settingsOf(options.name, options.flags);
  kernel.register(configuration.CONFIG_REPLICA, new decide.LogConfigReplica());
  kernel.register(peerCalls.PEER_CALLS, {
    snapshot: router => {
      const peer = options.peers?.get(router)?.service;
      const answer = peer?.isCurrent()
        ? core.succeed(peer.snapshot())
        : core.fail('peer_unreachable', router);
      return Promise.resolve(answer);
    },
    steps: failOnCall,
    handOver: failOnCall,
    status: failOnCall,
    usage: failOnCall,
    drain: failOnCall,
  });
  const service = new configuration.LogConfiguration(kernel, routerSettings);
  kernel.register(configuration.CONFIGURATION, service);
  await kernel.start();
  return {service, link, stop: () => kernel.stop()};
}
