/**
 * At which version of their software streams began. What two versions write does
 * not fit together, so a stream that breaks off goes on at its own version only.
 *
 * A router remembers the streams that began here. While a pool has or had several
 * versions, it also tells the homes of each stream, so that callers can take it
 * up at any router after this one has ended. If nobody knows the stream, the
 * versions of the pool tell its version if there was one alone; a router that
 * may have missed a version asks the homes, which confirm that.
 */
import * as core from '@oleanderrock/core';
import type * as decide from '@oleanderrock/decide';
import * as prom from 'prom-client';
import * as activeTables from './activetables.js';
import * as datagrams from './datagrams.js';
import * as decisions from './decisions.js';
import * as feedFollowers from './feedfollowers.js';
import * as model from './model.js';
import * as rendezvousHomes from './rendezvoushomes.js';
import type * as routedRequest from './routedrequest.js';
import * as streamMessage from './streammessage.js';
import type * as wireProtocol from './wireprotocol.js';
import * as wakeablePause from './wakeablepause.js';

/** At which version a request may run. */
export type StreamStart =
  /** At any: it begins a stream, or is for no stream. */
  | {readonly type: 'new'}
  /** At the version at which its stream began, as `source` tells. */
  | {
      readonly type: 'known';
      readonly version: string;
      readonly source: StreamSource;
    }
  /** At none that is known. */
  | {readonly type: 'unknown'};

/**
 * What told the version: this router's memory, that of a home of the stream, or
 * that the pool had one version alone.
 */
export type StreamSource = 'memory' | 'home' | 'only_version';

/** Knows the versions of streams. */
export interface StreamVersions {
  /** Records that the first event of a response is about to be passed on. */
  recordBegun(
    request: routedRequest.RoutedRequest,
    endpoint: model.Endpoint,
  ): void;
  /** Tells the homes soon what they have to know now. */
  tellSoon(): void;
  /** Finds the version at which the request may run; never rejects. */
  findStart(request: routedRequest.RoutedRequest): Promise<StreamStart>;
}

/** The contract under which the versions of streams are registered. */
export const STREAM_VERSIONS = core.contract<StreamVersions>(
  'stream-versions',
  ['recordBegun', 'tellSoon', 'findStart'],
);

/** Homes of a stream; one is left if two failure domains are lost. */
const HOMES_PER_STREAM = 3;

/** Pause in which streams that begin are collected for one datagram, in ms. */
const TELL_INTERVAL_MS = 20;

/** Pause while there is nothing to tell, in ms. */
const IDLE_INTERVAL_MS = 60_000;

/**
 * How often homes are asked, since a datagram may be lost, and how long each
 * time, in ms; a small instance may be busy.
 */
const QUESTIONS = 2;
const REPLY_TIMEOUT_MS = 120;

/**
 * How long a stream can be taken up after its beginning, as a multiple of the
 * route's time-out: the first try of its caller, and two more. The margin is for
 * routers that hear late of a new version or of the end of an old one, in ms.
 */
const TRIES = 3;
const LIFETIME_MARGIN_MS = 5_000;

/** The same while the tables are not known, in ms. */
const DEFAULT_LIFETIME_MS = 60_000;

/** How long a stream of any route can be taken up, in ms. */
export function streamLifetimeMs(tables: model.Tables | undefined): number {
  if (!tables) return DEFAULT_LIFETIME_MS;
  const timeoutsMs = tables.routes
    .filter(({repeat}) => repeat === 'stream')
    .map(({timeoutMs}) => timeoutMs);
  return Math.max(0, ...timeoutsMs) * TRIES + LIFETIME_MARGIN_MS;
}

/** Whether the request continues a stream that its caller has the beginning of. */
export function isTakeUp({route, head}: routedRequest.RoutedRequest): boolean {
  // Callers may take up streams of routes on which routers may not.
  return route.repeat === 'stream' && head.lastEventId !== undefined;
}

/** Id of the caller's attempt that brought, or is to bring, the first event. */
export function streamIdOf({
  requestId,
  lastEventId,
  resumedRequestId,
}: wireProtocol.CallerRequestHead): string {
  if (lastEventId === undefined) return requestId;
  return resumedRequestId ?? requestId;
}

/** Answers of homes, and how many of them are still awaited. */
interface Question {
  awaitedCount: number;
  readonly replies: streamMessage.StreamReply[];
  readonly done: AbortController;
}

