/** Requests that run now: how many of each signature on each endpoint. */

/** Counts by signature and endpoint. */
export class RunningRequests {
  private readonly byEndpoint = new Map<string, Map<string, number>>();

  on(endpoint: string): readonly string[] {
    return [...(this.byEndpoint.get(endpoint)?.keys() ?? [])];
  }

  add(name: string, endpoint: string): void {
    const counts = this.byEndpoint.get(endpoint) ?? new Map<string, number>();
    counts.set(name, (counts.get(name) ?? 0) + 1);
    this.byEndpoint.set(endpoint, counts);
  }

  /** False where no such request runs, as after the endpoint crashed. */
  drop(name: string, endpoint: string): boolean {
    const counts = this.byEndpoint.get(endpoint);
    const count = counts?.get(name);
    if (!counts || count === undefined) return false;
    if (count > 1) counts.set(name, count - 1);
    else counts.delete(name);
    if (counts.size === 0) this.byEndpoint.delete(endpoint);
    return true;
  }

  clear(endpoint: string): readonly string[] {
    const names = this.on(endpoint);
    this.byEndpoint.delete(endpoint);
    return names;
  }
}
