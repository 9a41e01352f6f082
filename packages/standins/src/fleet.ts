/**
 * Starts a fleet on this machine for tests and benchmarks: the stand-in
 * platform, endpoints and routers, each as a separate process. Endpoints and
 * routers are put on the platform's instance list. When this process exits, it
 * kills all of them.
 */
import * as core from '@oleanderrock/core';
import * as url from 'node:url';
import * as processes from './processes.js';

const ADDRESS = '127.0.0.1';
const INTERRUPTED_EXIT_STATUS = 130;
const STAND_IN_PROGRAM = url.fileURLToPath(
  new URL('./main.js', import.meta.url),
);

/** Options of a fleet. */
export interface FleetOptions {
  /** Path of the router's JavaScript program. */
  readonly routerProgram?: string;
  /** Token that routers authenticate to each other with. */
  readonly peerToken?: string;
  /** Token of the administration interface. */
  readonly adminToken?: string;
  readonly logLevel?: core.LogLevel;
}

/** Options of a router or endpoint of the fleet. */
export interface MemberOptions {
  readonly name: string;
  readonly region?: string;
  readonly failureDomain?: string;
  readonly labels?: Record<string, string>;
  /** Additional flags, such as `['--slots', '4']`. */
  readonly flags?: readonly string[];
  /** If false, the instance is not put on the platform's list. */
  readonly isListed?: boolean;
}

/** A router or endpoint of the fleet: its process and its instance. */
export interface Member {
  readonly name: string;
  readonly process: processes.ChildProcess;
  readonly instance: core.Instance;
}

const DEFAULT_OPTIONS = {
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
  const response = await fetch(address, {
    method,
    body: body && JSON.stringify(body),
    headers: {connection: 'close'},
  });
  if (!response.ok) throw new Error(`${method} ${address}: ${response.status}`);
  return response.json();
}

/** A platform, routers and endpoints that run as child processes. */
export class Fleet {
  readonly options: Required<FleetOptions>;
  private readonly children = new Set<processes.ChildProcess>();
  private readonly members = new Map<string, Member>();
  private platform: processes.ChildProcess | undefined;
  private platformPort = 0;
  private readonly stopOnSignal = () => {
    void this.stop().then(() => process.exit(INTERRUPTED_EXIT_STATUS));
  };
  private readonly killOnExit = () => this.signalAll('SIGKILL');

  constructor(options: FleetOptions = {}) {
    this.options = {...DEFAULT_OPTIONS, ...options};
  }

  /** Starts the platform, with additional flags. */
  async start(flags: readonly string[] = []): Promise<void> {
    process.once('SIGINT', this.stopOnSignal);
    process.once('SIGTERM', this.stopOnSignal);
    process.once('exit', this.killOnExit);
    this.platform = this.spawn('platform', STAND_IN_PROGRAM, [
      'platform',
      ...flags,
    ]);
    this.platformPort = readPort(await this.platform.untilListening(), 'port');
  }

  /** Base URL of the platform. */
  get platformUrl(): string {
    return `http://${ADDRESS}:${this.platformPort}`;
  }

  /** Starts a router and puts it on the instance list. */
  addRouter(options: MemberOptions): Promise<Member> {
    const args = [...this.routerFlags(options), ...(options.flags ?? [])];
    const child = this.spawn(options.name, this.options.routerProgram, args);
    return this.addMember(options, 'router', child);
  }

  /** Starts an engine and puts it on the instance list. */
  addEngine(options: MemberOptions): Promise<Member> {
    return this.addEndpoint('engine', options);
  }

  /** Starts a plain service and puts it on the instance list. */
  addService(options: MemberOptions): Promise<Member> {
    return this.addEndpoint('service', options);
  }

  /** Returns the member with the name. Throws if there is none. */
  member(name: string): Member {
    const member = this.members.get(name);
    if (!member) throw new Error(`the fleet has no member ${name}`);
    return member;
  }

