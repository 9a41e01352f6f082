/**
 * The homes of streams: a few routers in different failure domains that know at
 * which version each stream began, so that callers can take it up after its router
 * has ended. Routers tell them of the streams that begin, and ask them for one that
 * they don't know. A home that doesn't know it either tells the versions of its pool.
 */
import * as core from '@oleanderrock/core';
import type * as decide from '@oleanderrock/decide';
import * as datagrams from './datagrams.js';
import * as decisions from './decisions.js';
import * as rendezvousHomes from './rendezvoushomes.js';
import * as streamLifetime from './streamlifetime.js';
import * as streamMessage from './streammessage.js';
import * as wakeablePause from './wakeablepause.js';

/** Tells and asks the homes of streams. */
export interface StreamHomes {
  /**
   * Tells the homes soon of the streams that began here in pools that may have
   * had several versions; that of others, the pool tells.
   */
  tellSoon(): void;
  /**
   * Asks the homes of a stream of the pool, this router left out; never rejects.
   * Those that don't reply are missing.
   */
  ask(
    pool: string,
    stream: string,
  ): Promise<readonly streamMessage.StreamReply[]>;
}

/** The contract under which the homes of streams are registered. */
export const STREAM_HOMES = core.contract<StreamHomes>('stream-homes', [
  'tellSoon',
  'ask',
]);

/** Homes of a stream, in as many failure domains; fewer if there are fewer. */
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

/** Answers of homes, and how many of them are still awaited. */
interface Question {
  awaitedCount: number;
  readonly replies: streamMessage.StreamReply[];
  readonly done: AbortController;
}

/** Tells and asks by datagrams. */
export class DatagramStreamHomes
  extends core.TaskService
  implements StreamHomes
{
  private readonly homes: rendezvousHomes.RendezvousHomes;
  private readonly pause: wakeablePause.WakeablePause;
  private readonly questions = new Map<number, Question>();
  private lastQuestionId = 0;

  constructor(kernel: core.Kernel) {
    super(kernel, 'stream_homes');
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

  tellSoon(): void {
    this.pause.wake();
  }

  async ask(
    pool: string,
    stream: string,
  ): Promise<readonly streamMessage.StreamReply[]> {
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
    return replies;
  }

  protected async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.pause.wait(IDLE_INTERVAL_MS, signal);
      await this.kernel.find(core.CLOCK).sleep(TELL_INTERVAL_MS, signal);
      this.tell();
    }
  }

  /** Whether streams of the pool may be of several versions. */
  private mayVary(pool: string): boolean {
    return this.history.onlyVersion(pool, this.nowMs()) === undefined;
  }

  private tell(): void {
    const streams = this.origins.takeUntold(pool => this.mayVary(pool));
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
    const untilMs = nowMs + streamLifetime.currentStreamLifetimeMs(this.kernel);
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
    const {spans} = this.history.poolHistory(pool, nowMs);
    const versions = spans.map(({version}) => version);
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
