/**
 * The platform, as the router meets it: the list of instances and the log.
 * A deployment with another platform registers classes of its own for the two
 * interfaces.
 */
import * as http from 'node:http';
import * as core from '@oleanderrock/core';
import * as v from 'valibot';
import * as control from './control.js';
import * as jsonhttp from './jsonhttp.js';

/** Source of the list of instances. */
export interface InstanceSource {
  /**
   * Waits up to `waitMs` for a list other than version `known`; undefined
   * where it did not change.
   */
  watch(
    known: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<core.Result<core.InstanceList | undefined>>;
}

/** The contract under which the list is registered. */
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

/** Records of a stream, with the oldest kept and the next offset. */
export type LogPage = v.InferOutput<typeof logPageSchema>;

/** What is read of a stream. */
export interface LogRead {
  readonly stream: string;
  readonly from: number;
  /** How long to wait for a record at `from`. */
  readonly waitMs: number;
  /** Most records of the page. */
  readonly limit?: number;
  readonly signal?: AbortSignal;
}

/** The platform's append-only log. */
export interface LogClient {
  /**
   * Appends a record and returns its offset. A failure leaves open whether
   * the record stands on the log.
   */
  append(stream: string, record: unknown): Promise<core.Result<number>>;
  read(options: LogRead): Promise<core.Result<LogPage>>;
}

/** The contract under which the log is registered. */
export const LOG_CLIENT = core.contract<LogClient>('log-client', [
  'append',
  'read',
]);

const CALL_TIMEOUT_MS = 1_500;
const PAGE_RECORDS = 500;

const appendedSchema = v.object({offset: v.number()});

/** Options of the HTTP platform. */
export interface HttpPlatformOptions {
  readonly url: string;
  readonly meter: control.ControlMeter;
}

/** The platform's services over HTTP, as docs/PLATFORM.md describes them. */
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
    known: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<core.Result<core.InstanceList | undefined>> {
    const path = `/instances?known=${known}&wait_ms=${waitMs}`;
    const reply = await this.get('list', path, waitMs, signal);
    if (reply.type === 'error') return this.unreachable(reply);
    if (reply.status === 304) return core.succeed(undefined);
    const parsed = v.safeParse(core.instanceListSchema, reply.body);
    if (reply.status !== 200 || !parsed.success) return this.unreachable(reply);
    return core.succeed(parsed.output);
  }

  async append(stream: string, record: unknown): Promise<core.Result<number>> {
    const reply = await jsonhttp.call({
      address: this.address,
      port: this.port,
      method: 'POST',
      path: `/log/${stream}`,
      body: {record},
      agent: this.agent,
      timeoutMs: CALL_TIMEOUT_MS,
      meter: control.metering(this.options.meter, 'log'),
    });
    if (reply.type === 'error') return jsonhttp.unavailable(reply);
    const parsed = v.safeParse(appendedSchema, reply.body);
    if (reply.status !== 200 || !parsed.success) {
      return jsonhttp.unavailable(reply);
    }
    return core.succeed(parsed.output.offset);
  }

  async read(options: LogRead): Promise<core.Result<LogPage>> {
    const {stream, from, waitMs, limit = PAGE_RECORDS, signal} = options;
    const path = `/log/${stream}?from=${from}&limit=${limit}&wait_ms=${waitMs}`;
    const reply = await this.get('log', path, waitMs, signal);
    if (reply.type === 'error') return jsonhttp.unavailable(reply);
    const parsed = v.safeParse(logPageSchema, reply.body);
    if (reply.status !== 200 || !parsed.success) {
      return jsonhttp.unavailable(reply);
    }
    return core.succeed(parsed.output);
  }

  stop(): Promise<void> {
    this.agent.destroy();
    return Promise.resolve();
  }

  private get(
    channel: control.Channel,
    path: string,
    waitMs: number,
    signal?: AbortSignal,
  ) {
    return jsonhttp.call({
      address: this.address,
      port: this.port,
      path,
      agent: this.agent,
      timeoutMs: CALL_TIMEOUT_MS + waitMs,
      signal,
      meter: control.metering(this.options.meter, channel),
    });
  }

  private unreachable(reply: jsonhttp.JsonReply) {
    return core.fail('internal', `the list: ${jsonhttp.explain(reply)}`);
  }
}
