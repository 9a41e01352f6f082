/**
 * Spreads calls that may be repeated: the router that receives a request
 * passes it to the owner of its first endpoint, and that router places it,
 * waits for room and retries.
 */
import * as core from '@oleanderrock/core';
import type * as decide from '@oleanderrock/decide';
import * as exchange from './exchange.js';
import * as fleet from './fleet.js';
import * as memory from './memory.js';
import * as passer from './passer.js';
import * as pools from './pools.js';
import * as rooms from './rooms.js';
import * as runner from './runner.js';
import * as suspects from './suspects.js';

const MAX_TRIES = 6;
const MAX_OWNERS = 3;

/** A request with the rows that it matched. */
export interface Task {
  readonly request: exchange.RouterRequest;
  readonly route: core.Route;
  readonly pool: core.Pool;
  readonly answer: exchange.Answer;
}

/** Server of calls that may be repeated. */
export interface Spread {
  serve(task: Task): Promise<exchange.Outcome>;
}

/** The contract under which the spread is registered. */
export const SPREAD = core.contract<Spread>('spread', ['serve']);

/** The contract under which the retry policy is registered. */
export const RETRY = core.contract<decide.RetryPolicy>('retry', [
  'tried',
  'spend',
  'backoffMs',
]);

/** Refusals for want of room or because views differ: the next may do. */
const ELSEWHERE: readonly core.Kind[] = [
  'saturated',
  'not_owner',
  'queue_full',
  'draining',
  'not_ready',
];

/** Faults after which a call that may be repeated is tried elsewhere. */
const FAULTS: readonly core.Kind[] = [
  'endpoint_refused',
  'endpoint_unreachable',
  'endpoint_broke',
  'endpoint_protocol',
  'endpoint_timeout',
  'peer_unreachable',
  'peer_broke',
];

/** Serves through the owners of the endpoints. */
export class OwnerSpread implements Spread {
  constructor(private readonly kernel: core.Kernel) {}

  async serve(task: Task): Promise<exchange.Outcome> {
    const {hops, target} = task.request;
    if (target !== undefined) return this.serveTarget(task, target);
    if (hops > 0) return this.place(task);
    return this.enter(task);
  }

  /** At the first router: passes on to the first endpoint's owner. */
  private async enter(task: Task): Promise<exchange.Outcome> {
    const known = this.kernel.find(fleet.FLEET);
    let told: exchange.Outcome | undefined;
    for (let count = 0; count < MAX_OWNERS; count++) {
      const choice = this.first(task);
      const [owner] = choice ? known.owners(choice.endpoint) : [];
      if (!choice || !owner || owner === known.self()) break;
      const outcome = await this.kernel.find(passer.PASSER).pass({
        ...task,
        router: owner,
        reason: `owner of ${choice.endpoint} (${choice.reason})`,
      });
      told = worse(told, outcome);
      if (!this.mayPassAgain(task, outcome)) return told;
    }
    return worse(told, await this.place(task));
  }

  /** At the router that places the request: walks the order of endpoints. */
  private async place(task: Task): Promise<exchange.Outcome> {
    const {request, route, pool, answer} = task;
    const clock = this.kernel.find(core.CLOCK);
    const retry = this.kernel.find(RETRY);
    const deadlineMs = clock.nowMs() + route.wait_ms;
    const excluded = new Set<string>();
    let told: exchange.Outcome | undefined;
    retry.tried();
    for (let count = 1; count <= MAX_TRIES; count++) {
      const wish = {
        request,
        route,
        pool,
        excluded,
        deadlineMs,
        gone: answer.gone,
      };
      const grant = await this.kernel.find(rooms.ROOMS).reserve(wish);
      if (!grant.ok) return told ?? exchange.refused(grant.failure);
      const outcome = await this.use(task, grant.value);
      told = worse(told, outcome);
      const again = this.judge(task, outcome);
      if (again === 'stop') return told;
      if (again === 'fault') {
        excluded.add(grant.value.choice.endpoint);
        if (!retry.spend()) return told;
        await clock.sleep(retry.backoffMs(count), answer.gone);
      }
    }
    return told ?? exchange.failed('saturated', 'no endpoint took it');
  }

