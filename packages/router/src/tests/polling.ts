/** Polling for conditions, so that tests do not depend on fixed delays. */

const POLL_MS = 5;
const TIMEOUT_MS = 15_000;

/** Polls until the value is neither undefined nor false, and returns it. */
export async function until<T>(
  description: string,
  poll: () => T | Promise<T>,
  timeoutMs = TIMEOUT_MS,
): Promise<Exclude<T, undefined | false>> {
  const endMs = performance.now() + timeoutMs;
  for (;;) {
    const value = await poll();
    if (value !== undefined && value !== false) {
      return value as Exclude<T, undefined | false>;
    }
    if (performance.now() > endMs) throw new Error(`timed out: ${description}`);
    await new Promise(resolve => setTimeout(resolve, POLL_MS));
  }
}