  /** Instances of all members of a kind, including those that have exited. */
  instances(kind: core.Instance['kind']): core.Instance[] {
    const instances = [...this.members.values()].map(item => item.instance);
    return instances.filter(instance => instance.kind === kind);
  }

  /** Entry addresses of all routers, such as `127.0.0.1:8080`. */
  entryAddresses(): string[] {
    const routers = this.instances('router');
    return routers.map(router => `${router.address}:${router.port}`);
  }

  /** Puts a member's instance on the list, or replaces it, with changes. */
  async putOnInstanceList(
    name: string,
    change: Partial<core.Instance> = {},
  ): Promise<void> {
    const instance = {...this.member(name).instance, ...change};
    await request('PUT', `${this.platformUrl}/instances/${name}`, instance);
  }

  /** Removes a member from the platform's list; its process keeps running. */
  async removeFromInstanceList(name: string): Promise<void> {
    await request('DELETE', `${this.platformUrl}/instances/${name}`);
  }

  /** Kills a member with SIGKILL; it stays on the instance list. */
  kill(name: string): Promise<processes.ProcessExit> {
    const {process} = this.member(name);
    process.signal('SIGKILL');
    return process.exited;
  }

  /** Suspends the process of a member with SIGSTOP. */
  freeze(name: string): void {
    this.member(name).process.signal('SIGSTOP');
  }

  /** Resumes the process of a member with SIGCONT. */
  resume(name: string): void {
    this.member(name).process.signal('SIGCONT');
  }

  /** Sends SIGTERM to a member and waits until it exits. */
  terminate(name: string): Promise<processes.ProcessExit> {
    const {process} = this.member(name);
    process.signal('SIGTERM');
    return process.exited;
  }

  /** Kills a member and removes it from the instance list and the fleet. */
  async remove(name: string): Promise<void> {
    await this.kill(name);
    await this.removeFromInstanceList(name);
    this.members.delete(name);
  }

  /** Newest output lines of a member, the oldest first. */
  outputLines(name: string): readonly string[] {
    return this.member(name).process.outputLines;
  }

  /** Merges faults into those of a stand-in endpoint. */
  setFaults(name: string, patch: object): Promise<unknown> {
    return request('POST', `${this.endpointUrl(name)}/control`, patch);
  }

  /** Merges faults into those of the platform. */
  setPlatformFaults(patch: object): Promise<unknown> {
    return request('POST', `${this.platformUrl}/control`, patch);
  }

  /** Counters of a stand-in endpoint. */
  stats(name: string): Promise<unknown> {
    return request('GET', `${this.endpointUrl(name)}/stats`);
  }

  /** Counters of the platform. */
  platformStats(): Promise<unknown> {
    return request('GET', `${this.platformUrl}/stats`);
  }

  /** Kills all processes of the fleet with SIGKILL; routers do not drain. */
  async stop(): Promise<void> {
    process.off('SIGINT', this.stopOnSignal);
    process.off('SIGTERM', this.stopOnSignal);
    this.signalAll('SIGKILL');
    await Promise.all([...this.children].map(child => child.exited));
    process.off('exit', this.killOnExit);
  }

  private addEndpoint(
    command: 'engine' | 'service',
    options: MemberOptions,
  ): Promise<Member> {
    const flags = options.flags ?? [];
    const args = [command, '--name', options.name, ...flags];
    const child = this.spawn(options.name, STAND_IN_PROGRAM, args);
    return this.addMember(options, 'endpoint', child);
  }

  private async addMember(
    options: MemberOptions,
    kind: core.Instance['kind'],
    child: processes.ChildProcess,
  ): Promise<Member> {
    const {name, labels = {}, isListed = true} = options;
    const fields = await child.untilListening();
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
    if (isListed) await this.putOnInstanceList(name);
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
  ): processes.ChildProcess {
    const child = new processes.ChildProcess(name, program, args);
    this.children.add(child);
    void child.exited.then(() => this.children.delete(child));
    return child;
  }

  private signalAll(signal: NodeJS.Signals): void {
    for (const child of this.children) child.signal(signal);
  }
}
