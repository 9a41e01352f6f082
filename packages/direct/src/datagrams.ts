/** Sends and receives datagrams of the fleet over UDP. */
import * as dgram from 'node:dgram';
import * as core from '@oleanderrock/core';
import type * as settings from './settings.js';

/** Topics; on the wire, the index is the first byte of a datagram. */
const TOPICS = ['digest', 'permit', 'crash', 'stream'] as const;

/** What a datagram is for. */
export type DatagramTopic = (typeof TOPICS)[number];

const TOPIC_BYTES: Readonly<Record<DatagramTopic, Buffer>> = {
  digest: Buffer.from([TOPICS.indexOf('digest')]),
  permit: Buffer.from([TOPICS.indexOf('permit')]),
  crash: Buffer.from([TOPICS.indexOf('crash')]),
  stream: Buffer.from([TOPICS.indexOf('stream')]),
};

/** Handles a received datagram. */
export type DatagramListener = (bytes: Buffer, senderAddress: string) => void;

/** Transport of datagrams between routers. */
export interface Datagrams {
  /** Sends a datagram to a router; it may be lost. */
  send(topic: DatagramTopic, bytes: Buffer, address: string): void;
  /** Sets the function that handles received datagrams of the topic. */
  onReceive(topic: DatagramTopic, listener: DatagramListener): void;
}

/** The contract under which the transport is registered. */
export const DATAGRAMS = core.contract<Datagrams>('datagrams', [
  'send',
  'onReceive',
]);

/** Datagrams over UDP; all routers use the same port. */
export class UdpDatagrams implements Datagrams, core.Lifecycle {
  private readonly socket = dgram.createSocket('udp4');
  private readonly listeners = new Map<DatagramTopic, DatagramListener>();

  constructor(
    private readonly kernel: core.Kernel,
    private readonly routerSettings: settings.Settings,
  ) {}

  async start(): Promise<void> {
    const {gossipPort, address} = this.routerSettings;
    await new Promise<void>((resolve, reject) => {
      this.socket.once('error', reject);
      this.socket.bind(gossipPort, address, () => {
        this.socket.off('error', reject);
        resolve();
      });
    });
    this.socket.on('error', error => this.logError(error));
    this.socket.on('message', (bytes, {address: senderAddress}) =>
      this.receive(bytes, senderAddress),
    );
  }

  stop(): Promise<void> {
    return new Promise(resolve => this.socket.close(() => resolve()));
  }

  send(topic: DatagramTopic, bytes: Buffer, address: string): void {
    const {gossipPort} = this.routerSettings;
    const parts = [TOPIC_BYTES[topic], bytes];
    this.socket.send(parts, gossipPort, address, error => {
      if (error) this.logError(error);
    });
  }

  onReceive(topic: DatagramTopic, listener: DatagramListener): void {
    this.listeners.set(topic, listener);
  }

  private receive(bytes: Buffer, senderAddress: string): void {
    const topic = TOPICS[bytes[0] ?? TOPICS.length];
    const listener = topic && this.listeners.get(topic);
    if (!listener) {
      const fields = {bytes: bytes.length};
      this.kernel.find(core.LOGGER).warn('datagram_unreadable', fields);
      return;
    }
    try {
      listener(bytes.subarray(1), senderAddress);
    } catch (error) {
      // One datagram must not end the process, nor those after it.
      this.logError(error);
    }
  }

  private logError(error: unknown): void {
    const detail = core.errorMessage(error);
    this.kernel.find(core.LOGGER).warn('datagram_failed', {detail});
  }
}
