/**
 * The HTTP parser of a server's connection. Node.js tells a server of complete
 * heads and of bodies only; what else the parser has taken is read from its
 * members, which Node.js 20 has and does not document.
 *
 * The short pieces of a body that one read of the connection brings are passed on
 * as one: Node.js makes several turns of its queues for each that it passes on.
 */
import type * as net from 'node:net';
import * as process from 'node:process';
import * as joinedPieces from './joinedpieces.js';

type ParserCallback = (this: NodeParser, ...args: unknown[]) => unknown;

/** The members of the parser that are used. */
interface NodeParser {
  onIncoming?: unknown;
  /** Names and values of a head in progress, except for the last 32 fields. */
  readonly _headers?: readonly string[];
  [callback: number]: ParserCallback | null;
  /** Time since the beginning of the request that arrives; 0 if none does. */
  duration(): number;
  /** Whether the head of the request that arrives is complete. */
  headersCompleted(): boolean;
}

/** The module of Node.js that has the parser, as far as it is used. */
interface HttpCommon {
  readonly HTTPParser: {
    readonly kOnBody: number;
    readonly kOnExecute: number;
    readonly kOnMessageComplete: number;
  };
}

const HTTP_PARSER = (
  process.getBuiltinModule('node:_http_common') as unknown as HttpCommon
).HTTPParser;

/** Index of the callback that follows each read of the connection. */
const READ_CALLBACK = HTTP_PARSER.kOnExecute;

/** Index of the callback for each piece of a body. */
const BODY_CALLBACK = HTTP_PARSER.kOnBody;

/** Index of the callback for the end of a message. */
const END_CALLBACK = HTTP_PARSER.kOnMessageComplete;

/** Size from which on a piece of a body is passed on as it arrived, in bytes. */
const LONG_PIECE_BYTES = 4_096;

/** What the parser is told to take the bytes behind a head for no request. */
const NOT_HTTP = 2;

/** The parser of one connection, until the connection closes. */
export class RequestParser {
  private readonly parser: NodeParser | undefined;
  /** Callbacks that Node.js does not set again when it uses the parser again. */
  private readonly ownCallbacks = new Map<number, ParserCallback | null>();
  private readonly pieces = new joinedPieces.JoinedPieces();

  constructor(socket: net.Socket) {
    this.parser = (socket as {parser?: NodeParser | null}).parser ?? undefined;
  }

  /** Calls `listener` after each read of the connection was parsed. */
  onRead(listener: () => void): void {
    const {parser} = this;
    const callback = parser?.[READ_CALLBACK];
    if (!callback) return;
    parser[READ_CALLBACK] = (...args) => {
      const result = callback.call(parser, ...args);
      listener();
      return result;
    };
  }

  /** Joins short pieces of bodies, and calls `listener` for each piece. */
  joinPieces(listener: () => void): void {
    const {parser, pieces} = this;
    const passOn = parser?.[BODY_CALLBACK];
    const callback = parser?.[END_CALLBACK];
    if (!passOn || !callback) return;
    const passOnJoined = () => {
      const joined = pieces.take();
      if (joined) passOn.call(parser, joined);
    };
    this.replace(parser, BODY_CALLBACK, piece => {
      const isLong = (piece as Buffer).length >= LONG_PIECE_BYTES;
      if (isLong) passOnJoined();
      if (isLong) passOn.call(parser, piece);
      else pieces.add(piece as Buffer);
      listener();
    });
    this.replace(parser, END_CALLBACK, () => {
      passOnJoined();
      return callback.call(parser);
    });
    this.onRead(passOnJoined);
  }

  /** Whether a head has begun and has not ended. */
  get isInHead(): boolean {
    const {parser} = this;
    if (!parser || parser.duration() === 0) return false;
    return !parser.headersCompleted();
  }

  /** Number of names and values of the head in progress. */
  get headTextCount(): number {
    return this.parser?._headers?.length ?? 0;
  }

  /**
   * Makes the parser drop the rest of the body and stop at the next head: what
   * was read of the connection may hold a thousand further requests.
   */
  stop(): void {
    const {parser} = this;
    if (!parser) return;
    parser.onIncoming = () => NOT_HTTP;
    this.replace(parser, BODY_CALLBACK, () => undefined);
    this.pieces.take();
  }

  /** Undoes what Node.js does not set again when it uses the parser again. */
  release(): void {
    const {parser, ownCallbacks} = this;
    if (!parser) return;
    for (const [index, callback] of ownCallbacks) parser[index] = callback;
    ownCallbacks.clear();
  }

  private replace(
    parser: NodeParser,
    index: number,
    callback: ParserCallback,
  ): void {
    const {ownCallbacks} = this;
    if (!ownCallbacks.has(index)) {
      ownCallbacks.set(index, parser[index] ?? null);
    }
    parser[index] = callback;
  }
}
