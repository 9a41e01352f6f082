/**
 * A model engine's workload: prompts are read at a set speed but for what the
 * prefix cache holds, then tokens come one by one.
 */
import * as core from '@oleanderrock/core';
import * as v from 'valibot';
import * as cacheevents from './cacheevents.js';
import type * as control from './control.js';
import * as delay from './delay.js';
import * as endpoint from './endpoint.js';
import * as endpointFaults from './endpointfaults.js';
import type * as exchanges from './exchange.js';
import * as prefixcache from './prefixcache.js';
import type * as replies from './reply.js';
import * as slots from './slots.js';

const US_PER_MS = 1_000;
const tokenCount = v.pipe(v.number(), v.integer(), v.minValue(0));

/** Schema of the body of a request to an engine. */
export const promptSchema = v.object({
  prompt_tokens: v.optional(tokenCount, 0),
  output_tokens: v.optional(tokenCount, 0),
  stream: v.optional(v.boolean(), false),
  nonce: v.optional(v.string(), ''),
});

/** A request to an engine. */
export type Prompt = v.InferOutput<typeof promptSchema>;

const bodySchema = v.pipe(v.string(), v.parseJson(), promptSchema);

/** An engine's size and speed. */
export interface EngineSpeed {
  /** Bound of the prefix cache. */
  readonly cacheTokens: number;
  /** Requests that run at a time. */
  readonly slots: number;
  readonly prefillUsPerToken: number;
  readonly tokenMs: number;
}

/** Size and speed where nothing else is said. */
export const ENGINE_SPEED: EngineSpeed = {
  cacheTokens: 200_000,
  slots: 16,
  prefillUsPerToken: 20,
  tokenMs: 4,
};

interface Progress {
  readonly prompt: Prompt;
  readonly cachedTokens: number;
  tokens: number;
}

/** Runs prompts. */
export class Engine implements endpoint.Workload {
  private readonly clock: core.Clock;
  private readonly runs: endpoint.RunLog;
  private readonly faults: control.Faults<endpointFaults.EndpointFaults>;
  private readonly slots: slots.Slots;
  private readonly cache: prefixcache.PrefixCache;
  private readonly events: cacheevents.CacheEvents;
  private promptTokens = 0;
  private cachedTokens = 0;

  constructor(
    kernel: core.Kernel,
    private readonly speed: EngineSpeed,
  ) {
    this.clock = kernel.find(core.CLOCK);
    this.runs = kernel.find(endpoint.RUN_LOG);
    this.faults = kernel.find(endpointFaults.ENDPOINT_FAULTS);
    this.slots = new slots.Slots(speed.slots);
    this.events = new cacheevents.CacheEvents(this.clock);
    this.cache = new prefixcache.PrefixCache(speed.cacheTokens, (type, chat) =>
      this.events.add(type, chat, this.faults.now.events_gap_every),
    );
  }

  get queued(): number {
    return this.slots.queued;
  }

  async run(call: endpoint.Call): Promise<void> {
    const prompt = v.safeParse(bodySchema, call.body);
    if (!prompt.success) {
      await call.reply.json(400, {detail: v.summarize(prompt.issues)});
      return;
    }
    const entry = this.slots.acquire(call.reply.signal);
    this.runs.wait();
    if (!(await entry)) return this.runs.abandon();
    this.runs.begin(call);
    let delivery: replies.Delivery = 'cut';
    try {
      delivery = await this.answer(call, prompt.output);
    } finally {
      this.slots.release();
      this.runs.end(delivery);
    }
  }

  page(exchange: exchanges.Exchange): object | undefined {
    if (exchange.url.pathname !== '/events') return undefined;
    const lagMs = this.faults.now.events_lag_ms;
    return this.events.read(exchange.number('from', 0), lagMs);
  }

  stats(): object {
    return {
      prompt_tokens: this.promptTokens,
      cached_tokens: this.cachedTokens,
      cache_tokens: this.cache.tokens,
    };
  }

  private async answer(
    call: endpoint.Call,
    prompt: Prompt,
  ): Promise<replies.Delivery> {
    const chat = call.chat ?? '';
    const promptTokens = prompt.prompt_tokens;
    const cachedTokens = chat ? this.cache.match(chat, promptTokens) : 0;
    this.promptTokens += promptTokens;
    this.cachedTokens += cachedTokens;
    const progress = {prompt, cachedTokens, tokens: 0};
    if (!(await this.prefill(call, progress))) return 'cut';
    try {
      if (prompt.stream) return await this.stream(call, progress);
      return await this.whole(call, progress);
    } finally {
      if (chat) this.cache.store(chat, promptTokens + progress.tokens);
    }
  }

  private async prefill(
    call: endpoint.Call,
    progress: Progress,
  ): Promise<boolean> {
    const fresh = progress.prompt.prompt_tokens - progress.cachedTokens;
    const delayMs = (fresh * this.speed.prefillUsPerToken) / US_PER_MS;
    await delay.pause(this.clock, delayMs, call.reply.signal);
    return !call.reply.signal.aborted;
  }

  private async stream(
    call: endpoint.Call,
    progress: Progress,
  ): Promise<replies.Delivery> {
    const {reply} = call;
    const {nonce, output_tokens: outputTokens} = progress.prompt;
    if (!(await reply.openStream(this.costs(progress)))) return 'cut';
    const beganMs = this.clock.nowMs();
    for (let token = 0; token < outputTokens; token++) {
      const dueMs = beganMs + (token + 1) * this.speed.tokenMs;
      const delayMs = dueMs - this.clock.nowMs();
      await delay.pause(this.clock, delayMs, reply.signal);
      if (!(await reply.token({token, nonce}))) return 'cut';
      progress.tokens += 1;
    }
    return reply.endStream({
      done: true,
      nonce,
      cached_tokens: progress.cachedTokens,
      output_tokens: outputTokens,
    });
  }

  private async whole(
    call: endpoint.Call,
    progress: Progress,
  ): Promise<replies.Delivery> {
    const {stream, ...counts} = progress.prompt;
    const delayMs = counts.output_tokens * this.speed.tokenMs;
    await delay.pause(this.clock, delayMs, call.reply.signal);
    if (call.reply.signal.aborted) return 'cut';
    progress.tokens = counts.output_tokens;
    const body = {...counts, cached_tokens: progress.cachedTokens};
    return call.reply.json(200, body, this.costs(progress));
  }

  private costs({prompt, cachedTokens}: Progress): Record<string, string> {
    const fresh = prompt.prompt_tokens - cachedTokens;
    return {
      [core.headers.CACHED_TOKENS]: String(cachedTokens),
      [core.headers.TOKENS]: String(fresh + prompt.output_tokens),
    };
  }
}
