/**
 * Permits to send to endpoints that name a limit for all routers together, or
 * are cold. The
 * home of such an endpoint, the same live router by all views of the fleet,
 * counts what all of them send. A router asks it before each send, and sends
 * nothing if there is no reply: a permit is one of the whole limit, so a home
 * that is cut off or replaced cannot make the sum too high.
 */
import * as core from '@oleanderrock/core';
import type * as decide from '@oleanderrock/decide';
import * as coldStarts from './coldstarts.js';
import * as datagrams from './datagrams.js';
import * as decisions from './decisions.js';
import type * as model from './model.js';
import * as permitMessage from './permitmessage.js';

/** Whether a request may be sent to an endpoint. */
export type SendPermit =
  /** The endpoint names no limit. */
  | {readonly type: 'unlimited'}
  /** It may be sent from the one time to the other, both monotonic, in ms. */
  | {
      readonly type: 'granted';
      readonly fromMs: number;
      readonly untilMs: number;
    }
  | {readonly type: 'denied'; readonly retryInMs: number};

/** Obtains permits. */
export interface SendPermits {
  /** Whether the endpoint names a limit. */
  isLimited(endpoint: model.Endpoint): boolean;
  /** Whether any endpoint may have to be left for a time. */
  mayHoldBack(): boolean;
  /** Time until a permit may be granted, in ms; 0 if it may be now. */
  heldBackMs(endpoint: model.Endpoint): number;
  /**
   * Obtains a permit for one request that can wait so long; never rejects.
   */
  acquire(endpoint: model.Endpoint, maxWaitMs: number): Promise<SendPermit>;
}

/** The contract under which the permits are registered. */
export const SEND_PERMITS = core.contract<SendPermits>('send-permits', [
  'isLimited',
  'mayHoldBack',
  'heldBackMs',
  'acquire',
]);

/** How long the home has to reply, in ms; a small instance may be busy. */
const REPLY_TIMEOUT_MS = 100;

/**
 * How long a router is not asked for an endpoint again if it does not reply, or
 * is not the home by its own view of the fleet, in ms.
 */
const SILENCE_HOLD_MS = 500;
const NOT_HOME_HOLD_MS = 250;

/**
 * How long a permit holds, in ms: enough for a new connection. A router that was
 * paused must not send with a permit of before.
 */
const PERMIT_VALID_MS = 400;

/** Questions that the fleet asks for each permit of a cold endpoint. */
const QUESTIONS_PER_PERMIT = 3;

/** How long a router that hears of no other leaves a cold endpoint, in ms. */
const ISOLATED_HOLD_MS = 500;

/** Maximum number of denials that are remembered. */
const MAX_HELD_BACK = 4_096;

type Question = Omit<permitMessage.PermitQuestion, 'type' | 'id'>;

const UNLIMITED: SendPermit = {type: 'unlimited'};

/** Obtains permits from the home of each endpoint by datagrams. */
export class HomeSendPermits implements SendPermits, core.Lifecycle {
  private readonly pending = new Map<
    number,
    (reply: permitMessage.PermitReply) => void
  >();
  /** Time until which asking is of no use, by endpoint, in ms. */
  private readonly heldBackUntilMs = new Map<string, number>();
  /** The homes by lifetime, as chosen from the members of the key. */
  private readonly homes = new Map<number, string>();
  private homesFor: readonly decide.MemberNote[] | undefined;
  private homesForPhase: decide.MemberNote['phase'] | undefined;
  private lastId = 0;

  constructor(private readonly kernel: core.Kernel) {}

  start(): Promise<void> {
    this.kernel
      .find(datagrams.DATAGRAMS)
      .onReceive('permit', (bytes, address) => this.receive(bytes, address));
    return Promise.resolve();
  }

  stop(): Promise<void> {
    return Promise.resolve();
  }

  isLimited(endpoint: model.Endpoint): boolean {
    return this.limitOf(endpoint) !== undefined;
  }

