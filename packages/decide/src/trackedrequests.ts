/** The requests that run on endpoints, with their crash keys. */

/** A request that runs on an endpoint. */
export interface TrackedRequest {
  readonly requestId: string;
  readonly keys: readonly string[];
  readonly endpoint: string;
  /** How far its answer has come; `begun` is from the first whole event on. */
  stage: 'sent' | 'head' | 'begun';
}

/** The running requests, by endpoint. */
export class TrackedRequests {
  private readonly byEndpoint = new Map<string, Set<TrackedRequest>>();

  on(endpoint: string): readonly TrackedRequest[] {
    return [...(this.byEndpoint.get(endpoint) ?? [])];
  }

  all(): readonly TrackedRequest[] {
    return [...this.byEndpoint.values()].flatMap(requests => [...requests]);
  }

  add(request: TrackedRequest): void {
    const requests = this.byEndpoint.get(request.endpoint) ?? new Set();
    requests.add(request);
    this.byEndpoint.set(request.endpoint, requests);
  }

  /** Returns false if the request no longer runs. */
  remove(request: TrackedRequest): boolean {
    const {endpoint} = request;
    const requests = this.byEndpoint.get(endpoint);
    if (!requests?.delete(request)) return false;
    if (requests.size === 0) this.byEndpoint.delete(endpoint);
    return true;
  }

  /** Removes all requests of the endpoint and returns them. */
  removeAll(endpoint: string): readonly TrackedRequest[] {
    const requests = this.on(endpoint);
    this.byEndpoint.delete(endpoint);
    return requests;
  }
}