/** Tells and asks the homes of streams by datagrams. */
export class HomedStreamVersions
  extends core.TaskService
  implements StreamVersions
{
  private readonly homes: rendezvousHomes.RendezvousHomes;
  private readonly pause: wakeablePause.WakeablePause;
  private readonly questions = new Map<number, Question>();
  private readonly takeUps: prom.Counter<'known_by'>;
  private lastQuestionId = 0;

  constructor(kernel: core.Kernel) {
    super(kernel, 'stream_versions');
    this.takeUps = new prom.Counter({
      name: 'oleander_stream_takeups_total',
      help: 'Streams that callers took up, by what told the version of each.',
      labelNames: ['known_by'],
      registers: [kernel.find(core.METRICS).registry()],
    });
    this.pause = new wakeablePause.WakeablePause(kernel.find(core.CLOCK));
    this.homes = new rendezvousHomes.RendezvousHomes(
      kernel,
      'streams',
      HOMES_PER_STREAM,
    );
  }

  override start(): Promise<void> {
    this.kernel
      .find(datagrams.DATAGRAMS)
      .onReceive('stream', (bytes, address) => this.receive(bytes, address));
    return super.start();
  }

  recordBegun(
    {head, pool}: routedRequest.RoutedRequest,
    endpoint: model.Endpoint,
  ): void {
    const name = streamIdOf(head);
    // Streams without a name would be taken for one.
    if (name === '') return;
    const id = core.hash64(name);
    const version = model.versionOf(endpoint);
    const nowMs = this.nowMs();
    this.origins.record({id, pool, version}, this.untilMs(nowMs), nowMs);
    if (this.isTold(pool)) this.tellSoon();
  }

  tellSoon(): void {
    this.pause.wake();
  }

  async findStart(request: routedRequest.RoutedRequest): Promise<StreamStart> {
    if (!isTakeUp(request)) return {type: 'new'};
    const start = await this.findTakenUp(request);
    const knownBy = start.type === 'known' ? start.source : 'nobody';
    this.takeUps.inc({known_by: knownBy});
    return start;
  }

  protected async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.pause.wait(IDLE_INTERVAL_MS, signal);
      await this.kernel.find(core.CLOCK).sleep(TELL_INTERVAL_MS, signal);
      this.tell();
    }
  }

  private async findTakenUp({
    head,
    pool,
  }: routedRequest.RoutedRequest): Promise<StreamStart> {
    const id = core.hash64(head.resumedRequestId ?? '');
    const version = this.origins.versionOf(id, this.nowMs());
    if (version !== undefined) {
      return {type: 'known', version, source: 'memory'};
    }
    return this.askHomes(pool, id);
  }

  /** Whether streams of the pool have to be told, since they can be of several. */
  private isTold(pool: string): boolean {
    return this.history.onlyVersion(pool, this.nowMs()) === undefined;
  }

  private tell(): void {
    const streams = this.origins.takeUntold(pool => this.isTold(pool));
    const idsByVersionByAddress = new Map<string, Map<string, string[]>>();
    for (const {id, version} of streams) {
      for (const address of this.homeAddresses(id)) {
        const idsByVersion =
          idsByVersionByAddress.get(address) ?? new Map<string, string[]>();
        idsByVersionByAddress.set(address, idsByVersion);
        const ids = idsByVersion.get(version) ?? [];
        ids.push(id);
        idsByVersion.set(version, ids);
      }
    }
    for (const [address, idsByVersion] of idsByVersionByAddress) {
      for (const [version, ids] of idsByVersion) {
        this.sendNotes(version, ids, address);
      }
    }
  }

  private sendNotes(
    version: string,
    ids: readonly string[],
    address: string,
  ): void {
    const size = streamMessage.MAX_NOTED_STREAMS;
    for (let start = 0; start < ids.length; start += size) {
      const streams = ids.slice(start, start + size);
      this.send({type: 'note', version, streams}, address);
    }
  }

  /** Addresses of the homes of a stream without this router's own. */
  private homeAddresses(id: string): readonly string[] {
    const {address: ownAddress} = this.membership.self().router;
    return this.homes
      .homesOf(id)
      .map(({address}) => address)
      .filter(address => address !== ownAddress);
  }

  private async askHomes(pool: string, stream: string): Promise<StreamStart> {
    const addresses = this.homeAddresses(stream);
    const replies: streamMessage.StreamReply[] = [];
    let repliedCount = 0;
    // A home that has not replied may be the one that knows the stream.
    for (let asked = 0; asked < QUESTIONS; asked++) {
      if (repliedCount === addresses.length) break;
      if (replies.some(({tells}) => tells === 'stream')) break;
      // What only the first answers told holds as well.
      const added = await this.askOnce({pool, stream}, addresses);
      replies.push(...added);
      repliedCount = added.length;
    }
    const known = replies.find(({tells}) => tells === 'stream');
    const version = known?.versions[0];
    if (version !== undefined) return {type: 'known', version, source: 'home'};
    return this.fromHistories(pool, replies);
  }

  /**
   * The version that the pool had alone, as far as this router and the homes
   * know: one of them must know all versions, and none a second one. A router
   * that hears of no home knows only what it reads from the store itself.
   */
  private fromHistories(
    pool: string,
    replies: readonly streamMessage.StreamReply[],
  ): StreamStart {
    const nowMs = this.nowMs();
    const own = this.history.onlyVersion(pool, nowMs);
    const isOwnCurrent = replies.length > 0 || this.isCurrent();
    const isComplete =
      (own !== undefined && isOwnCurrent) ||
      replies.some(({tells}) => tells === 'all_versions');
    const [version, ...others] = new Set([
      ...this.versionsOf(pool, nowMs),
      ...replies.flatMap(({versions}) => versions),
    ]);
    return isComplete && version !== undefined && others.length === 0
      ? {type: 'known', version, source: 'only_version'}
      : {type: 'unknown'};
  }

  /** Whether this router itself reads the list of endpoints. */
  private isCurrent(): boolean {
    return this.kernel.find(feedFollowers.FEED_FOLLOWERS).isReadingEndpoints();
  }

  /** Asks all homes; resolves when one knows the stream, or all have replied. */
  private async askOnce(
    asked: {readonly pool: string; readonly stream: string},
    addresses: readonly string[],
  ): Promise<readonly streamMessage.StreamReply[]> {
    this.lastQuestionId += 1;
    const id = this.lastQuestionId;
    const done = new AbortController();
    const question: Question = {
      awaitedCount: addresses.length,
      replies: [],
      done,
    };
    this.questions.set(id, question);
    for (const address of addresses) {
      this.send({type: 'question', id, ...asked}, address);
    }
    await this.kernel.find(core.CLOCK).sleep(REPLY_TIMEOUT_MS, done.signal);
    this.questions.delete(id);
    return question.replies;
  }

  private receive(bytes: Buffer, senderAddress: string): void {
    const message = streamMessage.decode(bytes);
    if (!message) {
      const {length} = bytes;
      this.kernel.find(core.LOGGER).warn('stream_unreadable', {bytes: length});
    } else if (message.type === 'note') {
      this.recordNote(message);
    } else if (message.type === 'question') {
      this.reply(message, senderAddress);
    } else {
      this.recordReply(message);
    }
  }

  private recordNote({version, streams}: streamMessage.StreamNote): void {
    const nowMs = this.nowMs();
    const untilMs = this.untilMs(nowMs);
    for (const id of streams) {
      this.origins.recordTold({id, pool: '', version}, untilMs, nowMs);
    }
  }

  private reply(
    {id, pool, stream}: streamMessage.StreamQuestion,
    address: string,
  ): void {
    const nowMs = this.nowMs();
    const known = this.origins.versionOf(stream, nowMs);
    if (known !== undefined) {
      const reply = {id, tells: 'stream', versions: [known]} as const;
      this.send({type: 'reply', ...reply}, address);
      return;
    }
    const isOnly = this.history.onlyVersion(pool, nowMs) !== undefined;
    const tells = isOnly ? 'all_versions' : 'some_versions';
    const versions = this.versionsOf(pool, nowMs);
    this.send({type: 'reply', id, tells, versions}, address);
  }

  private recordReply(reply: streamMessage.StreamReply): void {
    const question = this.questions.get(reply.id);
    if (!question) return;
    question.replies.push(reply);
    question.awaitedCount -= 1;
    if (reply.tells === 'stream' || question.awaitedCount === 0) {
      question.done.abort();
    }
  }

  private send(message: streamMessage.StreamMessage, address: string): void {
    const bytes = streamMessage.encode(message);
    this.kernel.find(datagrams.DATAGRAMS).send('stream', bytes, address);
  }

  private versionsOf(pool: string, nowMs: number): readonly string[] {
    const {spans} = this.history.poolHistory(pool, nowMs);
    return spans.map(({version}) => version);
  }

  private untilMs(nowMs: number): number {
    const tables = this.kernel.find(activeTables.ACTIVE_TABLES).current();
    return nowMs + streamLifetimeMs(tables);
  }

  private get origins(): decide.StreamOrigins {
    return this.kernel.find(decisions.STREAM_ORIGINS);
  }

  private get history(): decide.VersionHistory {
    return this.kernel.find(decisions.VERSION_HISTORY);
  }

  private get membership(): decide.FleetMembership {
    return this.kernel.find(decisions.MEMBERSHIP);
  }

  private nowMs(): number {
    return this.kernel.find(core.CLOCK).nowMs();
  }
}
