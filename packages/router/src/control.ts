/** Meter of the control traffic, by channel and direction. */
import * as core from '@oleanderrock/core';
import * as prom from 'prom-client';

/** What control bytes are spent on. */
export type Channel = 'digest' | 'list' | 'log' | 'load' | 'call';

/** Meter of control bytes. */
export interface ControlMeter {
  add(channel: Channel, direction: 'sent' | 'received', bytes: number): void;
}

/** The contract under which the meter is registered. */
export const CONTROL_METER = core.contract<ControlMeter>('control-meter', [
  'add',
]);

/** Meter in the process's metrics. */
export class PromControlMeter implements ControlMeter {
  private readonly bytes: prom.Counter<'channel' | 'direction'>;

  constructor(kernel: core.Kernel) {
    this.bytes = new prom.Counter({
      name: 'oleander_control_bytes_total',
      help: 'Bytes of control traffic; digests with IP and UDP headers.',
      labelNames: ['channel', 'direction'],
      registers: [kernel.find(core.METRICS).registry()],
    });
  }

  add(channel: Channel, direction: 'sent' | 'received', bytes: number): void {
    this.bytes.inc({channel, direction}, bytes);
  }
}

/** A call's meter for one channel. */
export function metering(meter: ControlMeter, channel: Channel) {
  return (sentBytes: number, receivedBytes: number): void => {
    meter.add(channel, 'sent', sentBytes);
    meter.add(channel, 'received', receivedBytes);
  };
}
