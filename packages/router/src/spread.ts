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
import type * as places from './places.js';
import * as pools from './pools.js';
import * as runner from './runner.js';
import * as suspects from './suspects.js';
import type * as tasks from './task.js';
import * as walk from './walk.js';

const MAX_OWNERS = 3;

/** Server of calls that may be repeated. */
export interface Spread {
  serve(task: tasks.Task): Promise<exchange.Outcome>;
}

/** The contract under which the spread is registered. */
export const SPREAD = core.contract<Spread>('spread', ['serve']);

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

  async serve(task: tasks.Task): Promise<exchange.Outcome> {
    const {hops, target} = task.request;
    if (target !== undefined) {
      return this.kernel.find(walk.WALK).runAt(this.journey(task), target);
    }
    if (hops > 0) {
      this.learnLast(task.request);
      return this.place(task);
    }
    return this.enter(task);
  }

  /** Takes over what the passing router remembers of the chat. */
  private learnLast({chat, last}: exchange.RouterRequest): void {
    if (chat === undefined || last === undefined) return;
    const chats = this.kernel.find(memory.MEMORY);
    if (chats.recall(chat) !== undefined) return;
    chats.remember({chat, endpoint: last});
  }

  /** At the first router: passes on to the first endpoint's owner. */
  private async enter(task: tasks.Task): Promise<exchange.Outcome> {
    const known = this.kernel.find(fleet.FLEET);
    let told: exchange.Outcome | undefined;
    for (let count = 0; count < MAX_OWNERS; count++) {
      const choice = this.first(task);
      const [owner] = choice ? known.owners(choice.endpoint) : [];
      if (!choice || !owner || owner === known.self()) break;
      const outcome = await this.kernel.find(passer.PASSER).pass({
        ...task,
        router: owner,
        last: choice.reason === 'memory' ? choice.endpoint : undefined,
        reason: `owner of ${choice.endpoint} (${choice.reason})`,
      });
      told = exchange.worse(told, outcome);
      if (!this.mayPassAgain(task, outcome)) return told;
    }
    return exchange.worse(told, await this.place(task));
  }

  /** At the router that places the request: walks the order of endpoints. */
  private place(task: tasks.Task): Promise<exchange.Outcome> {
    return this.kernel.find(walk.WALK).run(this.journey(task));
  }

  private journey(task: tasks.Task): walk.Journey {
    return {
      task,
      use: grant => this.use(task, grant),
      mayRepeat: failure =>
        FAULTS.includes(failure.kind) && !this.isCondemned(task),
    };
  }

  private async use(
    task: tasks.Task,
    grant: places.Grant,
  ): Promise<exchange.Outcome> {
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
    if (outcome.type === 'answered' && request.chat !== undefined) {
      const {chat} = request;
      this.kernel.find(memory.MEMORY).remember({chat, endpoint});
    }
    return outcome;
  }

  private first(task: tasks.Task): decide.Choice | undefined {
    const source = this.kernel.find(pools.POOLS);
    const view = source.view(task.pool);
    return source.order(task.request, view)[0];
  }

  private mayPassAgain(task: tasks.Task, outcome: exchange.Outcome): boolean {
    if (outcome.type === 'answered' || task.answer.hasBegun) return false;
    const {kind} = outcome.failure;
    return ['peer_unreachable', 'peer_broke', 'draining', 'not_ready'].includes(
      kind,
    );
  }

  /** Whether the tries so far showed that the request crashes endpoints. */
  private isCondemned({request, route}: tasks.Task): boolean {
    const signature = suspects.sign(request, route);
    const nowMs = this.kernel.find(core.CLOCK).nowMs();
    const book = this.kernel.find(suspects.SUSPECTS);
    return book.state(signature, nowMs) === 'condemned';
  }
}
