/**
 * Work that endpoints do before they get to a new request, such as prompts that
 * they still have to read. Each router tells the others the work that it has
 * sent. All sums age, since endpoints go on working.
 */

/** Work by endpoint, in ms. */
export type WorkByEndpoint = ReadonlyMap<string, number>;

/** Work left at endpoints, over all routers. */
export interface WorkLeft {
  recordStart(endpoint: string, workMs: number, nowMs: number): void;
  /** Records that the endpoint has done the work, or was told to drop it. */
  recordDone(endpoint: string, workMs: number, nowMs: number): void;
  /** Applies the work received from another router. */
  applyRemote(router: string, work: WorkByEndpoint, nowMs: number): void;
  /** Work left at the endpoint, over all routers, in ms. */
  remainingMs(endpoint: string, nowMs: number): number;
  /** The work that this router sent; endpoints without any are left out. */
  localWork(nowMs: number): WorkByEndpoint;
}

/**
 * Part of the work that is assumed to be left when an endpoint should have
 * finished but has not.
 */
const OVERDUE_SHARE = 0.3;

/** Longest work that another router's word is taken for, in ms. */
const MAX_REMOTE_MS = 10_000;

/** Endpoints whose remote work is kept; the oldest are forgotten. */
const MAX_ENDPOINTS = 1_024;

/** This router's work at one endpoint. */
interface OwnWork {
  /** When the endpoint should have done it all, one after another. */
  doneAtMs: number;
  /** Work of the requests that are not done, in ms. */
  pendingMs: number;
  pendingCount: number;
}

/** Assumes that endpoints do one piece of work after another. */
export class AgingWorkLeft implements WorkLeft {
  private readonly ownByEndpoint = new Map<string, OwnWork>();
  /** When the work of each other router should be done, by endpoint. */
  private readonly remote = new Map<string, Map<string, number>>();

  recordStart(endpoint: string, workMs: number, nowMs: number): void {
    const own = this.ownByEndpoint.get(endpoint);
    if (!own) {
      const doneAtMs = nowMs + workMs;
      const entry = {doneAtMs, pendingMs: workMs, pendingCount: 1};
      this.ownByEndpoint.set(endpoint, entry);
      return;
    }
    own.doneAtMs = Math.max(nowMs, own.doneAtMs) + workMs;
    own.pendingMs += workMs;
    own.pendingCount += 1;
  }

  recordDone(endpoint: string, workMs: number, nowMs: number): void {
    const own = this.ownByEndpoint.get(endpoint);
    if (!own) return;
    own.pendingCount -= 1;
    own.pendingMs = Math.max(0, own.pendingMs - workMs);
    if (own.pendingCount <= 0) this.ownByEndpoint.delete(endpoint);
    else own.doneAtMs = Math.min(own.doneAtMs, nowMs + own.pendingMs);
  }

  applyRemote(router: string, work: WorkByEndpoint, nowMs: number): void {
    // Work that is told no more ages by itself.
    for (const [endpoint, workMs] of work) {
      const doneAtByRouter =
        this.remote.get(endpoint) ?? new Map<string, number>();
      const boundedMs = Math.min(workMs, MAX_REMOTE_MS);
      doneAtByRouter.set(router, nowMs + boundedMs);
      this.remote.delete(endpoint);
      this.remote.set(endpoint, doneAtByRouter);
    }
    for (const [endpoint] of this.remote) {
      if (this.remote.size <= MAX_ENDPOINTS) return;
      this.remote.delete(endpoint);
    }
  }

  remainingMs(endpoint: string, nowMs: number): number {
    return this.ownMs(endpoint, nowMs) + this.remoteMs(endpoint, nowMs);
  }

  localWork(nowMs: number): WorkByEndpoint {
    const work = new Map<string, number>();
    for (const endpoint of this.ownByEndpoint.keys()) {
      const workMs = this.ownMs(endpoint, nowMs);
      if (workMs > 0) work.set(endpoint, workMs);
    }
    return work;
  }

  private ownMs(endpoint: string, nowMs: number): number {
    const own = this.ownByEndpoint.get(endpoint);
    if (!own) return 0;
    return Math.max(own.doneAtMs - nowMs, own.pendingMs * OVERDUE_SHARE);
  }

  private remoteMs(endpoint: string, nowMs: number): number {
    const doneAtByRouter = this.remote.get(endpoint);
    if (!doneAtByRouter) return 0;
    let sumMs = 0;
    for (const [router, doneAtMs] of doneAtByRouter) {
      if (doneAtMs > nowMs) sumMs += doneAtMs - nowMs;
      else doneAtByRouter.delete(router);
    }
    return sumMs;
  }
}

/** Baseline: knows no work. */
export class UnknownWorkLeft implements WorkLeft {
  recordStart(): void {}

  recordDone(): void {}

  applyRemote(): void {}

  remainingMs(): number {
    return 0;
  }

  localWork(): WorkByEndpoint {
    return new Map();
  }
}
