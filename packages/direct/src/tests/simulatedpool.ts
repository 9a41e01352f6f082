/**
 * Test support: a pool of endpoints with slots, a queue and a time of work, and
 * routers that dispatch to them in virtual time, without a network.
 */
import * as stream from 'node:stream';
import * as core from '@oleanderrock/core';
import * as decide from '@oleanderrock/decide';
import * as direct from '../index.js';
import * as quietCaller from './quietcaller.js';
import * as virtualClock from './virtualclock.js';

/** Name of the pool. */
export const POOL = 'pool';

/** An endpoint of the model. */
export class SimulatedEndpoint {
  readonly record: direct.Endpoint;
  /** Multiple of the time of work. */
  slowness = 1;
  isRefusing = false;
  runCount = 0;
  /** Ids of the requests that it ran, in order. */
  readonly ranIds: string[] = [];
  refusalCount = 0;
  private running = 0;
  private readonly queue: Array<() => void> = [];

  constructor(
    private readonly clock: virtualClock.VirtualClock,
    id: string,
    private readonly slots: number,
    private readonly maxQueued: number,
    softwareVersion = 'v1',
  ) {
    const fields = {pool: POOL, address: '10.0.0.1', port: 1, zone: 'z'};
    const state = {bornMs: 1, isDraining: false, softwareVersion};
    this.record = {...fields, ...state, id};
  }

  /** Number of requests that run now. */
  get busySlots(): number {
    return this.running;
  }

  /** Runs a request; false if there is no room. */
  async run(
    {id, workMs}: {readonly id: string; readonly workMs: number},
    signal: AbortSignal,
  ): Promise<boolean> {
    const isFull = this.running >= this.slots;
    const isRefused =
      this.isRefusing || (isFull && this.queue.length >= this.maxQueued);
    if (isRefused) {
      this.refusalCount += 1;
      await this.clock.sleep(1);
      return false;
    }
    if (isFull) await new Promise<void>(resolve => this.queue.push(resolve));
    else this.running += 1;
    this.runCount += 1;
    this.ranIds.push(id);
    await this.clock.sleep(workMs * this.slowness, signal);
    const next = this.queue.shift();
    if (next) next();
    else this.running -= 1;
    return true;
  }
}

/** The decisions of a router, today's or those under test. */
export interface Decisions {
  readonly room: decide.EndpointRoom;
  readonly waitPolicy: decide.WaitPolicy;
  readonly returnTimes: decide.ReturnTimes;
  readonly secondSends: decide.SecondSends;
  readonly maxWaiting: number;
}

/** Decisions by which no request waits and none is sent a second time. */
export function baselineDecisions(): Decisions {
  return {
    room: new decide.UnknownEndpointRoom(),
    waitPolicy: new decide.NoWaitPolicy(),
    returnTimes: new decide.FixedReturnTimes(),
    secondSends: new decide.NoSecondSends(),
    maxWaiting: 0,
  };
}

/** The decisions that routers take. */
export function wiredDecisions(random: core.Random): Decisions {
  return {
    room: new decide.BackedOffRoom(),
    waitPolicy: new decide.TimelyWaitPolicy(),
    returnTimes: new decide.SpreadReturnTimes(random),
    secondSends: new decide.UnusualTimeSecondSends(),
    maxWaiting: 128,
  };
}

/** Registers the decisions under load, and the waiting room. */
export function registerDecisions(
  kernel: core.Kernel,
  each: Decisions,
): direct.PoolWaitingRoom {
  kernel.register(direct.ENDPOINT_ROOM, each.room);
  kernel.register(direct.WAIT_POLICY, each.waitPolicy);
  kernel.register(direct.RETURN_TIMES, each.returnTimes);
  kernel.register(direct.SECOND_SENDS, each.secondSends);
  const {maxWaiting: maxRequests} = each;
  const room = new direct.PoolWaitingRoom(kernel, {
    createList: <T extends decide.WaitingRequest>() =>
      new decide.FairWaitingList<T>({maxRequests, maxBytes: 1e7}),
    createRate: () => new decide.DecayingRoomRate(),
  });
  kernel.register(direct.WAITING_ROOM, room);
  return room;
}

/** A request of the model. */
export interface SimulatedRequest {
  readonly id: string;
  readonly customer: string;
  readonly priority: number;
  readonly repeat: 'idempotent' | 'once';
  readonly workMs: number;
  readonly goalMs: number;
  readonly timeoutMs: number;
}

/** A protocol whose heads are empty. */
const PROTOCOL = new Proxy({} as direct.WireProtocol, {
  get: () => () => ({}),
});

/** A router with its dispatcher. */
export class SimulatedRouter {
  readonly kernel = new core.Kernel();
  readonly waitingRoom: direct.PoolWaitingRoom;
  private readonly dispatcher: direct.EndpointDispatcher;

