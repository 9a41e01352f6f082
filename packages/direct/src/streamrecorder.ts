/**
 * Records what tells the causes of a stream out of order apart: events whose ids
 * don't rise, with one log line each, and by what mark streams ended. Above a
 * rate limit, lines are skipped.
 */
import * as core from '@oleanderrock/core';
import * as prom from 'prom-client';
import type * as eventOrder from './eventorder.js';
import type * as model from './model.js';
import type * as routedRequest from './routedrequest.js';

/** Maximum number of events that are logged in a second. */
const MAX_LINES_PER_SECOND = 10;

/**
 * What marked the end of an endpoint's stream. After `connection`, an ordinary
 * close without a length or chunks, nobody knows whether the stream is whole.
 */
export type StreamEnd = 'length_or_chunks' | 'connection' | 'broken';

/** Records the streams of endpoints. */
export interface StreamRecorder {
  recordOddEvent(
    request: routedRequest.RoutedRequest,
    endpoint: model.Endpoint,
    event: eventOrder.OddEvent,
  ): void;
  recordEnd(end: StreamEnd): void;
}

/** The contract under which the stream recorder is registered. */
export const STREAM_RECORDER = core.contract<StreamRecorder>(
  'stream-recorder',
  ['recordOddEvent', 'recordEnd'],
);

/** Records to the process's metrics and log. */
export class LoggingStreamRecorder implements StreamRecorder {
  private readonly oddEvents: prom.Counter<'fault'>;
  private readonly ends: prom.Counter<'end'>;
  private readonly quota: core.LogQuota;

  constructor(private readonly kernel: core.Kernel) {
    const log = kernel.find(core.LOGGER);
    this.quota = new core.LogQuota('event_order', MAX_LINES_PER_SECOND, log);
    const registers = [kernel.find(core.METRICS).registry()];
    this.oddEvents = new prom.Counter({
      name: 'oleander_odd_events_total',
      help: 'Events of endpoints whose id went back, or left others out.',
      labelNames: ['fault'],
      registers,
    });
    this.ends = new prom.Counter({
      name: 'oleander_stream_ends_total',
      help: 'Streams of endpoints by what marked their end.',
      labelNames: ['end'],
      registers,
    });
  }

  recordOddEvent(
    {head: {requestId}}: routedRequest.RoutedRequest,
    {id}: model.Endpoint,
    {fault, lastId, foundId}: eventOrder.OddEvent,
  ): void {
    this.oddEvents.inc({fault});
    if (!this.quota.consume(this.kernel.find(core.CLOCK).nowMs())) return;
    this.kernel.find(core.LOGGER).warn('event_order', {
      request: requestId,
      endpoint: id,
      fault,
      last_id: lastId,
      found_id: foundId,
    });
  }

  recordEnd(end: StreamEnd): void {
    this.ends.inc({end});
  }
}
