/**
 * Interfaces to the platform: the instance list and the append-only log, each
 * with its HTTP implementation. A deployment on another platform registers its
 * own classes for the two interfaces.
 */
import * as http from 'node:http';
import * as core from '@oleanderrock/core';
import * as v from 'valibot';
import * as controlMeter from './controlmeter.js';
import * as jsonHttp from './jsonhttp.js';

/** Source of the list of instances. */
export interface InstanceSource {
  /**
   * Waits up to `waitMs` for a list of another version than `knownVersion`;
   * resolves with undefined where the list did not change.
   */
  watch(
    knownVersion: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<core.Result<core.InstanceList | undefined>>;
}

/** The contract under which the source of the instance list is registered. */
export const INSTANCE_SOURCE = core.contract<InstanceSource>(
  'instance-source',
  ['watch'],
);

const logPageSchema = v.object({
  first: v.number(),
  next: v.number(),
  records: v.array(
    v.object({offset: v.number(), at_ms: v.number(), record: v.unknown()}),
  ),
});

/** Records of a stream, its oldest retained offset and its next offset. */
export type LogPage = v.InferOutput<typeof logPageSchema>;

/** Options of a read of a stream. */
export interface LogReadOptions {
  readonly stream: string;
  readonly from: number;
  /** How long to wait for a record at offset `from`. */
  readonly waitMs: number;
  /** Maximum number of records in the page. */
  readonly limit?: number;
  readonly signal?: AbortSignal;
}

/** The platform's append-only log. */
export interface LogClient {
  /**
   * Appends a record and returns its offset. After a failure, the record may
   * nevertheless have been appended.
   */
  append(stream: string, record: unknown): Promise<core.Result<number>>;
  read(options: LogReadOptions): Promise<core.Result<LogPage>>;
}

/** The contract under which the log client is registered. */
export const LOG_CLIENT = core.contract<LogClient>('log-client', [
  'append',
  'read',
]);

const CALL_TIMEOUT_MS = 1_500;
const DEFAULT_PAGE_RECORDS = 500;

const appendReplySchema = v.object({offset: v.number()});

/** Options of the platform client. */
export interface HttpPlatformOptions {
  readonly url: string;
  readonly meter: controlMeter.ControlMeter;
}

/** Client of the platform's HTTP services, which docs/PLATFORM.md specifies. */
export class HttpPlatform implements InstanceSource, LogClient, core.Lifecycle {
  private readonly agent = new http.Agent({keepAlive: true, maxSockets: 64});
  private readonly address: string;
  private readonly port: number;

  constructor(private readonly options: HttpPlatformOptions) {
    const url = new URL(options.url);
    this.address = url.hostname;
    this.port = Number(url.port || '80');
  }

  async watch(
    knownVersion: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<core.Result<core.InstanceList | undefined>> {
    const path = `/instances?known=${knownVersion}&wait_ms=${waitMs}`;
    const reply = await this.get('list', path, waitMs, signal);
    if (reply.type === 'error') return this.listFailure(reply);
    if (reply.status === 304) return core.succeed(undefined);
    const parsed = v.safeParse(core.instanceListSchema, reply.body);
    if (reply.status !== 200 || !parsed.success) return this.listFailure(reply);
    return core.succeed(parsed.output);
  }

  async append(stream: string, record: unknown): Promise<core.Result<number>> {
    const reply = await jsonHttp.call({
      address: this.address,
      port: this.port,
      method: 'POST',
      path: `/log/${stream}`,
      body: {record},
      agent: this.agent,
      timeoutMs: CALL_TIMEOUT_MS,
      meter: controlMeter.forChannel(this.options.meter, 'log'),
    });
    if (reply.type === 'error') return jsonHttp.logUnavailable(reply);
    const parsed = v.safeParse(appendReplySchema, reply.body);
    if (reply.status !== 200 || !parsed.success) {
      return jsonHttp.logUnavailable(reply);
    }
    return core.succeed(parsed.output.offset);
  }

  async read(options: LogReadOptions): Promise<core.Result<LogPage>> {
    const {
      stream,
      from,
      waitMs,
      limit = DEFAULT_PAGE_RECORDS,
      signal,
    } = options;
    const path = `/log/${stream}?from=${from}&limit=${limit}&wait_ms=${waitMs}`;
    const reply = await this.get('log', path, waitMs, signal);
    if (reply.type === 'error') return jsonHttp.logUnavailable(reply);
    const parsed = v.safeParse(logPageSchema, reply.body);
    if (reply.status !== 200 || !parsed.success) {
      return jsonHttp.logUnavailable(reply);
    }
    return core.succeed(parsed.output);
  }

  stop(): Promise<void> {
    this.agent.destroy();
    return Promise.resolve();
  }

  private get(
    channel: controlMeter.ControlChannel,
    path: string,
    waitMs: number,
    signal?: AbortSignal,
  ) {
    return jsonHttp.call({
      address: this.address,
      port: this.port,
      path,
      agent: this.agent,
      timeoutMs: CALL_TIMEOUT_MS + waitMs,
      signal,
      meter: controlMeter.forChannel(this.options.meter, channel),
    });
  }

  private listFailure(reply: jsonHttp.JsonReply) {
    return core.fail(
      'internal',
      `instance list: ${jsonHttp.describeReply(reply)}`,
    );
  }
}
