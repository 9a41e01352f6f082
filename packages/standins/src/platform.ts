/** HTTP interface of the stand-in platform: instance list, log and weights. */
import * as core from '@oleanderrock/core';
import * as pattern from 'ts-pattern';
import * as v from 'valibot';
import type * as control from './control.js';
import * as delay from './delay.js';
import type * as exchanges from './exchange.js';
import type * as httpServer from './httpserver.js';
import * as instanceList from './instancelist.js';
import * as log from './log.js';
import * as platformFaults from './platformfaults.js';
import * as rateLimit from './ratelimit.js';
import * as weights from './weights.js';

const MAX_WAIT_MS = 60_000;
const DEFAULT_PAGE_RECORDS = 1_000;

const appendSchema = v.object({record: v.unknown()});
const weightSchema = v.object({weight: v.number()});
const truncateSchema = v.object({stream: v.string(), before: v.number()});
const forgetSchema = v.object({stream: v.string()});

/** Traffic counters of one log stream, or of the instance list. */
export interface Traffic {
  appends: number;
  rejected_appends: number;
  reads: number;
  /** Requests remaining without an answer while the log was silent. */
  unanswered: number;
  bytes_in: number;
  bytes_out: number;
}

function zeroTraffic(): Traffic {
  return {
    appends: 0,
    rejected_appends: 0,
    reads: 0,
    unanswered: 0,
    bytes_in: 0,
    bytes_out: 0,
  };
}

function sumTraffic(parts: Iterable<Traffic>): Traffic {
  const total = zeroTraffic();
  for (const part of parts) {
    total.appends += part.appends;
    total.rejected_appends += part.rejected_appends;
    total.reads += part.reads;
    total.unanswered += part.unanswered;
    total.bytes_in += part.bytes_in;
    total.bytes_out += part.bytes_out;
  }
  return total;
}

/** Request handler of the stand-in platform. */
export class Platform implements httpServer.RequestHandler {
  private readonly clock: core.Clock;
  private readonly faults: control.Faults<platformFaults.PlatformFaults>;
  private readonly instanceList: instanceList.VersionedInstanceList;
  private readonly log: log.Log;
  private readonly weights: weights.Weights;
  private readonly appendLimit = new rateLimit.RateLimit();
  private readonly listTraffic = zeroTraffic();
  private readonly streamTraffic = new Map<string, Traffic>();

  constructor(kernel: core.Kernel) {
    this.clock = kernel.find(core.CLOCK);
    this.faults = kernel.find(platformFaults.PLATFORM_FAULTS);
    this.instanceList = kernel.find(instanceList.INSTANCE_LIST);
    this.log = kernel.find(log.LOG);
    this.weights = kernel.find(weights.WEIGHTS);
  }

  serve(exchange: exchanges.Exchange): Promise<void> {
    const {P} = pattern;
    return pattern
      .match([exchange.method, ...exchange.pathSegments])
      .with(['GET', 'instances'], () => this.readList(exchange))
      .with(['PUT', 'instances', P.string], ([, , name]) =>
        this.putInstance(exchange, name),
      )
      .with(['DELETE', 'instances', P.string], ([, , name]) =>
        exchange.sendJson(this.instanceList.remove(name) ? 200 : 404, {}),
      )
      .with([P.union('GET', 'POST'), 'log', P.string], ([, , name]) =>
        this.serveLog(exchange, name),
      )
      .with(['GET', 'weights', P.string], ([, , key]) =>
        this.readWeight(exchange, key),
      )
      .with(['PUT', 'weights', P.string], ([, , key]) =>
        this.writeWeight(exchange, key),
      )
      .otherwise(() => exchange.sendJson(404, {}));
  }

  stats(): object {
    const streams = Object.fromEntries(this.streamTraffic);
    return {
      ...sumTraffic(this.streamTraffic.values()),
      list: this.listTraffic,
      streams,
    };
  }

  runAction(action: string, body: string): boolean {
    if (action === 'truncate') {
      const {stream, before} = v.parse(truncateSchema, JSON.parse(body));
      this.log.truncate(stream, before);
      return true;
    }
    if (action !== 'forget') return false;
    this.log.truncateAll(v.parse(forgetSchema, JSON.parse(body)).stream);
    return true;
  }

