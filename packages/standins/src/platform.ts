/** The stand-in platform's calls: instances, log and weights over HTTP. */
import * as core from '@oleanderrock/core';
import * as pattern from 'ts-pattern';
import * as v from 'valibot';
import type * as control from './control.js';
import * as delay from './delay.js';
import type * as exchanges from './exchange.js';
import type * as front from './front.js';
import * as instancelist from './instancelist.js';
import * as log from './log.js';
import * as platformFaults from './platformfaults.js';
import * as ratelimit from './ratelimit.js';
import * as weights from './weights.js';

const MAX_WAIT_MS = 60_000;
const PAGE_RECORDS = 1_000;

const appendSchema = v.object({record: v.unknown()});
const weightSchema = v.object({weight: v.number()});
const truncateSchema = v.object({stream: v.string(), before: v.number()});
const forgetSchema = v.object({stream: v.string()});

/** Counts of one stream, or of the list. */
export interface Traffic {
  appends: number;
  rejected_appends: number;
  reads: number;
  /** Requests that a silent log left without an answer. */
  unanswered: number;
  bytes_in: number;
  bytes_out: number;
}

function noTraffic(): Traffic {
  return {
    appends: 0,
    rejected_appends: 0,
    reads: 0,
    unanswered: 0,
    bytes_in: 0,
    bytes_out: 0,
  };
}

function sum(parts: Iterable<Traffic>): Traffic {
  const total = noTraffic();
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

/** Answers the platform's calls. */
export class Platform implements front.Site {
  private readonly clock: core.Clock;
  private readonly faults: control.Faults<platformFaults.PlatformFaults>;
  private readonly instances: instancelist.Instances;
  private readonly log: log.Log;
  private readonly weights: weights.Weights;
  private readonly appendLimit = new ratelimit.RateLimit();
  private readonly list = noTraffic();
  private readonly streams = new Map<string, Traffic>();

  constructor(kernel: core.Kernel) {
    this.clock = kernel.find(core.CLOCK);
    this.faults = kernel.find(platformFaults.PLATFORM_FAULTS);
    this.instances = kernel.find(instancelist.INSTANCES);
    this.log = kernel.find(log.LOG);
    this.weights = kernel.find(weights.WEIGHTS);
  }

  serve(exchange: exchanges.Exchange): Promise<void> {
    const {P} = pattern;
    return pattern
      .match([exchange.method, ...exchange.segments])
      .with(['GET', 'instances'], () => this.readList(exchange))
      .with(['PUT', 'instances', P.string], ([, , name]) =>
        this.putInstance(exchange, name),
      )
      .with(['DELETE', 'instances', P.string], ([, , name]) =>
        exchange.send(this.instances.remove(name) ? 200 : 404, {}),
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
      .otherwise(() => exchange.send(404, {}));
  }

  stats(): object {
    const streams = Object.fromEntries(this.streams);
    return {...sum(this.streams.values()), list: this.list, streams};
  }

  act(action: string, body: string): boolean {
    if (action === 'truncate') {
      const {stream, before} = v.parse(truncateSchema, JSON.parse(body));
      this.log.truncate(stream, before);
      return true;
    }
    if (action !== 'forget') return false;
    this.log.forget(v.parse(forgetSchema, JSON.parse(body)).stream);
    return true;
  }

  private async readList(exchange: exchanges.Exchange): Promise<void> {
    const known = exchange.number('known', -1);
    const waitMs = Math.min(exchange.number('wait_ms', 0), MAX_WAIT_MS);
    this.list.reads += 1;
    const list = await this.instances.poll(known, waitMs, exchange.gone);
    if (this.faults.now.list_down) return exchange.send(503, {});
    if (list.version === known) return exchange.sendEmpty(304);
    await this.answer(exchange, this.list, list);
  }

  private async putInstance(
    exchange: exchanges.Exchange,
    name: string,
  ): Promise<void> {
    const body = JSON.parse(await exchange.body()) as object;
    const parsed = v.safeParse(core.instanceSchema, {...body, name});
    if (!parsed.success) {
      return exchange.send(400, {detail: v.summarize(parsed.issues)});
    }
    this.instances.put(parsed.output);
    await exchange.send(200, parsed.output);
  }

  private async serveLog(
    exchange: exchanges.Exchange,
    name: string,
  ): Promise<void> {
    if (this.faults.now.log_silent) return this.ignore(exchange, name);
    if (this.faults.now.log_down) return exchange.send(503, {});
    if (exchange.method === 'GET') return this.read(exchange, name);
    return this.append(exchange, name);
  }

  private async append(
    exchange: exchanges.Exchange,
    name: string,
  ): Promise<void> {
    const traffic = this.traffic(name);
    const body = await exchange.body();
    traffic.bytes_in += Buffer.byteLength(body);
    const {record} = v.parse(appendSchema, JSON.parse(body));
    await this.pause(exchange.stopped);
    if (this.spend('lose_append_requests')) return exchange.cut();
    const perSecond = this.faults.now.appends_per_second;
    if (!this.appendLimit.take(this.clock.nowMs(), perSecond)) {
      traffic.rejected_appends += 1;
      return exchange.send(429, {});
    }
    const offset = this.log.append(name, record);
    traffic.appends += 1;
    if (this.spend('lose_append_replies')) return exchange.cut();
    await this.answer(exchange, traffic, {offset});
  }

  private async read(
    exchange: exchanges.Exchange,
    name: string,
  ): Promise<void> {
    const traffic = this.traffic(name);
    traffic.reads += 1;
    await this.pause(exchange.gone);
    const page = await this.log.read(name, {
      from: exchange.number('from', 0),
      limit: exchange.number('limit', PAGE_RECORDS),
      waitMs: Math.min(exchange.number('wait_ms', 0), MAX_WAIT_MS),
      signal: exchange.gone,
    });
    if (this.faults.now.log_silent) return this.ignore(exchange, name);
    if (this.faults.now.log_down) return exchange.send(503, {});
    await this.answer(exchange, traffic, page);
  }

  private ignore(exchange: exchanges.Exchange, name: string): Promise<void> {
    this.traffic(name).unanswered += 1;
    return exchange.untilGone();
  }

  private async readWeight(
    exchange: exchanges.Exchange,
    key: string,
  ): Promise<void> {
    if (!this.weights.admit()) return exchange.send(429, {});
    await exchange.send(200, {key, weight: this.weights.get(key)});
  }

  private async writeWeight(
    exchange: exchanges.Exchange,
    key: string,
  ): Promise<void> {
    const body: unknown = JSON.parse(await exchange.body());
    if (!this.weights.admit()) return exchange.send(429, {});
    this.weights.set(key, v.parse(weightSchema, body).weight);
    await exchange.send(200, {key, weight: this.weights.get(key)});
  }

  private async answer(
    exchange: exchanges.Exchange,
    traffic: Traffic,
    body: unknown,
  ): Promise<void> {
    traffic.bytes_out += Buffer.byteLength(JSON.stringify(body));
    await exchange.send(200, body);
  }

  private pause(signal: AbortSignal): Promise<void> {
    return delay.pause(this.clock, this.faults.now.log_slow_ms, signal);
  }

  private spend(fault: 'lose_append_replies' | 'lose_append_requests') {
    const left = this.faults.now[fault];
    if (left <= 0) return false;
    this.faults.merge({[fault]: left - 1});
    return true;
  }

  private traffic(name: string): Traffic {
    const traffic = this.streams.get(name) ?? noTraffic();
    this.streams.set(name, traffic);
    return traffic;
  }
}
