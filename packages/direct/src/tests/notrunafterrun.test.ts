/** Tests what is answered if a request was refused after an earlier run. */
import * as chai from 'chai';
import * as core from '@oleanderrock/core';
import * as decide from '@oleanderrock/decide';
import * as direct from '../index.js';
import * as quietCaller from './quietcaller.js';
import * as simulatedPool from './simulatedpool.js';

const {expect} = chai;

describe('a request that ran on an endpoint that crashed', () => {
  it('is not answered as not run if the next endpoint refuses it', async () => {
    const kernel = new core.Kernel();
    const endpoints = ['e1', 'e2'].map((id): direct.Endpoint => {
      const fields = {pool: 'pool', address: '10.0.0.1', port: 1, zone: 'z'};
      return {...fields, id, isDraining: false};
    });
    const results = [
      {type: 'broken', cause: 'dead', detail: 'crashed'},
      {type: 'not_run', status: 503, earlierRequests: 0},
    ];
    kernel.register(core.CLOCK, new core.SystemClock());
    kernel.register(core.LOGGER, new core.SilentLogger());
    kernel.register(direct.RETRY_BUDGET, {
      recordFirstSend: () => undefined,
      trySpend: () => true,
      canSpend: () => true,
    });
    kernel.register(direct.ENDPOINT_HEALTH, new decide.NaiveHealth());
    kernel.register(
      direct.EVACUATED_ZONES,
      new direct.LoggedEvacuatedZones(kernel, new decide.NewestEvacuations()),
    );
    kernel.register(
      direct.ENDPOINT_NOTICES,
      new decide.RecentEndpointNotices(),
    );
    kernel.register(
      core.METRICS,
      new core.ProcessMetrics({withRuntime: false}),
    );
    simulatedPool.registerDecisions(
      kernel,
      simulatedPool.wiredDecisions(new core.SeededRandom(1)),
    );
    kernel.register(
      direct.ENDPOINT_REGISTRY,
      new direct.InMemoryEndpointRegistry(kernel),
    );
    kernel.register(
      direct.CRASH_TRACKER,
      new decide.EvidenceCrashTracker({self: 'r', isProber: () => true}),
    );
    const self = {name: 'r', address: '10.0.0.2', zone: 'z'};
    kernel.register(
      direct.MEMBERSHIP,
      new decide.PingMembership({self, firstEpoch: 1, hash: core.hash32}),
    );
    kernel.register(
      direct.FLEET_REGISTRY,
      new direct.InMemoryFleetRegistry(kernel, self),
    );
    kernel.register(direct.ENDPOINT_SELECTOR, {
      select: (request: unknown, {triedIds}: direct.SelectionScope) => {
        const endpoint = endpoints.find(({id}) => !triedIds.has(id));
        const placement = {endpoint, reason: 'load'};
        return Promise.resolve(
          endpoint
            ? {type: 'selected', choice: {endpoint, placement}}
            : {type: 'none'},
        );
      },
    } as unknown as direct.EndpointSelector);
    kernel.register(direct.ATTEMPT_SENDER, {
      send: () => Promise.resolve(results.shift()),
    } as unknown as direct.AttemptSender);
    const dispatcher = new direct.EndpointDispatcher(kernel);
    const nowMs = kernel.find(core.CLOCK).nowMs();
    const outcome = await dispatcher.serve(
      {
        head: {requestId: 'q'},
        pool: 'pool',
        route: {repeat: 'idempotent', maxRuns: 3, goalMs: 500},
        deadlineMs: nowMs + 5_000,
        crashKeys: [],
      } as unknown as direct.RoutedRequest,
      new quietCaller.QuietCallerResponse(),
    );
    expect(results, 'both endpoints were asked').to.deep.equal([]);
    const kind = outcome.type === 'failed' ? outcome.failure.kind : undefined;
    expect(kind && core.ERROR_RESPONSES[kind].ran).not.to.equal('no');
  });
});