  constructor(
    private readonly clock: virtualClock.VirtualClock,
    endpoints: readonly SimulatedEndpoint[],
    routerDecisions: Decisions,
    private readonly random: core.Random,
  ) {
    const {kernel} = this;
    kernel.register(core.CLOCK, clock);
    kernel.register(core.LOGGER, new core.SilentLogger());
    const metrics = new core.ProcessMetrics({withRuntime: false});
    kernel.register(core.METRICS, metrics);
    kernel.register(
      direct.RETRY_BUDGET,
      new decide.SlidingPoolRetryBudget({
        ratio: 0.2,
        slack: 20,
        windowMs: 10_000,
      }),
    );
    kernel.register(direct.ENDPOINT_HEALTH, new decide.NaiveHealth());
    kernel.register(
      direct.EVACUATED_ZONES,
      new direct.LoggedEvacuatedZones(kernel, new decide.NewestEvacuations()),
    );
    kernel.register(
      direct.ENDPOINT_NOTICES,
      new decide.RecentEndpointNotices(),
    );
    const registry = new direct.InMemoryEndpointRegistry(kernel);
    kernel.register(direct.ENDPOINT_REGISTRY, registry);
    endpoints.forEach(({record}, offset) =>
      registry.applyFeedRecord({key: record.id, offset, value: record}, 0),
    );
    kernel.register(
      direct.CRASH_TRACKER,
      new decide.EvidenceCrashTracker({self: 'r', isProber: () => true}),
    );
    const self = {name: 'r', address: '10.0.0.2', zone: 'z'};
    kernel.register(
      direct.MEMBERSHIP,
      new decide.PingMembership({self, firstEpoch: 1, hash: core.hash32}),
    );
    kernel.register(
      direct.FLEET_REGISTRY,
      new direct.InMemoryFleetRegistry(kernel, self),
    );
    kernel.register(direct.WIRE_PROTOCOL, PROTOCOL);
    this.waitingRoom = registerDecisions(kernel, routerDecisions);
    void this.waitingRoom.start();
    kernel.register(direct.ENDPOINT_SELECTOR, {
      select: (...args) => Promise.resolve(this.select(...args)),
    });
    kernel.register(direct.ATTEMPT_SENDER, {
      send: options => this.send(endpoints, options),
    });
    this.dispatcher = new direct.EndpointDispatcher(kernel);
  }

  /** Serves a request whose caller leaves after a time, if one is given. */
  serve(
    request: SimulatedRequest,
    leavesAfterMs?: number,
  ): Promise<direct.RequestOutcome> {
    const caller = new AbortController();
    if (leavesAfterMs !== undefined) {
      this.clock.schedule(leavesAfterMs, () => caller.abort());
    }
    const arrivedMs = this.clock.nowMs();
    const {repeat, goalMs, timeoutMs, customer, priority} = request;
    const routed = {
      head: {requestId: request.id, sharedPrefixTokens: 0},
      pool: POOL,
      customer,
      priority,
      route: {name: 'route', repeat, maxRuns: 2, goalMs, isResumable: false},
      body: Buffer.alloc(100),
      arrivedMs,
      deadlineMs: arrivedMs + timeoutMs,
      crashKeys: [],
      workMs: request.workMs,
    } as unknown as direct.RoutedRequest;
    const response = new quietCaller.QuietCallerResponse(caller.signal);
    return this.dispatcher.serve(routed, response);
  }

  /** A random endpoint that has room as far as the router knows. */
  private select(
    request: direct.RoutedRequest,
    {triedIds, version}: direct.SelectionScope,
  ): direct.Selection {
    const endpoints = direct.endpointNotices
      .willingEndpoints(this.kernel, request.pool, version)
      .filter(({id}) => !triedIds.has(id));
    const endpoint = endpoints[this.random.nextInt(endpoints.length)];
    if (!endpoint) return {type: 'none'};
    const candidate = {id: endpoint.id, zone: endpoint.zone, inFlight: 0};
    const placement = {endpoint: candidate, reason: 'least' as const};
    return {
      type: 'selected',
      choice: {endpoint, placement, holdsPrefix: false},
    };
  }

  private async send(
    endpoints: readonly SimulatedEndpoint[],
    {request, endpoint, callerGone}: direct.AttemptOptions,
  ): Promise<direct.AttemptResult> {
    const target = endpoints.find(({record}) => record.id === endpoint.id)!;
    const {workMs} = request as unknown as SimulatedRequest;
    const work = {id: request.head.requestId, workMs};
    const hasRun = await target.run(work, callerGone);
    if (callerGone.aborted) return {type: 'caller_gone'};
    if (!hasRun) {
      const fields = {status: 503, isFull: true, earlierRequests: 0};
      return {type: 'not_run', ...fields};
    }
    const response = Object.assign(stream.Readable.from([Buffer.from('ok')]), {
      headers: {'content-length': '2'},
      complete: true,
    });
    return {
      type: 'response',
      response: {
        response,
        status: 200,
        recordActivity: () => undefined,
        recordBegun: () => undefined,
        release: () => undefined,
        abortCause: () => undefined,
      } as unknown as direct.EndpointResponse,
    };
  }
}
