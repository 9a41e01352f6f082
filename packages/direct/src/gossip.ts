/**
 * Exchanges digests between routers. One task sends them in rounds: in a small
 * fleet to all routers, in a large one to a random router, which replies. Urgent
 * news is sent at once, in a large fleet to a few routers that pass it on.
 */
import * as core from '@oleanderrock/core';
import * as decide from '@oleanderrock/decide';
import * as activeTables from './activetables.js';
import * as catchUp from './catchup.js';
import * as datagrams from './datagrams.js';
import * as decisions from './decisions.js';
import * as digestCodec from './digest.js';
import * as endpointRegistry from './endpointregistry.js';
import * as evacuatedZones from './evacuatedzones.js';
import * as feedFollowers from './feedfollowers.js';
import * as fleetRegistry from './fleetregistry.js';
import * as gossipNews from './gossipnews.js';
import * as runState from './runstate.js';
import type * as settings from './settings.js';

/**
 * Number of digests in which urgent news is sent to all routers of a small
 * fleet, since a datagram may be lost.
 */
const URGENT_DIGEST_COUNT = 2;

/**
 * Shortest interval between urgent digests, in ms; further news within it is
 * sent together.
 */
const URGENT_INTERVAL_MS = 20;
const SAMPLED_URGENT_INTERVAL_MS = 60;

/** Shortest interval between two rounds that are not urgent, in ms. */
const MIN_ROUND_INTERVAL_MS = 250;

/**
 * Limit on the bytes of urgent digests in a large fleet; what exceeds it is
 * told in the next rounds.
 */
const URGENT_BUDGET: decide.ByteBudgetOptions = {
  bytesPerSecond: 4_000,
  burstBytes: 16_000,
};

/** Maximum number of reports of endpoints in one digest. */
const MAX_REPORTS = 40;

/**
 * Probability that a round also pings a router that is down, so that the two
 * sides of a healed partition find each other.
 */
const DOWN_PING_PROBABILITY = 0.15;

/** Interval between checks of whether this router has become ready, in ms. */
const READY_CHECK_INTERVAL_MS = 50;

const NO_NEWS: digestCodec.DigestNews = {
  endpointChanges: [],
  crashes: [],
  proofs: [],
  placements: [],
  failures: [],
  limits: [],
  cold: [],
  members: [],
};

/** Sends digests of this router's state. */
export interface Gossip {
  /** Sends digests with the latest changes soon, outside of the rounds. */
  sendSoon(): void;
}

/** The contract under which the gossip is registered. */
export const GOSSIP = core.contract<Gossip>('gossip', ['sendSoon']);

/** Sends and receives digests as datagrams. */
export class DigestGossip implements Gossip, core.Lifecycle {
  private readonly tasks: core.TaskGroup;
  private readonly news: gossipNews.GossipNews;
  private readonly urgentBudget = new decide.ByteBudget(URGENT_BUDGET);
  private wakeController = new AbortController();
  private urgentRoundsLeft = 0;
  /** Whether the last round went to all routers. */
  private isComplete = true;

  constructor(
    private readonly kernel: core.Kernel,
    private readonly routerSettings: settings.Settings,
  ) {
    this.tasks = new core.TaskGroup(kernel.find(core.LOGGER));
    this.news = new gossipNews.GossipNews(kernel);
  }

  start(): Promise<void> {
    this.kernel
      .find(datagrams.DATAGRAMS)
      .onReceive('digest', (bytes, address) => this.receive(bytes, address));
    this.kernel
      .find(activeTables.ACTIVE_TABLES)
      .onChange(() => this.sendSoon());
    this.kernel
      .find(endpointRegistry.ENDPOINT_REGISTRY)
      .onChange(() => this.sendSoon());
    const clock = this.kernel.find(core.CLOCK);
    this.tasks.supervise('gossip', clock, signal => this.run(signal));
    return Promise.resolve();
  }

  async stop(): Promise<void> {
    this.sendUrgent();
    await this.tasks.stop();
  }

  sendSoon(): void {
    this.urgentRoundsLeft = this.isComplete ? URGENT_DIGEST_COUNT : 1;
    this.wakeController.abort();
  }

  private async run(signal: AbortSignal): Promise<void> {
    const clock = this.kernel.find(core.CLOCK);
    signal.addEventListener('abort', () => this.wakeController.abort());
    let nextRoundMs = clock.nowMs();
    while (!signal.aborted) {
      if (this.urgentRoundsLeft > 0) {
        this.urgentRoundsLeft -= 1;
        this.sendUrgent();
        await clock.sleep(
          this.isComplete ? URGENT_INTERVAL_MS : SAMPLED_URGENT_INTERVAL_MS,
          signal,
        );
        continue;
      }
      if (clock.nowMs() >= nextRoundMs) {
        const intervalMs = this.sendRound();
        nextRoundMs =
          clock.nowMs() + Math.max(MIN_ROUND_INTERVAL_MS, intervalMs);
      }
      this.updateSelf();
      await this.pause(nextRoundMs - clock.nowMs());
    }
  }