  private async readList(exchange: exchanges.Exchange): Promise<void> {
    const knownVersion = exchange.queryNumber('known', -1);
    const waitMs = Math.min(exchange.queryNumber('wait_ms', 0), MAX_WAIT_MS);
    this.listTraffic.reads += 1;
    const list = await this.instanceList.poll(
      knownVersion,
      waitMs,
      exchange.disconnectSignal,
    );
    if (this.faults.current.list_down) return exchange.sendJson(503, {});
    if (list.version === knownVersion) return exchange.sendEmpty(304);
    await this.sendCounted(exchange, this.listTraffic, list);
  }

  private async putInstance(
    exchange: exchanges.Exchange,
    name: string,
  ): Promise<void> {
    const body = JSON.parse(await exchange.readBody()) as object;
    const parsed = v.safeParse(core.instanceSchema, {...body, name});
    if (!parsed.success) {
      return exchange.sendJson(400, {detail: v.summarize(parsed.issues)});
    }
    this.instanceList.put(parsed.output);
    await exchange.sendJson(200, parsed.output);
  }

  private async serveLog(
    exchange: exchanges.Exchange,
    name: string,
  ): Promise<void> {
    if (this.faults.current.log_silent) return this.neverAnswer(exchange, name);
    if (this.faults.current.log_down) return exchange.sendJson(503, {});
    if (exchange.method === 'GET') return this.readStream(exchange, name);
    return this.appendRecord(exchange, name);
  }

  private async appendRecord(
    exchange: exchanges.Exchange,
    name: string,
  ): Promise<void> {
    const traffic = this.trafficOf(name);
    const body = await exchange.readBody();
    traffic.bytes_in += Buffer.byteLength(body);
    const {record} = v.parse(appendSchema, JSON.parse(body));
    await this.delayLog(exchange.stopSignal);
    if (this.consumeFault('lose_append_requests')) return exchange.destroy();
    const perSecond = this.faults.current.appends_per_second;
    if (!this.appendLimit.tryAdmit(this.clock.nowMs(), perSecond)) {
      traffic.rejected_appends += 1;
      return exchange.sendJson(429, {});
    }
    const offset = this.log.append(name, record);
    traffic.appends += 1;
    if (this.consumeFault('lose_append_replies')) return exchange.destroy();
    await this.sendCounted(exchange, traffic, {offset});
  }

  private async readStream(
    exchange: exchanges.Exchange,
    name: string,
  ): Promise<void> {
    const traffic = this.trafficOf(name);
    traffic.reads += 1;
    await this.delayLog(exchange.disconnectSignal);
    const page = await this.log.read(name, {
      from: exchange.queryNumber('from', 0),
      limit: exchange.queryNumber('limit', DEFAULT_PAGE_RECORDS),
      waitMs: Math.min(exchange.queryNumber('wait_ms', 0), MAX_WAIT_MS),
      signal: exchange.disconnectSignal,
    });
    if (this.faults.current.log_silent) return this.neverAnswer(exchange, name);
    if (this.faults.current.log_down) return exchange.sendJson(503, {});
    await this.sendCounted(exchange, traffic, page);
  }

  private neverAnswer(
    exchange: exchanges.Exchange,
    name: string,
  ): Promise<void> {
    this.trafficOf(name).unanswered += 1;
    return exchange.untilDisconnected();
  }

  private async readWeight(
    exchange: exchanges.Exchange,
    key: string,
  ): Promise<void> {
    if (!this.weights.tryAdmit()) return exchange.sendJson(429, {});
    await exchange.sendJson(200, {key, weight: this.weights.get(key)});
  }

  private async writeWeight(
    exchange: exchanges.Exchange,
    key: string,
  ): Promise<void> {
    const body: unknown = JSON.parse(await exchange.readBody());
    if (!this.weights.tryAdmit()) return exchange.sendJson(429, {});
    this.weights.set(key, v.parse(weightSchema, body).weight);
    await exchange.sendJson(200, {key, weight: this.weights.get(key)});
  }

  private async sendCounted(
    exchange: exchanges.Exchange,
    traffic: Traffic,
    body: unknown,
  ): Promise<void> {
    traffic.bytes_out += Buffer.byteLength(JSON.stringify(body));
    await exchange.sendJson(200, body);
  }

  private delayLog(signal: AbortSignal): Promise<void> {
    return delay.pause(this.clock, this.faults.current.log_slow_ms, signal);
  }

  private consumeFault(fault: 'lose_append_replies' | 'lose_append_requests') {
    const remaining = this.faults.current[fault];
    if (remaining <= 0) return false;
    this.faults.merge({[fault]: remaining - 1});
    return true;
  }

  private trafficOf(name: string): Traffic {
    const traffic = this.streamTraffic.get(name) ?? zeroTraffic();
    this.streamTraffic.set(name, traffic);
    return traffic;
  }
}
