/** Delay that is skipped, without a timer, when it is zero. */
import type * as core from '@oleanderrock/core';

/** Resolves after `delayMs` or on abort; at once if it is not positive. */
export async function pause(
  clock: core.Clock,
  delayMs: number,
  signal: AbortSignal,
): Promise<void> {
  if (delayMs > 0) await clock.sleep(delayMs, signal);
}
