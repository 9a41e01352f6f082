/** Waits for conditions, so that no test leans on a fixed pause. */

const TICK_MS = 5;
const TIMEOUT_MS = 15_000;

/** Resolves with the first value that is not undefined or false. */
export async function until<T>(
  what: string,
  look: () => T | Promise<T>,
  timeoutMs = TIMEOUT_MS,
): Promise<NonNullable<T>> {
  const endMs = performance.now() + timeoutMs;
  for (;;) {
    const found = await look();
    if (found !== undefined && found !== null && found !== false) return found;
    if (performance.now() > endMs) throw new Error(`never: ${what}`);
    await new Promise(resolve => setTimeout(resolve, TICK_MS));
  }
}
