/**
 * Workload of a simulated model engine. Prompt tokens that are not in the
 * prefix cache are prefilled at a fixed speed, then output tokens are generated
 * one by one.
 */
import * as core from '@oleanderrock/core';
import * as v from 'valibot';
import * as cacheEvents from './cacheevents.js';
import type * as control from './control.js';
import * as delay from './delay.js';
import * as endpoint from './endpoint.js';
import * as endpointFaults from './endpointfaults.js';
import type * as exchanges from './exchange.js';
import * as prefixCache from './prefixcache.js';
import type * as replies from './reply.js';
import * as slots from './slots.js';

const US_PER_MS = 1_000;
const tokenCountSchema = v.pipe(v.number(), v.integer(), v.minValue(0));

/** Schema of the body of a request to an engine. */
export const promptSchema = v.object({
  prompt_tokens: v.optional(tokenCountSchema, 0),
  output_tokens: v.optional(tokenCountSchema, 0),
  stream: v.optional(v.boolean(), false),
  nonce: v.optional(v.string(), ''),
});

/** Body of a request to an engine. */
export type Prompt = v.InferOutput<typeof promptSchema>;

const bodySchema = v.pipe(v.string(), v.parseJson(), promptSchema);

/** Size and speed of an engine. */
export interface EngineCapacity {
  /** Capacity of the prefix cache in tokens. */
  readonly cacheTokens: number;
  /** Maximum number of concurrent requests. */
  readonly slots: number;
  /** Time to prefill a prompt token that is not cached. */
  readonly prefillUsPerToken: number;
  /** Time to generate an output token. */
  readonly tokenMs: number;
}

/** Default size and speed. */
export const DEFAULT_ENGINE_CAPACITY: EngineCapacity = {
  cacheTokens: 200_000,
  slots: 16,
  prefillUsPerToken: 20,
  tokenMs: 4,
};

interface PromptProgress {
  readonly prompt: Prompt;
  readonly cachedTokens: number;
  generatedTokens: number;
}

/** Runs prompts in a limited number of slots. */
export class Engine implements endpoint.Workload {
  private readonly clock: core.Clock;
  private readonly runs: endpoint.RunLog;
  private readonly faults: control.Faults<endpointFaults.EndpointFaults>;
  private readonly slots: slots.Slots;
  private readonly cache: prefixCache.PrefixCache;
  private readonly cacheEvents: cacheEvents.CacheEvents;
  private promptTokens = 0;
  private cachedTokens = 0;

  constructor(
    kernel: core.Kernel,
    private readonly capacity: EngineCapacity,
  ) {
    this.clock = kernel.find(core.CLOCK);
    this.runs = kernel.find(endpoint.RUN_LOG);
    this.faults = kernel.find(endpointFaults.ENDPOINT_FAULTS);
    this.slots = new slots.Slots(capacity.slots);
    this.cacheEvents = new cacheEvents.CacheEvents(this.clock);
    this.cache = new prefixCache.PrefixCache(
      capacity.cacheTokens,
      (type, chat) =>
        this.cacheEvents.add(type, chat, this.faults.current.events_gap_every),
    );
  }

  get queued(): number {
    return this.slots.queued;
  }

  async run(call: endpoint.Call): Promise<void> {
    const prompt = v.safeParse(bodySchema, call.body);
    if (!prompt.success) {
      await call.reply.sendJson(400, {detail: v.summarize(prompt.issues)});
      return;
    }
    const acquired = this.slots.acquire(call.reply.abortSignal);
    this.runs.noteQueued();
    if (!(await acquired)) return this.runs.noteAbandoned();
    this.runs.noteStart(call);
    let delivery: replies.Delivery = 'cut';
    try {
      delivery = await this.processPrompt(call, prompt.output);
    } finally {
      this.slots.release();
      this.runs.noteEnd(delivery);
    }
  }

  getResource(exchange: exchanges.Exchange): object | undefined {
    if (exchange.url.pathname !== '/events') return undefined;
    const lagMs = this.faults.current.events_lag_ms;
    return this.cacheEvents.read(exchange.queryNumber('from', 0), lagMs);
  }

  stats(): object {
    return {
      prompt_tokens: this.promptTokens,
      cached_tokens: this.cachedTokens,
      cache_tokens: this.cache.totalTokens,
    };
  }

  private async processPrompt(
    call: endpoint.Call,
    prompt: Prompt,
  ): Promise<replies.Delivery> {
    const chat = call.chat ?? '';
    const promptTokens = prompt.prompt_tokens;
    const cachedTokens = chat ? this.cache.match(chat, promptTokens) : 0;
    this.promptTokens += promptTokens;
    this.cachedTokens += cachedTokens;
    const progress = {prompt, cachedTokens, generatedTokens: 0};
    if (!(await this.prefill(call, progress))) return 'cut';
    try {
      if (prompt.stream) return await this.answerWithStream(call, progress);
      return await this.answerWithJson(call, progress);
    } finally {
      if (chat) this.cache.store(chat, promptTokens + progress.generatedTokens);
    }
  }

  private async prefill(
    call: endpoint.Call,
    progress: PromptProgress,
  ): Promise<boolean> {
    const uncachedTokens =
      progress.prompt.prompt_tokens - progress.cachedTokens;
    const delayMs =
      (uncachedTokens * this.capacity.prefillUsPerToken) / US_PER_MS;
    await delay.pause(this.clock, delayMs, call.reply.abortSignal);
    return !call.reply.abortSignal.aborted;
  }

  private async answerWithStream(
    call: endpoint.Call,
    progress: PromptProgress,
  ): Promise<replies.Delivery> {
    const {reply} = call;
    const {nonce, output_tokens: outputTokens} = progress.prompt;
    if (!(await reply.openStream(this.tokenHeaders(progress)))) return 'cut';
    const startedMs = this.clock.nowMs();
    for (let token = 0; token < outputTokens; token++) {
      const dueMs = startedMs + (token + 1) * this.capacity.tokenMs;
      const delayMs = dueMs - this.clock.nowMs();
      await delay.pause(this.clock, delayMs, reply.abortSignal);
      if (!(await reply.sendToken({token, nonce}))) return 'cut';
      progress.generatedTokens += 1;
    }
    return reply.endStream({
      done: true,
      nonce,
      cached_tokens: progress.cachedTokens,
      output_tokens: outputTokens,
    });
  }

  private async answerWithJson(
    call: endpoint.Call,
    progress: PromptProgress,
  ): Promise<replies.Delivery> {
    const {stream, ...counts} = progress.prompt;
    const delayMs = counts.output_tokens * this.capacity.tokenMs;
    await delay.pause(this.clock, delayMs, call.reply.abortSignal);
    if (call.reply.abortSignal.aborted) return 'cut';
    progress.generatedTokens = counts.output_tokens;
    const body = {...counts, cached_tokens: progress.cachedTokens};
    return call.reply.sendJson(200, body, this.tokenHeaders(progress));
  }

  private tokenHeaders({
    prompt,
    cachedTokens,
  }: PromptProgress): Record<string, string> {
    const uncachedTokens = prompt.prompt_tokens - cachedTokens;
    return {
      [core.headers.CACHED_TOKENS]: String(cachedTokens),
      [core.headers.TOKENS]: String(uncachedTokens + prompt.output_tokens),
    };
  }
}
