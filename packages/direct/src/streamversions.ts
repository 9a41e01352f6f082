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
import * as decide from '@oleanderrock/decide';
import * as prom from 'prom-client';
import * as decisions from './decisions.js';
import * as feedFollowers from './feedfollowers.js';
import * as model from './model.js';
import type * as routedRequest from './routedrequest.js';
import * as streamHomes from './streamhomes.js';
import * as streamLifetime from './streamlifetime.js';
import type * as wireProtocol from './wireprotocol.js';

/** At which version a stream goes on that its caller takes up. */
export type StreamStart =
  /** At that at which it began, as `source` tells. */
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
  /** Finds where the stream began that a request takes up; never rejects. */
  findStart(request: routedRequest.RoutedRequest): Promise<StreamStart>;
}

/** The contract under which the versions of streams are registered. */
export const STREAM_VERSIONS = core.contract<StreamVersions>(
  'stream-versions',
  ['recordBegun', 'findStart'],
);

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

/** Knows them from this router's memory, the homes, and the pools' versions. */
export class SharedStreamVersions implements StreamVersions {
  private readonly takeUps: prom.Counter<'known_by'>;

  constructor(private readonly kernel: core.Kernel) {
    this.takeUps = new prom.Counter({
      name: 'oleander_stream_takeups_total',
      help: 'Streams that callers took up, by what told the version of each.',
      labelNames: ['known_by'],
      registers: [kernel.find(core.METRICS).registry()],
    });
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
    const untilMs = nowMs + streamLifetime.currentStreamLifetimeMs(this.kernel);
    this.origins.record({id, pool, version}, untilMs, nowMs);
    if (this.history.onlyVersion(pool, nowMs) !== undefined) return;
    this.kernel.find(streamHomes.STREAM_HOMES).tellSoon();
  }

  async findStart(request: routedRequest.RoutedRequest): Promise<StreamStart> {
    const start = await this.findTakenUp(request);
    const knownBy = start.type === 'known' ? start.source : 'nobody';
    this.takeUps.inc({known_by: knownBy});
    return start;
  }

  private async findTakenUp({
    head,
    pool,
  }: routedRequest.RoutedRequest): Promise<StreamStart> {
    const id = core.hash64(head.resumedRequestId ?? '');
    const remembered = this.origins.versionOf(id, this.nowMs());
    if (remembered !== undefined) {
      return {type: 'known', version: remembered, source: 'memory'};
    }
    const replies = await this.kernel
      .find(streamHomes.STREAM_HOMES)
      .ask(pool, id);
    const [told] =
      replies.find(({tells}) => tells === 'stream')?.versions ?? [];
    if (told !== undefined) {
      return {type: 'known', version: told, source: 'home'};
    }
    const version = decide.agreedVersion([
      this.ownView(pool, replies.length > 0),
      ...replies.map(({tells, versions}) => {
        return {versions, isComplete: tells === 'all_versions'};
      }),
    ]);
    return version === undefined
      ? {type: 'unknown'}
      : {type: 'known', version, source: 'only_version'};
  }

  /**
   * This router's view of a pool. One that hears of no home knows only what it
   * reads from the store itself.
   */
  private ownView(pool: string, hearsOfHomes: boolean): decide.VersionView {
    const nowMs = this.nowMs();
    const followers = this.kernel.find(feedFollowers.FEED_FOLLOWERS);
    const isCurrent = hearsOfHomes || followers.isReadingEndpoints();
    const {spans} = this.history.poolHistory(pool, nowMs);
    return {
      versions: spans.map(({version}) => version),
      isComplete:
        isCurrent && this.history.onlyVersion(pool, nowMs) !== undefined,
    };
  }

  private get origins(): decide.StreamOrigins {
    return this.kernel.find(decisions.STREAM_ORIGINS);
  }

  private get history(): decide.VersionHistory {
    return this.kernel.find(decisions.VERSION_HISTORY);
  }

  private nowMs(): number {
    return this.kernel.find(core.CLOCK).nowMs();
  }
}
