/**
 * Starts a fleet on this machine for tests and measurements: the stand-in
 * platform, endpoints and routers, each a process of its own and each on the
 * platform's list. Everything it started ends with it.
 */
import * as core from '@oleanderrock/core';
import * as url from 'node:url';
import * as processes from './processes.js';

const ADDRESS = '127.0.0.1';
const SIGNAL_STATUS = 130;
const STAND_IN = url.fileURLToPath(new URL('./main.js', import.meta.url));

/** Options of a fleet. */
export interface FleetOptions {
  /** Path of the router's program. */
  readonly routerProgram?: string;
  /** Secret that the routers share. */
  readonly peerToken?: string;
  /** Secret that operators use. */
  readonly adminToken?: string;
  readonly logLevel?: core.LogLevel;
}

/** Options of one process of the fleet. */
export interface MemberOptions {
  readonly name: string;
  readonly region?: string;
  readonly failureDomain?: string;
  readonly labels?: Record<string, string>;
  /** More flags, as `['--slots', '4']`. */
  readonly flags?: readonly string[];
  /** False leaves the process off the platform's list. */
  readonly isListed?: boolean;
}

/** One process of the fleet with its entry on the list. */
export interface Member {
  readonly name: string;
  readonly process: processes.Child;
  readonly instance: core.Instance;
}

const DEFAULTS = {
  routerProgram: '',
  peerToken: 'fleet-peer-token-0123456789abcdef',
  adminToken: 'fleet-admin-token-0123456789abcdef',
  logLevel: 'info',
} as const satisfies FleetOptions;

function readPort(fields: Map<string, string>, name: string): number {
  return Number(fields.get(name) ?? 0);
}

async function request(
  method: string,
  address: string,
  body?: object,
): Promise<unknown> {
  const answer = await fetch(address, {
    method,
    body: body && JSON.stringify(body),
    headers: {connection: 'close'},
  });
  if (!answer.ok) throw new Error(`${method} ${address}: ${answer.status}`);
  return answer.json();
}

/** A fleet of child processes. */
export class Fleet {
  readonly options: Required<FleetOptions>;
  private readonly children = new Set<processes.Child>();
  private readonly members = new Map<string, Member>();
  private platform: processes.Child | undefined;
  private platformPort = 0;
  private readonly endOnSignal = () => {
    void this.stop().then(() => process.exit(SIGNAL_STATUS));
  };
  private readonly endOnExit = () => this.signalAll('SIGKILL');

  constructor(options: FleetOptions = {}) {
    this.options = {...DEFAULTS, ...options};
  }

  /** Starts the platform. */
  async start(flags: readonly string[] = []): Promise<void> {
    process.once('SIGINT', this.endOnSignal);
    process.once('SIGTERM', this.endOnSignal);
    process.once('exit', this.endOnExit);
    this.platform = this.spawn('platform', STAND_IN, ['platform', ...flags]);
    this.platformPort = readPort(await this.platform.listening(), 'port');
  }

  /** The address of the platform's pages. */
  get platformUrl(): string {
    return `http://${ADDRESS}:${this.platformPort}`;
  }

  /** Starts a router and lists it. */
  addRouter(options: MemberOptions): Promise<Member> {
    const args = [...this.routerFlags(options), ...(options.flags ?? [])];
    const child = this.spawn(options.name, this.options.routerProgram, args);
    return this.join(options, 'router', child);
  }

  /** Starts an engine and lists it. */
  addEngine(options: MemberOptions): Promise<Member> {
    return this.addEndpoint('engine', options);
  }

  /** Starts a plain service and lists it. */
  addService(options: MemberOptions): Promise<Member> {
    return this.addEndpoint('service', options);
  }

  /** The member with the name. Throws where there is none. */
  member(name: string): Member {
    const member = this.members.get(name);
    if (!member) throw new Error(`the fleet has no member ${name}`);
    return member;
  }

  /** The instances of all members of a kind, also of those that ended. */
  instances(kind: core.Instance['kind']): core.Instance[] {
    const all = [...this.members.values()].map(member => member.instance);
    return all.filter(instance => instance.kind === kind);
  }

  /** The entry addresses of all routers, as `127.0.0.1:8080`. */
  addresses(): string[] {
    const routers = this.instances('router');
    return routers.map(router => `${router.address}:${router.port}`);
  }

  /** Lists a member's instance again, with what differs. */
  async list(name: string, change: Partial<core.Instance> = {}): Promise<void> {
    const instance = {...this.member(name).instance, ...change};
    await request('PUT', `${this.platformUrl}/instances/${name}`, instance);
  }

