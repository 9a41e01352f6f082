/**
 * Drains: a router that leaves gracefully, and an endpoint that is taken out
 * of service. The latter is an edit of the pools, so that it holds at all
 * routers and lasts.
 */
import * as core from '@oleanderrock/core';
import * as adminEdits from './adminedits.js';
import * as configuration from './configuration.js';
import * as drain from './drain.js';
import * as fleet from './fleet.js';
import * as peerCalls from './peercalls.js';
import * as resource from './resource.js';

const MAX_TRIES = 4;
const ACCEPTED = 202;

/** Drains routers and endpoints. */
export class DrainResource implements resource.Resource {
  constructor(private readonly kernel: core.Kernel) {}

  async answer(ask: resource.Ask): Promise<core.Result<resource.Reply>> {
    const [kind, name, ...rest] = ask.path;
    if (!name || rest.length > 0) return resource.missing(ask);
    if (kind === 'router') {
      if (ask.method !== 'POST') return resource.wrongMethod(ask, 'POST');
      return this.drainRouter(name);
    }
    if (kind !== 'endpoint') return resource.missing(ask);
    if (ask.method === 'POST') return this.drainEndpoint(ask, name, true);
    if (ask.method === 'DELETE') return this.drainEndpoint(ask, name, false);
    return resource.wrongMethod(ask, 'POST', 'DELETE');
  }

  private async drainRouter(
    name: string,
  ): Promise<core.Result<resource.Reply>> {
    const known = this.kernel.find(fleet.FLEET);
    const isSelf = name === known.self();
    if (!isSelf && known.find(name)?.kind !== 'router') {
      return core.fail('not_found', `there is no router ${name} on the list`);
    }
    const asked = isSelf
      ? core.succeed(this.kernel.find(drain.DRAIN).ask())
      : await this.kernel.find(peerCalls.PEER_CALLS).drain(name);
    if (!asked.ok) return asked;
    return core.succeed({
      status: ACCEPTED,
      body: {router: name, is_draining: true},
    });
  }

  private async drainEndpoint(
    ask: resource.Ask,
    name: string,
    isDrained: boolean,
  ): Promise<core.Result<resource.Reply>> {
    const operator = resource.readOperator(ask);
    if (!operator.ok) return operator;
    for (let count = 1; ; count++) {
      const pools = this.poolsOf(name);
      if (pools.length === 0) {
        return core.fail('not_found', `no pool has an endpoint ${name}`);
      }
      const changes = pools
        .filter(({row}) => isListed(row, name) !== isDrained)
        .map(({version, row}) => change(version, row, name, isDrained));
      if (changes.length === 0) return resource.reply({endpoint: name});
      const verdict = await adminEdits.submit(this.kernel, {
        edit_id: core.createId(),
        operator: operator.value,
        changes,
      });
      if (verdict.ok) return resource.reply(verdict.value);
      // Another edit of a pool came between; this one holds on its result too.
      const isRace = verdict.failure.kind === 'edit_conflict';
      if (!isRace || count === MAX_TRIES) return verdict;
    }
  }

  private poolsOf(endpoint: string) {
    const {pools} = this.kernel.find(configuration.CONFIGURATION).tables();
    const known = this.kernel.find(fleet.FLEET);
    return Object.values(pools).filter(
      ({row}) => isListed(row, endpoint) || known.isMember(row, endpoint),
    );
  }
}

function isListed(pool: core.Pool, endpoint: string): boolean {
  return pool.drained_endpoints?.includes(endpoint) ?? false;
}

function change(
  version: number,
  pool: core.Pool,
  endpoint: string,
  isDrained: boolean,
): core.Change {
  const others = (pool.drained_endpoints ?? []).filter(
    name => name !== endpoint,
  );
  const drained = isDrained ? [...others, endpoint] : others;
  const field = drained.length > 0 ? drained : undefined;
  const row = {...pool, drained_endpoints: field};
  const {name} = pool;
  return {table: 'pools', name, expected_version: version, row};
}
