/**
 * The HTTP parser of a server's connection. Node.js tells a server of complete
 * heads and of bodies only; what else the parser has taken is read from its
 * members, which Node.js 20 has and does not document.
 */
import type * as net from 'node:net';
import * as process from 'node:process';

type ParserCallback = (...args: unknown[]) => unknown;

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
  readonly HTTPParser: {readonly kOnExecute: number; readonly kOnBody: number};
}

const HTTP_PARSER = (
  process.getBuiltinModule('node:_http_common') as unknown as HttpCommon
).HTTPParser;

/** Index of the callback that follows each read of the connection. */
const READ_CALLBACK = HTTP_PARSER.kOnExecute;

/** Index of the callback for each piece of a body. */
const BODY_CALLBACK = HTTP_PARSER.kOnBody;

/** What the parser is told to take the bytes behind a head for no request. */
const NOT_HTTP = 2;

/** The parser of one connection, until the connection closes. */
export class RequestParser {
  private readonly parser: NodeParser | undefined;
  private bodyCallback: ParserCallback | null | undefined;

  constructor(socket: net.Socket) {
    this.parser = (socket as {parser?: NodeParser | null}).parser ?? undefined;
  }

  /** Calls `listener` after each read of the connection was parsed. */
  onRead(listener: () => void): void {
    const {parser} = this;
    const callback = parser?.[READ_CALLBACK];
    if (!callback) return;
    parser[READ_CALLBACK] = (...args) => {
      const result = callback(...args);
      listener();
      return result;
    };
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
    this.bodyCallback ??= parser[BODY_CALLBACK];
    parser[BODY_CALLBACK] = () => undefined;
  }

  /** Undoes what Node.js does not set again when it uses the parser again. */
  release(): void {
    if (this.parser && this.bodyCallback) {
      this.parser[BODY_CALLBACK] = this.bodyCallback;
    }
  }
}
