/**
 * Records the results of sends: in the health of their endpoints, and for each
 * that brought no response to pass on, in one log line. Above a rate limit, lines
 * are skipped.
 */
import * as core from '@oleanderrock/core';
import * as decisions from './decisions.js';
import type * as model from './model.js';
import type * as responseDelivery from './responsedelivery.js';
import type * as routedRequest from './routedrequest.js';

/** Maximum number of failed sends that are logged in a second. */
const MAX_LINES_PER_SECOND = 40;

/** Records the results of sends. */
export class AttemptRecorder {
  private readonly quota: core.LogQuota;

  constructor(private readonly kernel: core.Kernel) {
    const log = kernel.find(core.LOGGER);
    this.quota = new core.LogQuota('attempt_failed', MAX_LINES_PER_SECOND, log);
  }

  /** Records the result of a send to the endpoint. */
  record(
    request: routedRequest.RoutedRequest,
    {id}: model.Endpoint,
    result: responseDelivery.DeliveryResult,
  ): void {
    if (result.type === 'caller_gone' || result.type === 'withheld') return;
    const nowMs = this.kernel.find(core.CLOCK).nowMs();
    const health = this.kernel.find(decisions.ENDPOINT_HEALTH);
    if (result.type === 'delivered' && result.status < 500) {
      health.recordSuccess(id, nowMs);
      return;
    }
    if (result.type !== 'not_sent') health.recordFailure(id, nowMs);
    if (!this.quota.consume(nowMs)) return;
    this.kernel.find(core.LOGGER).info('attempt_failed', {
      request: request.head.requestId,
      endpoint: id,
      result: result.type,
      detail: 'detail' in result ? result.detail : result.status,
      head_id:
        result.type === 'not_run' ? (result.headId ?? 'none') : undefined,
      earlier_requests:
        'earlierRequests' in result ? result.earlierRequests : undefined,
    });
  }
}