  /** At the owner, with the endpoint chosen by the passing router. */
  private async serveTarget(
    task: Task,
    target: string,
  ): Promise<exchange.Outcome> {
    const {request, route, pool, answer} = task;
    const known = this.kernel.find(fleet.FLEET);
    if (known.owners(target)[0] !== known.self()) {
      const detail = `${known.self()} does not own ${target}`;
      return exchange.failed('not_owner', detail);
    }
    const wish = {
      request,
      route,
      pool,
      excluded: new Set<string>(),
      deadlineMs: 0,
      gone: answer.gone,
    };
    const grant = this.kernel.find(rooms.ROOMS).reserveAt(wish, target);
    if (!grant.ok) return exchange.refused(grant.failure);
    return this.use(task, grant.value);
  }

  private async use(task: Task, grant: rooms.Grant): Promise<exchange.Outcome> {
    const {request, answer} = task;
    const {endpoint, reason} = grant.choice;
    const outcome =
      grant.type === 'local'
        ? await this.kernel
            .find(runner.RUNNER)
            .run({...task, endpoint, reason, answer})
        : await this.kernel.find(passer.PASSER).pass({
            ...task,
            router: grant.owner,
            target: endpoint,
            reason,
          });
    this.learn(request, grant, outcome);
    return outcome;
  }

  private learn(
    request: exchange.RouterRequest,
    grant: rooms.Grant,
    outcome: exchange.Outcome,
  ): void {
    const {endpoint} = grant.choice;
    if (outcome.type === 'answered') {
      if (request.chat === undefined) return;
      const {chat} = request;
      this.kernel.find(memory.MEMORY).remember({chat, endpoint});
    } else if (grant.type === 'remote' && isElsewhere(outcome)) {
      this.kernel.find(rooms.ROOMS).noteFull(endpoint);
    }
  }

  private first(task: Task): decide.Choice | undefined {
    const source = this.kernel.find(pools.POOLS);
    const view = source.view(task.pool);
    return source.order(task.request, view)[0];
  }

  private mayPassAgain(task: Task, outcome: exchange.Outcome): boolean {
    if (outcome.type === 'answered' || task.answer.hasBegun) return false;
    const {kind} = outcome.failure;
    return ['peer_unreachable', 'peer_broke', 'draining', 'not_ready'].includes(
      kind,
    );
  }

  /** Whether the tries so far showed that the request crashes endpoints. */
  private isCondemned({request, route}: Task): boolean {
    const signature = suspects.sign(request, route);
    const nowMs = this.kernel.find(core.CLOCK).nowMs();
    const book = this.kernel.find(suspects.SUSPECTS);
    return book.state(signature, nowMs) === 'condemned';
  }

  private judge(
    task: Task,
    outcome: exchange.Outcome,
  ): 'stop' | 'elsewhere' | 'fault' {
    if (outcome.type === 'answered' || task.answer.hasBegun) return 'stop';
    if (task.answer.gone.aborted) return 'stop';
    if (this.isCondemned(task)) return 'stop';
    if (isElsewhere(outcome)) return 'elsewhere';
    return FAULTS.includes(outcome.failure.kind) ? 'fault' : 'stop';
  }
}

/** What to tell after two tries: not run only where neither may have run. */
function worse(
  before: exchange.Outcome | undefined,
  outcome: exchange.Outcome,
): exchange.Outcome {
  if (before?.type !== 'failed' || outcome.type === 'answered') return outcome;
  const mayHaveRun = core.ANSWERS[before.failure.kind].ran !== 'no';
  return mayHaveRun ? before : outcome;
}

function isElsewhere(outcome: exchange.Outcome): boolean {
  return outcome.type === 'failed' && ELSEWHERE.includes(outcome.failure.kind);
}
