/** Counts of the running requests, by endpoint and request signature. */

/** Counts the running requests of each signature on each endpoint. */
export class RunningRequests {
  private readonly byEndpoint = new Map<string, Map<string, number>>();

  /** Signatures of the requests that run on the endpoint. */
  signaturesOn(endpoint: string): readonly string[] {
    return [...(this.byEndpoint.get(endpoint)?.keys() ?? [])];
  }

  add(signature: string, endpoint: string): void {
    const counts = this.byEndpoint.get(endpoint) ?? new Map<string, number>();
    counts.set(signature, (counts.get(signature) ?? 0) + 1);
    this.byEndpoint.set(endpoint, counts);
  }

  /**
   * Removes one request. Returns false if none with this signature runs on the
   * endpoint, as after a crash of the endpoint.
   */
  remove(signature: string, endpoint: string): boolean {
    const counts = this.byEndpoint.get(endpoint);
    const count = counts?.get(signature);
    if (!counts || count === undefined) return false;
    if (count > 1) counts.set(signature, count - 1);
    else counts.delete(signature);
    if (counts.size === 0) this.byEndpoint.delete(endpoint);
    return true;
  }

  /** Removes all requests of the endpoint and returns their signatures. */
  removeAll(endpoint: string): readonly string[] {
    const signatures = this.signaturesOn(endpoint);
    this.byEndpoint.delete(endpoint);
    return signatures;
  }
}