  private async pause(maxDelayMs: number): Promise<void> {
    if (this.urgentRoundsLeft > 0) return;
    const isStarting = this.membership.self().phase === 'starting';
    const delayMs = isStarting
      ? Math.min(maxDelayMs, READY_CHECK_INTERVAL_MS)
      : maxDelayMs;
    this.wakeController = new AbortController();
    await this.kernel
      .find(core.CLOCK)
      .sleep(delayMs, this.wakeController.signal);
  }

  /** Sends one round; returns the time until the next one, in ms. */
  private sendRound(): number {
    const nowMs = this.nowMs();
    this.repeatPings(nowMs);
    const peers = this.fleet.digestPeers();
    const round = this.kernel
      .find(decisions.DIGEST_ROUNDS)
      .nextRound(peers, this.routerSettings.digestMs);
    this.isComplete = round.isComplete;
    if (peers.length === 0) {
      this.pingSeeds(nowMs);
      return round.intervalMs;
    }
    const news = this.news.collect(this.isComplete, nowMs);
    const pinged = this.choosePinged(round);
    const others = round.names.filter(name => name !== pinged);
    if (others.length > 0) this.send(this.encode(news), others);
    if (pinged !== undefined) this.ping([pinged], news, nowMs);
    this.pingDownRouter(nowMs);
    if (!this.isComplete) this.pingSuspect(nowMs);
    return round.intervalMs;
  }

  private choosePinged({names, isComplete}: decide.DigestRound) {
    const index = isComplete ? this.random.nextInt(names.length) : 0;
    return names[index];
  }

  /** Tells a few routers, or all of a small fleet, the latest news. */
  private sendUrgent(): void {
    this.updateSelf();
    const names = this.kernel
      .find(decisions.DIGEST_ROUNDS)
      .urgentReceivers(this.fleet.digestPeers());
    if (names.length === 0) return;
    const nowMs = this.nowMs();
    this.news.gather(this.isComplete, nowMs);
    // News that is collected counts as sent.
    if (!this.isComplete && !this.urgentBudget.hasAvailable(nowMs)) return;
    const news = this.news.collect(this.isComplete, nowMs, true);
    const bytes = this.encode(news);
    if (!this.isComplete) {
      this.urgentBudget.spend(bytes.length * names.length, nowMs);
    }
    this.send(bytes, names);
  }

  /**
   * Sends pings again that were not replied to, and tells others of routers
   * that are down.
   */
  private repeatPings(nowMs: number): void {
    const {overdue, down} = this.membership.checkPings(nowMs);
    if (overdue.length > 0) this.ping(overdue, this.newsForOne(nowMs), nowMs);
    for (const note of down) {
      this.kernel.find(core.LOGGER).info('router', {
        router: note.router.name,
        is: note.phase,
        reason: 'no reply to pings',
      });
      this.news.addMember(note, this.isComplete);
    }
    if (down.length > 0) this.sendSoon();
  }

  private pingDownRouter(nowMs: number): void {
    if (this.random.nextFloat() >= DOWN_PING_PROBABILITY) return;
    const down = this.membership.down(nowMs);
    const note = down[this.random.nextInt(Math.max(1, down.length))];
    if (!note) return;
    const bytes = this.encode(this.newsForOne(nowMs), true);
    this.sendToAddresses(bytes, [note.router.address]);
  }

  private pingSuspect(nowMs: number): void {
    const suspects = this.membership.suspects(nowMs);
    const name = suspects[this.random.nextInt(Math.max(1, suspects.length))];
    if (name !== undefined) this.ping([name], this.newsForOne(nowMs), nowMs);
  }

  private pingSeeds(nowMs: number): void {
    const downAddresses = this.membership
      .down(nowMs)
      .map(({router}) => router.address);
    const addresses = new Set([
      ...this.routerSettings.seedAddresses,
      ...downAddresses,
    ]);
    const bytes = this.encode(this.newsForOne(nowMs), true);
    this.sendToAddresses(bytes, [...addresses]);
  }

  private ping(
    names: readonly string[],
    news: digestCodec.DigestNews,
    nowMs: number,
  ): void {
    for (const name of names) this.membership.recordPing(name, nowMs);
    this.send(this.encode(news, true), names);
  }

  /**
   * The news in a digest to one router. In a small fleet there is none, since
   * each item is sent once, to all routers.
   */
  private newsForOne(nowMs: number): digestCodec.DigestNews {
    return this.isComplete ? NO_NEWS : this.news.collect(false, nowMs);
  }

  private send(bytes: Buffer, names: readonly string[]): void {
    const addresses = names.flatMap(
      name => this.membership.find(name)?.router.address ?? [],
    );
    this.sendToAddresses(bytes, addresses);
  }

  private sendToAddresses(bytes: Buffer, addresses: readonly string[]): void {
    const transport = this.kernel.find(datagrams.DATAGRAMS);
    for (const address of addresses) {
      if (address !== this.routerSettings.address) {
        transport.send('digest', bytes, address);
      }
    }
  }

  private updateSelf(): void {
    const phase = this.kernel.find(runState.RUN_STATE).phase();
    const isStoreLost = this.kernel
      .find(feedFollowers.FEED_FOLLOWERS)
      .isStoreLost();
    if (this.membership.updateSelf(phase, isStoreLost)) this.sendSoon();
  }

