/** Counts the bytes of control traffic by channel and direction. */
import * as core from '@oleanderrock/core';
import * as prom from 'prom-client';

/** Kinds of control traffic. */
export type ControlChannel = 'digest' | 'list' | 'log' | 'load' | 'call';

/** Counter of control bytes. */
export interface ControlMeter {
  add(
    channel: ControlChannel,
    direction: 'sent' | 'received',
    bytes: number,
  ): void;
}

/** The contract under which the meter is registered. */
export const CONTROL_METER = core.contract<ControlMeter>('control-meter', [
  'add',
]);

/** Control meter that feeds a Prometheus counter. */
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

  add(
    channel: ControlChannel,
    direction: 'sent' | 'received',
    bytes: number,
  ): void {
    this.bytes.inc({channel, direction}, bytes);
  }
}

/** Returns a function that counts a call's bytes for one channel. */
export function forChannel(meter: ControlMeter, channel: ControlChannel) {
  return (sentBytes: number, receivedBytes: number): void => {
    meter.add(channel, 'sent', sentBytes);
    meter.add(channel, 'received', receivedBytes);
  };
}
