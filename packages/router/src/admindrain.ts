/**
 * Draining of routers (graceful shutdown) and of endpoints (no new requests).
 * An endpoint is drained by an edit of its pools, so that the drain applies at
 * all routers and survives restarts.
 */
import * as core from '@oleanderrock/core';
import * as adminEdits from './adminedits.js';
import * as configuration from './configuration.js';
import * as drain from './drain.js';
import * as fleet from './fleet.js';
import * as peerCalls from './peercalls.js';
import * as resource from './resource.js';

const MAX_ATTEMPTS = 4;
const ACCEPTED = 202;

/** Drains routers and endpoints. */
export class DrainResource implements resource.Resource {
  constructor(private readonly kernel: core.Kernel) {}

  async handle(
    request: resource.AdminRequest,
  ): Promise<core.Result<resource.AdminReply>> {
    const [kind, name, ...rest] = request.segments;
    if (!name || rest.length > 0) return resource.notFound(request);
    if (kind === 'router') {
      if (request.method !== 'POST') return resource.badMethod(request, 'POST');
      return this.drainRouter(name);
    }
    if (kind !== 'endpoint') return resource.notFound(request);
    if (request.method === 'POST') return this.setDrain(request, name, true);
    if (request.method === 'DELETE') return this.setDrain(request, name, false);
    return resource.badMethod(request, 'POST', 'DELETE');
  }

  private async drainRouter(
    name: string,
  ): Promise<core.Result<resource.AdminReply>> {
    const fleetView = this.kernel.find(fleet.FLEET);
    const isSelf = name === fleetView.self();
    if (!isSelf && fleetView.find(name)?.kind !== 'router') {
      return core.fail('not_found', `the instance list has no router ${name}`);
    }
    const started = isSelf
      ? core.succeed(this.kernel.find(drain.DRAIN).requestShutdown())
      : await this.kernel.find(peerCalls.PEER_CALLS).drain(name);
    if (!started.ok) return started;
    return core.succeed({
      status: ACCEPTED,
      body: {router: name, is_draining: true},
    });
  }

  private async setDrain(
    request: resource.AdminRequest,
    name: string,
    isDrained: boolean,
  ): Promise<core.Result<resource.AdminReply>> {
    const operator = resource.readOperator(request);
    if (!operator.ok) return operator;
    for (let attempt = 1; ; attempt++) {
      const pools = this.poolsOf(name);
      if (pools.length === 0) {
        return core.fail('not_found', `no pool contains endpoint ${name}`);
      }
      const changes = pools
        .filter(({row}) => hasDrained(row, name) !== isDrained)
        .map(({version, row}) => createChange(version, row, name, isDrained));
      if (changes.length === 0) return resource.reply({endpoint: name});
      const verdict = await adminEdits.submit(this.kernel, {
        edit_id: core.createId(),
        operator: operator.value,
        changes,
      });
      if (verdict.ok) return resource.reply(verdict.value);
      // On a conflict, another edit changed a pool in between; the drain is
      // retried on the pool's new version.
      const isConflict = verdict.failure.kind === 'edit_conflict';
      if (!isConflict || attempt === MAX_ATTEMPTS) return verdict;
    }
  }

  private poolsOf(endpoint: string) {
    const {pools} = this.kernel.find(configuration.CONFIGURATION).tables();
    const fleetView = this.kernel.find(fleet.FLEET);
    return Object.values(pools).filter(
      ({row}) => hasDrained(row, endpoint) || fleetView.isMember(row, endpoint),
    );
  }
}

function hasDrained(pool: core.Pool, endpoint: string): boolean {
  return pool.drained_endpoints?.includes(endpoint) ?? false;
}

function createChange(
  version: number,
  pool: core.Pool,
  endpoint: string,
  isDrained: boolean,
): core.Change {
  const otherNames = (pool.drained_endpoints ?? []).filter(
    name => name !== endpoint,
  );
  const drainedNames = isDrained ? [...otherNames, endpoint] : otherNames;
  const drainedEndpoints = drainedNames.length > 0 ? drainedNames : undefined;
  const row = {...pool, drained_endpoints: drainedEndpoints};
  const {name} = pool;
  return {table: 'pools', name, expected_version: version, row};
}
