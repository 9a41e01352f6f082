/**
 * Traces of callers' requests: chats that return after pauses with a context
 * that grows, drafts, status lookups and certificates, from customers of very
 * different size. One seed gives one trace.
 */
import * as core from '@oleanderrock/core';
import * as customers from './customers.js';

const MS_PER_SECOND = 1_000;
const FIRST_PROMPT_TOKENS = {least: 300, most: 900};
const NEXT_PROMPT_TOKENS = {least: 40, most: 160};
const OUTPUT_TOKENS = {least: 20, most: 60};
const MIN_PAUSE_MS = 1_500;

interface AnyCall {
  /** Time since the start of the trace. */
  readonly atMs: number;
  readonly customer: string;
}

/** One turn of a chat. */
export interface ChatCall extends AnyCall {
  readonly type: 'chat';
  readonly chat: string;
  /** 1 for the first turn; later turns are returns. */
  readonly turn: number;
  /** The whole context and what is new. */
  readonly promptTokens: number;
  readonly outputTokens: number;
}

/** A draft, which belongs to no chat and may wait. */
export interface DraftCall extends AnyCall {
  readonly type: 'draft';
  readonly promptTokens: number;
  readonly outputTokens: number;
}

/** A status lookup. */
export interface StatusCall extends AnyCall {
  readonly type: 'status';
}

/** A certificate, which may be issued at most once. */
export interface CertificateCall extends AnyCall {
  readonly type: 'certificate';
  /** How often the caller sends it, each time through another router. */
  readonly copies: number;
}

/** One request of a trace. */
export type Call = ChatCall | DraftCall | StatusCall | CertificateCall;

/** A customer that sends more for a while. */
export interface Surge {
  readonly customer: string;
  readonly fromMs: number;
  readonly toMs: number;
  /** Multiple of the customer's usual rate. */
  readonly factor: number;
}

/** Options of a trace. */
export interface TraceOptions {
  readonly seed: number;
  /** Begins the chats' names, so that two traces share no chat. */
  readonly name?: string;
  readonly durationMs: number;
  readonly chats: number;
  readonly meanPauseMs: number;
  readonly draftsPerSecond: number;
  readonly statusPerSecond: number;
  readonly certificatesPerSecond: number;
  readonly customers?: customers.CustomerOptions;
  readonly surge?: Surge;
}

interface Range {
  readonly least: number;
  readonly most: number;
}

/** Makes the trace, its calls in the order of their time. */
export function generate(options: TraceOptions): Call[] {
  const random = new core.SeededRandom(options.seed);
  const shares = new customers.Customers(options.customers);
  const maker = new Maker(options, random, shares);
  const calls = [
    ...maker.chats(),
    ...maker.drafts(),
    ...maker.lookups(),
    ...maker.certificates(),
    ...maker.surge(),
  ];
  return calls.sort((a, b) => a.atMs - b.atMs);
}

class Maker {
  constructor(
    private readonly options: TraceOptions,
    private readonly random: core.Random,
    private readonly shares: customers.Customers,
  ) {}

  chats(): ChatCall[] {
    const indexes = Array.from({length: this.options.chats}).keys();
    return [...indexes].flatMap(index =>
      this.turns(`${this.options.name ?? 'chat'}-${index}`),
    );
  }

  drafts(): DraftCall[] {
    return this.times(this.options.draftsPerSecond).map(atMs =>
      this.draft(atMs, this.shares.pick(this.random)),
    );
  }

  lookups(): StatusCall[] {
    return this.times(this.options.statusPerSecond).map(atMs => ({
      type: 'status',
      atMs,
      customer: this.shares.pick(this.random),
    }));
  }

  certificates(): CertificateCall[] {
    return this.times(this.options.certificatesPerSecond).map(
      (atMs, index) => ({
        type: 'certificate',
        atMs,
        customer: this.shares.pick(this.random),
        copies: index % 2 === 0 ? 2 : 1,
      }),
    );
  }

  /** What the surging customer sends on top: new chats. */
  surge(): ChatCall[] {
    const {surge, chats, meanPauseMs, draftsPerSecond} = this.options;
    if (!surge) return [];
    const all = (chats / meanPauseMs) * MS_PER_SECOND + draftsPerSecond;
    const own = all * this.shares.share(surge.customer);
    const times = this.times(own * (surge.factor - 1));
    return times
      .filter(atMs => atMs >= surge.fromMs && atMs < surge.toMs)
      .map((atMs, index) => ({
        ...this.draft(atMs, surge.customer),
        type: 'chat',
        chat: `${this.options.name ?? 'chat'}-surge-${index}`,
        turn: 1,
      }));
  }

  private turns(chat: string): ChatCall[] {
    const {durationMs, meanPauseMs} = this.options;
    const customer = this.shares.pick(this.random);
    const calls: ChatCall[] = [];
    let atMs = this.random.nextFloat() * meanPauseMs;
    let promptTokens = this.within(FIRST_PROMPT_TOKENS);
    for (let turn = 1; atMs < durationMs; turn++) {
      const outputTokens = this.within(OUTPUT_TOKENS);
      calls.push({
        type: 'chat',
        atMs,
        customer,
        chat,
        turn,
        promptTokens,
        outputTokens,
      });
      promptTokens += outputTokens + this.within(NEXT_PROMPT_TOKENS);
      atMs += MIN_PAUSE_MS + this.exponential(meanPauseMs - MIN_PAUSE_MS);
    }
    return calls;
  }

  private draft(atMs: number, customer: string): DraftCall {
    return {
      type: 'draft',
      atMs,
      customer,
      promptTokens: this.within(FIRST_PROMPT_TOKENS),
      outputTokens: this.within(OUTPUT_TOKENS),
    };
  }

  private times(perSecond: number): number[] {
    const times: number[] = [];
    if (perSecond <= 0) return times;
    const meanMs = MS_PER_SECOND / perSecond;
    let atMs = this.exponential(meanMs);
    while (atMs < this.options.durationMs) {
      times.push(atMs);
      atMs += this.exponential(meanMs);
    }
    return times;
  }

  private exponential(mean: number): number {
    return -Math.log(1 - this.random.nextFloat()) * mean;
  }

  private within({least, most}: Range): number {
    return least + this.random.nextInt(most - least + 1);
  }
}