  mayHoldBack(): boolean {
    return this.heldBackUntilMs.size > 0 || this.coldStarts.areAny();
  }

  heldBackMs(endpoint: model.Endpoint): number {
    const untilMs = this.heldBackUntilMs.get(endpoint.id);
    const coldPerSecond = this.coldStarts.limitOf(endpoint);
    if (coldPerSecond !== undefined) {
      return this.coldHeldBackMs(endpoint.id, coldPerSecond, untilMs);
    }
    if (untilMs === undefined) return 0;
    const heldBackMs = Math.max(0, untilMs - this.nowMs());
    if (heldBackMs > 0 && this.isLimited(endpoint)) return heldBackMs;
    this.heldBackUntilMs.delete(endpoint.id);
    return 0;
  }

  async acquire(
    endpoint: model.Endpoint,
    maxWaitMs: number,
  ): Promise<SendPermit> {
    const perSecond = this.limitOf(endpoint);
    if (perSecond === undefined) return UNLIMITED;
    const coldPerSecond = this.coldStarts.limitOf(endpoint);
    if (coldPerSecond !== undefined) this.takeTurn(endpoint.id, coldPerSecond);
    const lifetime = lifetimeHash(endpoint);
    const decision = await this.ask(endpoint, {
      lifetime,
      perSecond,
      maxWaitMs,
    });
    const nowMs = this.nowMs();
    if (decision.type === 'granted') {
      const fromMs = nowMs + decision.delayMs;
      return {type: 'granted', fromMs, untilMs: fromMs + PERMIT_VALID_MS};
    }
    const untilMs = Math.max(
      nowMs + decision.retryInMs,
      this.heldBackUntilMs.get(endpoint.id) ?? 0,
    );
    this.holdBack(endpoint.id, untilMs);
    return decision;
  }

  /** The lower one of the limits that the endpoint named and that of a cold one. */
  private limitOf(endpoint: model.Endpoint): number | undefined {
    const named = this.limits.limitOf(endpoint);
    const cold = this.coldStarts.limitOf(endpoint);
    if (named === undefined || cold === undefined) return named ?? cold;
    return Math.min(named, cold);
  }

  /**
   * All routers want to send to an endpoint that has nothing to do, and only few
   * may, so each asks in turns of its own. One that hears of no other router
   * would be its own home.
   */
  private coldHeldBackMs(
    id: string,
    perSecond: number,
    untilMs: number | undefined,
  ): number {
    const nowMs = this.nowMs();
    if (this.membership.isIsolated(nowMs)) return ISOLATED_HOLD_MS;
    if (untilMs !== undefined) return Math.max(0, untilMs - nowMs);
    const delayMs = this.turnIntervalMs(perSecond) * this.random.nextFloat();
    this.holdBack(id, nowMs + delayMs);
    return delayMs;
  }

  private takeTurn(id: string, perSecond: number): void {
    const factor = 0.5 + this.random.nextFloat();
    const delayMs = this.turnIntervalMs(perSecond) * factor;
    this.holdBack(id, this.nowMs() + delayMs);
  }

  private turnIntervalMs(perSecond: number): number {
    const routers = this.membership.live().length + 1;
    return (routers * 1_000) / (QUESTIONS_PER_PERMIT * perSecond);
  }

  private async ask(
    {id}: model.Endpoint,
    question: Question,
  ): Promise<decide.PermitDecision> {
    const home = this.homeOf(question.lifetime);
    const address = this.membership.find(home)?.router.address;
    if (this.isSelf(home) || address === undefined) {
      return this.decide(question);
    }
    const reply = await this.askRemote(address, question);
    if (!reply) {
      const log = this.kernel.find(core.LOGGER);
      log.info('permit_unanswered', {endpoint: id, home});
      return {type: 'denied', retryInMs: SILENCE_HOLD_MS};
    }
    const {isGranted, delayMs} = reply;
    return isGranted
      ? {type: 'granted', delayMs}
      : {type: 'denied', retryInMs: delayMs};
  }

