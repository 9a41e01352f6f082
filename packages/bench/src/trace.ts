/**
 * Generates traces of requests: chats that return after pauses with a growing
 * context, drafts, status lookups and certificates, from customers with very
 * different request rates. The seed determines the trace.
 */
import * as core from '@oleanderrock/core';
import * as customers from './customers.js';

const MS_PER_SECOND = 1_000;
const FIRST_PROMPT_TOKENS = {min: 300, max: 900};
const NEXT_PROMPT_TOKENS = {min: 40, max: 160};
const OUTPUT_TOKENS = {min: 20, max: 60};
const MIN_PAUSE_MS = 1_500;

interface BaseCall {
  /** Time since the start of the trace, in ms. */
  readonly atMs: number;
  readonly customer: string;
}

/** One turn of a chat. */
export interface ChatCall extends BaseCall {
  readonly type: 'chat';
  readonly chat: string;
  /** 1 for the first turn; later turns are returns. */
  readonly turn: number;
  /** The whole context, including the new prompt. */
  readonly promptTokens: number;
  readonly outputTokens: number;
}

/** A draft, which belongs to no chat and has low priority. */
export interface DraftCall extends BaseCall {
  readonly type: 'draft';
  readonly promptTokens: number;
  readonly outputTokens: number;
}

/** A status lookup. */
export interface StatusCall extends BaseCall {
  readonly type: 'status';
}

/** A certificate, which must be issued at most once. */
export interface CertificateCall extends BaseCall {
  readonly type: 'certificate';
  /** Number of times the caller sends it, each through another router. */
  readonly copies: number;
}

/** One request of a trace. */
export type Call = ChatCall | DraftCall | StatusCall | CertificateCall;

/** A temporary increase of a customer's request rate. */
export interface Surge {
  readonly customer: string;
  readonly fromMs: number;
  readonly toMs: number;
  /** Multiple of the customer's normal rate. */
  readonly factor: number;
}

/** Options of a trace. */
export interface TraceOptions {
  readonly seed: number;
  /** Prefix of the chats' names, so that two traces share no chat. */
  readonly name?: string;
  readonly durationMs: number;
  readonly chats: number;
  readonly meanPauseMs: number;
  readonly draftsPerSecond: number;
  readonly statusPerSecond: number;
  readonly certificatesPerSecond: number;
  readonly customers?: customers.CustomerShareOptions;
  readonly surge?: Surge;
}

interface IntegerRange {
  readonly min: number;
  readonly max: number;
}

/** Generates a trace, with its calls in order of time. */
export function generateTrace(options: TraceOptions): Call[] {
  const random = new core.SeededRandom(options.seed);
  const customerShares = new customers.CustomerShares(options.customers);
  const generator = new TraceGenerator(options, random, customerShares);
  const calls = [
    ...generator.chatCalls(),
    ...generator.draftCalls(),
    ...generator.statusCalls(),
    ...generator.certificateCalls(),
    ...generator.surgeCalls(),
  ];
  return calls.sort((a, b) => a.atMs - b.atMs);
}

class TraceGenerator {
  constructor(
    private readonly options: TraceOptions,
    private readonly random: core.Random,
    private readonly customerShares: customers.CustomerShares,
  ) {}

  chatCalls(): ChatCall[] {
    const indexes = Array.from({length: this.options.chats}).keys();
    return [...indexes].flatMap(index =>
      this.createTurns(`${this.options.name ?? 'chat'}-${index}`),
    );
  }

  draftCalls(): DraftCall[] {
    return this.arrivalTimes(this.options.draftsPerSecond).map(atMs =>
      this.createDraft(atMs, this.customerShares.pickCustomer(this.random)),
    );
  }

  statusCalls(): StatusCall[] {
    return this.arrivalTimes(this.options.statusPerSecond).map(atMs => ({
      type: 'status',
      atMs,
      customer: this.customerShares.pickCustomer(this.random),
    }));
  }

  certificateCalls(): CertificateCall[] {
    return this.arrivalTimes(this.options.certificatesPerSecond).map(
      (atMs, index) => ({
        type: 'certificate',
        atMs,
        customer: this.customerShares.pickCustomer(this.random),
        copies: index % 2 === 0 ? 2 : 1,
      }),
    );
  }

  /** Additional calls of the surging customer, each the first of a new chat. */
  surgeCalls(): ChatCall[] {
    const {surge, chats, meanPauseMs, draftsPerSecond} = this.options;
    if (!surge) return [];
    const totalRate = (chats / meanPauseMs) * MS_PER_SECOND + draftsPerSecond;
    const customerRate =
      totalRate * this.customerShares.shareOf(surge.customer);
    const times = this.arrivalTimes(customerRate * (surge.factor - 1));
    return times
      .filter(atMs => atMs >= surge.fromMs && atMs < surge.toMs)
      .map((atMs, index) => ({
        ...this.createDraft(atMs, surge.customer),
        type: 'chat',
        chat: `${this.options.name ?? 'chat'}-surge-${index}`,
        turn: 1,
      }));
  }

  private createTurns(chat: string): ChatCall[] {
    const {durationMs, meanPauseMs} = this.options;
    const customer = this.customerShares.pickCustomer(this.random);
    const calls: ChatCall[] = [];
    let atMs = this.random.nextFloat() * meanPauseMs;
    let promptTokens = this.drawInteger(FIRST_PROMPT_TOKENS);
    for (let turn = 1; atMs < durationMs; turn++) {
      const outputTokens = this.drawInteger(OUTPUT_TOKENS);
      calls.push({
        type: 'chat',
        atMs,
        customer,
        chat,
        turn,
        promptTokens,
        outputTokens,
      });
      promptTokens += outputTokens + this.drawInteger(NEXT_PROMPT_TOKENS);
      atMs += MIN_PAUSE_MS + this.drawExponential(meanPauseMs - MIN_PAUSE_MS);
    }
    return calls;
  }

  private createDraft(atMs: number, customer: string): DraftCall {
    return {
      type: 'draft',
      atMs,
      customer,
      promptTokens: this.drawInteger(FIRST_PROMPT_TOKENS),
      outputTokens: this.drawInteger(OUTPUT_TOKENS),
    };
  }

  private arrivalTimes(perSecond: number): number[] {
    const times: number[] = [];
    if (perSecond <= 0) return times;
    const meanMs = MS_PER_SECOND / perSecond;
    let atMs = this.drawExponential(meanMs);
    while (atMs < this.options.durationMs) {
      times.push(atMs);
      atMs += this.drawExponential(meanMs);
    }
    return times;
  }

  private drawExponential(mean: number): number {
    return -Math.log(1 - this.random.nextFloat()) * mean;
  }

  private drawInteger({min, max}: IntegerRange): number {
    return min + this.random.nextInt(max - min + 1);
  }
}
