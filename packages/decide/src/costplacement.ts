/**
 * Placement by cost: a request goes where its first event is expected soonest,
 * weighed against the load that it adds. A prompt stays with an endpoint that
 * holds its prefix unless the delay there exceeds what it costs to bring the
 * prefix elsewhere. The bounds on numbers of requests hold as before. Where too
 * little is known for an estimate, requests are placed by their number.
 */
import * as core from '@oleanderrock/core';
import * as boundedMap from './boundedmap.js';
import * as prefixPlacement from './prefixplacement.js';
import type * as startEstimates from './startestimates.js';

/** Options of `CostPlacement`. */
export interface CostPlacementOptions {
  readonly estimates: startEstimates.StartEstimates;
  /** Places requests for which there is no estimate. */
  readonly fallback: prefixPlacement.DirectPlacement;
  readonly random: core.Random;
}

/** Endpoints compared for a request without a prefix; others are not drawn. */
const MAX_COMPARED = 6;

/**
 * Requests in flight that weigh as much as a doubled time. With a prompt,
 * requests share the work of an endpoint, so that their number matters less; it
 * counts relative to the bound, which grows with the pool's mean.
 */
const PLAIN_BALANCE = 1;
const PROMPT_BALANCE_OF_LIMIT = 2;

/** Load that an endpoint in another zone is taken to have in addition. */
const FAR_LOAD = 0.5;

/**
 * Least delay at a home for which other endpoints are considered, in ms; below
 * it estimates say nothing.
 */
const MIN_DELAY_MS = 30;

/**
 * Share of the time until the first event is wanted up to which a request waits
 * for its home: true times may be more than twice the estimate.
 */
const MAX_GOAL_SHARE = 0.35;

/**
 * What others lose while an endpoint brings a prefix that is held elsewhere, as a
 * multiple of its time: reading keeps an endpoint busy, copying does not.
 */
const READ_WASTE = 3;
const COPY_WASTE = 1;

/** Homes of a prefix beyond which it is not brought elsewhere. */
const MAX_HOMES = 3;

/** Prefixes for which the endpoint is kept that would be next. */
const MAX_RANKED_PREFIXES = 512;

/** A compared endpoint. */
interface Option {
  readonly endpoint: prefixPlacement.DirectCandidate;
  readonly estimate: startEstimates.StartEstimate;
  /** Expected time, weighed by load; the lowest is chosen. */
  readonly score: number;
}

/** How an endpoint is scored. */
interface OptionCosts {
  /** Requests in flight that weigh as much as a doubled time. */
  readonly balance: number;
  /** Whether the endpoint has the prefix, or copies it. */
  readonly holdsPrefix: boolean;
  /** Time that bringing the prefix there takes, in ms. */
  readonly bringMs?: number;
}

/** Compares the estimates of a few endpoints. */
export class CostPlacement implements prefixPlacement.DirectPlacement {
  private readonly topByPrefix = new boundedMap.BoundedMap<string>(
    MAX_RANKED_PREFIXES,
  );

  constructor(private readonly options: CostPlacementOptions) {}

  choose(
    request: prefixPlacement.DirectPlacementRequest,
    candidates: readonly prefixPlacement.DirectCandidate[],
  ): prefixPlacement.DirectChoice | undefined {
    const {estimates, fallback} = this.options;
    if (!estimates.isOn) return fallback.choose(request, candidates);
    return request.prefix === undefined
      ? this.chooseSoonest(request, candidates)
      : this.chooseForPrefix(request, candidates);
  }

  /** The best of a few endpoints that are below the bound. */
  private chooseSoonest(
    request: prefixPlacement.DirectPlacementRequest,
    candidates: readonly prefixPlacement.DirectCandidate[],
  ): prefixPlacement.DirectChoice | undefined {
    const limit = prefixPlacement.loadLimit(
      candidates,
      prefixPlacement.SHORT_PREFIX_BOUND,
    );
    const eligible = candidates.filter(({inFlight}) => inFlight < limit);
    if (eligible.length === 0) {
      return this.options.fallback.choose(request, candidates);
    }
    const compared = this.draw(eligible, MAX_COMPARED);
    const options = compared.map(each =>
      this.option(request, each, {balance: PLAIN_BALANCE, holdsPrefix: false}),
    );
    const best = this.pick(request, options);
    if (!best) return this.options.fallback.choose(request, candidates);
    return {...choiceOf(best, 'soonest'), limit};
  }

  private chooseForPrefix(
    request: prefixPlacement.DirectPlacementRequest,
    candidates: readonly prefixPlacement.DirectCandidate[],
  ): prefixPlacement.DirectChoice | undefined {
    const {homes = [], prefixTokens = 0} = request;
    const limit = prefixPlacement.prefixLimit(candidates, prefixTokens);
    const balance = limit * PROMPT_BALANCE_OF_LIMIT;
    const holders = candidates.filter(
      ({id, inFlight}) => inFlight < limit && homes.includes(id),
    );
    const home = this.pick(
      request,
      holders.map(each =>
        this.option(request, each, {balance, holdsPrefix: true}),
      ),
    );
    // Without a home, all routers have to choose the same endpoint.
    if (!home) return this.options.fallback.choose(request, candidates);
    const earlier = this.earlierThan(home, request, candidates, limit);
    if (!earlier) return {...choiceOf(home, 'home'), limit};
    return {...choiceOf(earlier, 'earlier'), limit};
  }

