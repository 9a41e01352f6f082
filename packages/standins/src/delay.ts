/** Delays that cost no turn of the timer where they are 0. */
import type * as core from '@oleanderrock/core';

/** Resolves after `delayMs`, at once where it is not above 0 or on abort. */
export async function pause(
  clock: core.Clock,
  delayMs: number,
  signal: AbortSignal,
): Promise<void> {
  if (delayMs > 0) await clock.sleep(delayMs, signal);
}
