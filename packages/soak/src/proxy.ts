/**
 * A proxy on loopback between routers and what they connect to. It delays
 * bytes, resets connections, cuts one direction, or leaves open connections
 * silent for good while new ones work.
 */
import * as net from 'node:net';
import * as timers from 'node:timers/promises';

/** What the proxy does to connections. */
export type LinkFault = 'delay' | 'reset' | 'one_way' | 'silent';

const LOOPBACK = '127.0.0.1';

/** How long a delayed piece is held, in ms. */
const DELAY_MS = 150;

/** One direction of a connection. */
interface Way {
  /** Pieces that wait, one after another, so that none overtakes another. */
  tail: Promise<void>;
  waiting: number;
}

/** A connection through the proxy. */
interface Pair {
  readonly near: net.Socket;
  readonly far: net.Socket;
  /** Silent for good: bytes are read and dropped. */
  isSilent: boolean;
}

/** Proxy before one port. */
export class FaultProxy {
  port = 0;
  private readonly server = net.createServer(near => this.accept(near));
  private readonly pairs = new Set<Pair>();
  private isDelayed = false;
  private isCut = false;

  constructor(private readonly targetPort: () => number) {}

  async start(): Promise<void> {
    await new Promise<void>(resolve =>
      this.server.listen(0, LOOPBACK, resolve),
    );
    this.port = (this.server.address() as net.AddressInfo).port;
  }

  async stop(): Promise<void> {
    const closed = new Promise(resolve => this.server.close(resolve));
    this.resetAll();
    await closed;
  }

  /** Begins a fault; the returned function ends it. */
  begin(fault: LinkFault): () => void {
    switch (fault) {
      case 'delay':
        this.isDelayed = true;
        return () => (this.isDelayed = false);
      case 'one_way':
        this.isCut = true;
        return () => (this.isCut = false);
      case 'silent':
        for (const pair of this.pairs) pair.isSilent = true;
        return () => undefined;
      case 'reset':
        this.resetAll();
        return () => undefined;
    }
  }

  private resetAll(): void {
    for (const {near, far} of this.pairs) {
      reset(near);
      reset(far);
    }
  }

  private accept(near: net.Socket): void {
    const far = net.connect({host: LOOPBACK, port: this.targetPort()});
    const pair = {near, far, isSilent: false};
    this.pairs.add(pair);
    this.carry(pair, near, far);
    this.carry(pair, far, near);
  }

  private carry(pair: Pair, from: net.Socket, to: net.Socket): void {
    const way: Way = {tail: Promise.resolve(), waiting: 0};
    from.setNoDelay(true);
    from.on('data', piece => this.pass(pair, way, to, piece));
    from.on('end', () => this.later(way, () => !pair.isSilent && to.end()));
    from.on('error', () => reset(to));
    from.on('close', () => {
      // A silent connection stays open at its other end, as a lost one does.
      if (from.destroyed && to.destroyed) this.pairs.delete(pair);
    });
  }

  private pass(pair: Pair, way: Way, to: net.Socket, piece: Buffer): void {
    const isBack = to === pair.near;
    if (pair.isSilent || (this.isCut && isBack)) {
      pair.isSilent = true;
      return;
    }
    this.later(way, () => to.writable && to.write(piece));
  }

  private later(way: Way, act: () => void): void {
    if (!this.isDelayed && way.waiting === 0) {
      act();
      return;
    }
    const dueMs = performance.now() + (this.isDelayed ? DELAY_MS : 0);
    way.waiting += 1;
    way.tail = way.tail.then(async () => {
      const leftMs = dueMs - performance.now();
      if (leftMs > 0) await timers.setTimeout(leftMs);
      way.waiting -= 1;
      act();
    });
  }
}

/** Resets a connection; one that has begun to end is closed instead. */
function reset(socket: net.Socket): void {
  // A reset after the end would leave the handle open for good.
  if (socket.writableEnded) socket.destroy();
  else socket.resetAndDestroy();
}