  /** Takes a member off the platform's list; its process runs on. */
  async unlist(name: string): Promise<void> {
    await request('DELETE', `${this.platformUrl}/instances/${name}`);
  }

  /** Ends a member at once (SIGKILL); it stays on the list. */
  kill(name: string): Promise<processes.Exit> {
    const {process} = this.member(name);
    process.signal('SIGKILL');
    return process.exited;
  }

  /** Halts a member (SIGSTOP). */
  freeze(name: string): void {
    this.member(name).process.signal('SIGSTOP');
  }

  /** Lets a halted member go on (SIGCONT). */
  resume(name: string): void {
    this.member(name).process.signal('SIGCONT');
  }

  /** Asks a member to end (SIGTERM) and waits until it has. */
  terminate(name: string): Promise<processes.Exit> {
    const {process} = this.member(name);
    process.signal('SIGTERM');
    return process.exited;
  }

  /** Ends a member if it runs, unlists it and forgets it. */
  async remove(name: string): Promise<void> {
    await this.kill(name);
    await this.unlist(name);
    this.members.delete(name);
  }

  /** The newest lines of a member's output. */
  lines(name: string): readonly string[] {
    return this.member(name).process.lines;
  }

  /** Merges faults into a stand-in endpoint. */
  control(name: string, patch: object): Promise<unknown> {
    return request('POST', `${this.endpointUrl(name)}/control`, patch);
  }

  /** Merges faults into the platform. */
  controlPlatform(patch: object): Promise<unknown> {
    return request('POST', `${this.platformUrl}/control`, patch);
  }

  /** The counts of a stand-in endpoint. */
  stats(name: string): Promise<unknown> {
    return request('GET', `${this.endpointUrl(name)}/stats`);
  }

  /** The counts of the platform. */
  platformStats(): Promise<unknown> {
    return request('GET', `${this.platformUrl}/stats`);
  }

  /** Ends everything that was started, at once; routers do not drain. */
  async stop(): Promise<void> {
    process.off('SIGINT', this.endOnSignal);
    process.off('SIGTERM', this.endOnSignal);
    this.signalAll('SIGKILL');
    await Promise.all([...this.children].map(child => child.exited));
    process.off('exit', this.endOnExit);
  }

  private addEndpoint(
    command: 'engine' | 'service',
    options: MemberOptions,
  ): Promise<Member> {
    const flags = options.flags ?? [];
    const args = [command, '--name', options.name, ...flags];
    const child = this.spawn(options.name, STAND_IN, args);
    return this.join(options, 'endpoint', child);
  }

  private async join(
    options: MemberOptions,
    kind: core.Instance['kind'],
    child: processes.Child,
  ): Promise<Member> {
    const {name, labels = {}, isListed = true} = options;
    const fields = await child.listening();
    const instance: core.Instance = {
      name,
      kind,
      address: ADDRESS,
      port: readPort(fields, kind === 'router' ? 'entry_port' : 'port'),
      peer_port: readPort(fields, 'peer_port'),
      admin_port: readPort(fields, 'admin_port'),
      region: options.region ?? 'default',
      failure_domain: options.failureDomain ?? 'default',
      labels,
      state: 'live',
    };
    const member = {name, process: child, instance};
    this.members.set(name, member);
    if (isListed) await this.list(name);
    return member;
  }

  private routerFlags(options: MemberOptions): string[] {
    const {peerToken, adminToken, logLevel} = this.options;
    const flags = {
      '--name': options.name,
      '--host': ADDRESS,
      '--entry-port': '0',
      '--peer-port': '0',
      '--admin-port': '0',
      '--region': options.region ?? 'default',
      '--failure-domain': options.failureDomain ?? 'default',
      '--platform-url': this.platformUrl,
      '--peer-token': peerToken,
      '--admin-token': adminToken,
      '--log-level': logLevel,
    };
    return Object.entries(flags).flat();
  }

  private endpointUrl(name: string): string {
    const {address, port} = this.member(name).instance;
    return `http://${address}:${port}`;
  }

  private spawn(
    name: string,
    program: string,
    args: readonly string[],
  ): processes.Child {
    const child = new processes.Child(name, program, args);
    this.children.add(child);
    void child.exited.then(() => this.children.delete(child));
    return child;
  }

  private signalAll(signal: NodeJS.Signals): void {
    for (const child of this.children) child.signal(signal);
  }
}