  private async askRemote(
    address: string,
    question: Question,
  ): Promise<permitMessage.PermitReply | undefined> {
    this.lastId += 1;
    const id = this.lastId;
    const timeout = new AbortController();
    let reply: permitMessage.PermitReply | undefined;
    this.pending.set(id, received => {
      reply = received;
      timeout.abort();
    });
    this.send({type: 'question', id, ...question}, address);
    await this.kernel.find(core.CLOCK).sleep(REPLY_TIMEOUT_MS, timeout.signal);
    this.pending.delete(id);
    return reply;
  }

  private receive(bytes: Buffer, senderAddress: string): void {
    const message = permitMessage.decode(bytes);
    if (!message) {
      const {length} = bytes;
      this.kernel.find(core.LOGGER).warn('permit_unreadable', {bytes: length});
    } else if (message.type === 'reply') {
      this.pending.get(message.id)?.(message);
    } else {
      this.reply(message, senderAddress);
    }
  }

  private reply(
    question: permitMessage.PermitQuestion,
    senderAddress: string,
  ): void {
    const {id, lifetime} = question;
    // While views of the fleet differ, only one router by its own view grants.
    const decision: decide.PermitDecision = this.isSelf(this.homeOf(lifetime))
      ? this.decide(question)
      : {type: 'denied', retryInMs: NOT_HOME_HOLD_MS};
    const isGranted = decision.type === 'granted';
    const delayMs = isGranted ? decision.delayMs : decision.retryInMs;
    this.send({type: 'reply', id, isGranted, delayMs}, senderAddress);
  }

  private decide({
    lifetime,
    perSecond,
    maxWaitMs,
  }: Question): decide.PermitDecision {
    const request = {endpoint: String(lifetime), perSecond, maxWaitMs};
    return this.kernel
      .find(decisions.PERMIT_GRANTER)
      .decide(request, this.nowMs());
  }

  /** Name of the router that grants the permits for the lifetime. */
  private homeOf(lifetime: number): string {
    const live = this.membership.live();
    const self = this.membership.self();
    if (this.homesFor !== live || this.homesForPhase !== self.phase) {
      this.homesFor = live;
      this.homesForPhase = self.phase;
      this.homes.clear();
    }
    const known = this.homes.get(lifetime);
    if (known !== undefined) return known;
    const ready = [self, ...live].filter(({phase}) => phase === 'ready');
    const names = ready.map(({router}) => router.name);
    const home = core.topNode(String(lifetime), names) ?? self.router.name;
    this.homes.set(lifetime, home);
    return home;
  }

  private isSelf(name: string): boolean {
    return name === this.membership.self().router.name;
  }

  private holdBack(endpointId: string, untilMs: number): void {
    this.heldBackUntilMs.delete(endpointId);
    this.heldBackUntilMs.set(endpointId, untilMs);
    if (this.heldBackUntilMs.size <= MAX_HELD_BACK) return;
    const [oldest] = this.heldBackUntilMs.keys();
    this.heldBackUntilMs.delete(oldest!);
  }

  private send(message: permitMessage.PermitMessage, address: string): void {
    const bytes = permitMessage.encode(message);
    this.kernel.find(datagrams.DATAGRAMS).send('permit', bytes, address);
  }

  private get coldStarts(): coldStarts.ColdStarts {
    return this.kernel.find(coldStarts.COLD_STARTS);
  }

  private get random(): core.Random {
    return this.kernel.find(core.RANDOM);
  }

  private get limits(): decide.EndpointLimits {
    return this.kernel.find(decisions.ENDPOINT_LIMITS);
  }

  private get membership(): decide.FleetMembership {
    return this.kernel.find(decisions.MEMBERSHIP);
  }

  private nowMs(): number {
    return this.kernel.find(core.CLOCK).nowMs();
  }
}

function lifetimeHash({id, bornMs}: model.Endpoint): number {
  return core.hash32(`${id} ${bornMs ?? ''}`);
}