  private encode(news: digestCodec.DigestNews, wantsReply = false): Buffer {
    const nowMs = this.nowMs();
    const load = this.kernel.find(decisions.FLEET_LOAD);
    const health = this.kernel.find(decisions.ENDPOINT_HEALTH);
    const inFlight = load.localCounts();
    const workLeft = this.kernel.find(decisions.WORK_LEFT).localWork(nowMs);
    const digest: digestCodec.Digest = {
      sender: this.membership.self(),
      wantsReply,
      status: this.status(),
      ...(this.isComplete
        ? {load: {inFlight, outcomes: health.localCounts(nowMs), workLeft}}
        : {}),
      reports: this.isComplete ? [] : load.recentReports(MAX_REPORTS, nowMs),
      evacuations: this.evacuatedZones.digestRecords(),
      news,
    };
    return digestCodec.encode(digest, nowMs);
  }

  private status(): fleetRegistry.RouterStatus {
    return {
      version: this.kernel.find(activeTables.ACTIVE_TABLES).version(),
      endpointsFingerprint: this.kernel
        .find(endpointRegistry.ENDPOINT_REGISTRY)
        .fingerprint(),
      membersFingerprint: this.membership.fingerprint(),
      uptimeS: this.kernel.find(runState.RUN_STATE).uptimeS(),
    };
  }

  private receive(bytes: Buffer, senderAddress: string): void {
    const nowMs = this.nowMs();
    const endpoints = this.kernel.find(endpointRegistry.ENDPOINT_REGISTRY);
    const digest = digestCodec.decode(bytes, {
      senderAddress,
      findIdByHash: hash => endpoints.findIdByHash(hash),
      findEndpoint: id => endpoints.find(id),
      nowMs,
    });
    if (!digest) {
      this.kernel.find(core.LOGGER).warn('digest_unreadable', {
        bytes: bytes.length,
      });
      return;
    }
    const {sender, status, wantsReply, load, reports, news} = digest;
    const {evacuations} = digest;
    if (sender.router.name === this.membership.self().router.name) return;
    if (this.recordSender(sender, status, nowMs)) this.sendSoon();
    if (load) this.applyLoad(sender.router.name, load, nowMs);
    const fleetLoad = this.kernel.find(decisions.FLEET_LOAD);
    for (const report of reports) fleetLoad.applyReport(report, nowMs);
    const newEvacuations = evacuations.filter(record =>
      this.evacuatedZones.apply(record, 'router'),
    );
    const isUrgent = this.news.apply(news, !this.isComplete, nowMs);
    if (isUrgent || newEvacuations.length > 0) this.passOn();
    this.kernel.find(catchUp.CATCH_UP).onDigest(sender.router, status);
    this.reply(sender, wantsReply);
  }

  /** Returns whether the sender is new or has begun to leave. */
  private recordSender(
    sender: decide.MemberNote,
    status: fleetRegistry.RouterStatus,
    nowMs: number,
  ): boolean {
    const isKnown = this.membership.find(sender.router.name) !== undefined;
    const news = this.fleet.recordDigest(sender, status, nowMs);
    if (!news) return false;
    this.news.addMember(news, this.isComplete);
    return !isKnown || (news.phase === 'leaving' && !this.isComplete);
  }

  /** In a small fleet the origin of news tells it to all routers itself. */
  private passOn(): void {
    if (!this.isComplete) this.sendSoon();
  }

  private applyLoad(
    router: string,
    {inFlight, outcomes, workLeft}: digestCodec.DigestLoad,
    nowMs: number,
  ): void {
    this.kernel.find(decisions.WORK_LEFT).applyRemote(router, workLeft, nowMs);
    this.kernel.find(decisions.FLEET_LOAD).applyRemote(router, inFlight, nowMs);
    this.kernel
      .find(decisions.ENDPOINT_HEALTH)
      .applyRemote(router, outcomes, nowMs);
  }

  /** Replies to a ping, and to a router that does not know it counts as down. */
  private reply({router, epoch}: decide.MemberNote, wantsReply: boolean): void {
    const known = this.membership.find(router.name);
    const isOutdated = known?.phase === 'down' && known.epoch >= epoch;
    if (!wantsReply && !isOutdated) return;
    const news = this.newsForOne(this.nowMs());
    const members = isOutdated ? [...news.members, known] : news.members;
    this.sendToAddresses(this.encode({...news, members}), [router.address]);
  }

  private get evacuatedZones(): evacuatedZones.EvacuatedZones {
    return this.kernel.find(evacuatedZones.EVACUATED_ZONES);
  }

  private get fleet(): fleetRegistry.FleetRegistry {
    return this.kernel.find(fleetRegistry.FLEET_REGISTRY);
  }

  private get membership(): decide.FleetMembership {
    return this.kernel.find(decisions.MEMBERSHIP);
  }

  private get random(): core.Random {
    return this.kernel.find(core.RANDOM);
  }

  private nowMs(): number {
    return this.kernel.find(core.CLOCK).nowMs();
  }
}
