/**
 * A TCP proxy on loopback between routers and the servers they connect to. It
 * delays bytes, resets connections, cuts the direction towards the client, or
 * blackholes the open connections while new ones work.
 */
import * as net from 'node:net';
import * as timers from 'node:timers/promises';

/** Fault that the proxy applies to its connections. */
export type LinkFault = 'delay' | 'reset' | 'one_way' | 'silent';

const LOOPBACK = '127.0.0.1';

/** Time by which a chunk is delayed, in ms. */
const DELAY_MS = 150;

/** Write queue of one direction of a connection. */
interface WriteQueue {
  /** Settles after the last queued write; chaining keeps the order. */
  lastWrite: Promise<void>;
  pendingWrites: number;
}

/** A client's connection and the proxy's connection to the target. */
interface ProxiedConnection {
  readonly client: net.Socket;
  readonly target: net.Socket;
  /** Whether bytes of both directions are read and dropped, until it closes. */
  isBlackholed: boolean;
}

/** TCP proxy to one port on loopback. */
export class FaultProxy {
  port = 0;
  private readonly server = net.createServer(client => this.accept(client));
  private readonly connections = new Set<ProxiedConnection>();
  private isDelayed = false;
  private isReturnCut = false;

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

  /** Starts a fault and returns a function that ends it. */
  startFault(fault: LinkFault): () => void {
    switch (fault) {
      case 'delay':
        this.isDelayed = true;
        return () => (this.isDelayed = false);
      case 'one_way':
        this.isReturnCut = true;
        return () => (this.isReturnCut = false);
      case 'silent':
        for (const proxied of this.connections) proxied.isBlackholed = true;
        return () => undefined;
      case 'reset':
        this.resetAll();
        return () => undefined;
    }
  }

  private resetAll(): void {
    for (const {client, target} of this.connections) {
      resetSocket(client);
      resetSocket(target);
    }
  }

  private accept(client: net.Socket): void {
    const target = net.connect({host: LOOPBACK, port: this.targetPort()});
    const connection = {client, target, isBlackholed: false};
    this.connections.add(connection);
    this.forward(connection, client, target);
    this.forward(connection, target, client);
  }

  private forward(
    connection: ProxiedConnection,
    from: net.Socket,
    to: net.Socket,
  ): void {
    const queue: WriteQueue = {lastWrite: Promise.resolve(), pendingWrites: 0};
    from.setNoDelay(true);
    from.on('data', chunk => this.forwardChunk(connection, queue, to, chunk));
    from.on('end', () =>
      this.enqueue(queue, () => !connection.isBlackholed && to.end()),
    );
    from.on('error', () => resetSocket(to));
    from.on('close', () => {
      // If blackholed, the other end stays open, as when its peer is lost.
      if (from.destroyed && to.destroyed) this.connections.delete(connection);
    });
  }

  private forwardChunk(
    connection: ProxiedConnection,
    queue: WriteQueue,
    to: net.Socket,
    chunk: Buffer,
  ): void {
    const isToClient = to === connection.client;
    if (connection.isBlackholed || (this.isReturnCut && isToClient)) {
      connection.isBlackholed = true;
      return;
    }
    this.enqueue(queue, () => to.writable && to.write(chunk));
  }

  private enqueue(queue: WriteQueue, action: () => void): void {
    if (!this.isDelayed && queue.pendingWrites === 0) {
      action();
      return;
    }
    const dueMs = performance.now() + (this.isDelayed ? DELAY_MS : 0);
    queue.pendingWrites += 1;
    queue.lastWrite = queue.lastWrite.then(async () => {
      const remainingMs = dueMs - performance.now();
      if (remainingMs > 0) await timers.setTimeout(remainingMs);
      queue.pendingWrites -= 1;
      action();
    });
  }
}

/** Resets a connection, or closes it if its end was already written. */
function resetSocket(socket: net.Socket): void {
  // A reset after the end would leak the handle.
  if (socket.writableEnded) socket.destroy();
  else socket.resetAndDestroy();
}