  /**
   * An endpoint at which the request starts so much earlier than at its home
   * that it is worth bringing the prefix there, which costs other requests. All
   * routers consider the same one, so that a prefix gets few homes.
   */
  private earlierThan(
    home: Option,
    request: prefixPlacement.DirectPlacementRequest,
    candidates: readonly prefixPlacement.DirectCandidate[],
    limit: number,
  ): Option | undefined {
    const {delayMs = 0, firstEventMs} = home.estimate;
    if (delayMs < MIN_DELAY_MS) return undefined;
    const {goalMs = 0} = request;
    if (firstEventMs < goalMs * MAX_GOAL_SHARE) return undefined;
    const bringMs = this.bringMs(home, request);
    if (delayMs < bringMs * (1 + wasteOf(request))) return undefined;
    const {prefix = '', homes = []} = request;
    if (homes.length >= MAX_HOMES) return undefined;
    const others = candidates.filter(
      ({id, inFlight}) => inFlight < limit && !homes.includes(id),
    );
    const balance = limit * PROMPT_BALANCE_OF_LIMIT;
    const top = this.topOf(prefix, others);
    const holdsPrefix = canCopy(request);
    const option =
      top && this.option(request, top, {balance, holdsPrefix, bringMs});
    return option && option.score < home.score ? option : undefined;
  }

  /**
   * The endpoint with the highest rendezvous score. Ranking all takes long, so
   * that it is kept while the endpoint stays among them.
   */
  private topOf(
    prefix: string,
    endpoints: readonly prefixPlacement.DirectCandidate[],
  ): prefixPlacement.DirectCandidate | undefined {
    const keptId = this.topByPrefix.get(prefix);
    const kept = endpoints.find(({id}) => id === keptId);
    if (kept) return kept;
    const ids = endpoints.map(({id}) => id);
    const topId = core.topNode(prefix, ids);
    if (topId !== undefined) this.topByPrefix.set(prefix, topId);
    return endpoints.find(({id}) => id === topId);
  }

  /** Time to read the prefix, or to copy it, at another endpoint, in ms. */
  private bringMs(
    {endpoint, estimate}: Option,
    request: prefixPlacement.DirectPlacementRequest,
  ): number {
    const {prefixTokens = 0, copyUsPerToken} = request;
    if (canCopy(request) && copyUsPerToken !== undefined) {
      return (prefixTokens * copyUsPerToken) / 1_000;
    }
    const withReading = this.estimate(request, endpoint, false);
    if (!withReading) return Number.POSITIVE_INFINITY;
    return Math.max(0, withReading.firstEventMs - estimate.firstEventMs);
  }

  private option(
    request: prefixPlacement.DirectPlacementRequest,
    endpoint: prefixPlacement.DirectCandidate,
    {balance, holdsPrefix, bringMs = 0}: OptionCosts,
  ): Option | undefined {
    const estimate = this.estimate(request, endpoint, holdsPrefix);
    if (!estimate) return undefined;
    // Reading is part of the estimate, copying is not.
    const copyMs = holdsPrefix ? bringMs : 0;
    const timeMs = estimate.firstEventMs + copyMs + bringMs * wasteOf(request);
    const farLoad = endpoint.zone === request.zone ? 0 : FAR_LOAD;
    const load = endpoint.inFlight + farLoad;
    return {endpoint, estimate, score: timeMs * (balance + load)};
  }

  private estimate(
    {work, nowMs = 0}: prefixPlacement.DirectPlacementRequest,
    {id}: prefixPlacement.DirectCandidate,
    holdsPrefix: boolean,
  ): startEstimates.StartEstimate | undefined {
    if (!work) return undefined;
    return this.options.estimates.estimate(work, {id, holdsPrefix}, nowMs);
  }

  /**
   * The best option; if loads are outdated, one at random, the less probable the
   * higher its score, since other routers compare the same loads.
   */
  private pick(
    {hasExactLoads = true}: prefixPlacement.DirectPlacementRequest,
    options: ReadonlyArray<Option | undefined>,
  ): Option | undefined {
    if (hasExactLoads) return this.best(options);
    const known = options.filter(option => option !== undefined);
    const weightOf = ({score}: Option) => 1 / (1 + score * score);
    const total = known.reduce((sum, option) => sum + weightOf(option), 0);
    let remaining = this.options.random.nextFloat() * total;
    return (
      known.find(option => (remaining -= weightOf(option)) < 0) ?? known.at(-1)
    );
  }

  /** The lowest score; one of them at random. */
  private best(options: ReadonlyArray<Option | undefined>): Option | undefined {
    let best: Option | undefined;
    let equalCount = 0;
    for (const option of options) {
      if (!option || (best && option.score > best.score)) continue;
      equalCount = best && option.score === best.score ? equalCount + 1 : 1;
      const isDrawn =
        equalCount === 1 || this.options.random.nextInt(equalCount) === 0;
      if (isDrawn) best = option;
    }
    return best;
  }

  /** A few of the endpoints at random, beginning anywhere. */
  private draw(
    endpoints: readonly prefixPlacement.DirectCandidate[],
    maxCount: number,
  ): readonly prefixPlacement.DirectCandidate[] {
    if (endpoints.length <= maxCount) return endpoints;
    const drawn: prefixPlacement.DirectCandidate[] = [];
    for (let count = 0; count < maxCount; count++) {
      drawn.push(endpoints[this.options.random.nextInt(endpoints.length)]!);
    }
    return drawn;
  }
}

function choiceOf(
  {endpoint, estimate}: Option,
  reason: prefixPlacement.DirectPlacementReason,
): prefixPlacement.DirectChoice {
  return {endpoint, reason, estimate};
}

/** What bringing the prefix costs others, as a multiple of its time. */
function wasteOf(request: prefixPlacement.DirectPlacementRequest): number {
  return canCopy(request) ? COPY_WASTE : READ_WASTE;
}

/** Whether an endpoint would copy the prefix rather than read it. */
function canCopy({
  copyUsPerToken,
}: prefixPlacement.DirectPlacementRequest): boolean {
  return copyUsPerToken !== undefined;
}
