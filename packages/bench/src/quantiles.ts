/** Percentiles of measured times. */
import * as hdr from 'hdr-histogram-js';

const US_PER_MS = 1_000;
const HIGHEST_US = 120_000_000;
const DIGITS = 3;

/** The percentile of times in ms, exact to 0.1%; NaN of none. */
export function percentile(
  timesMs: readonly number[],
  percent: number,
): number {
  if (timesMs.length === 0) return Number.NaN;
  const histogram = hdr.build({
    highestTrackableValue: HIGHEST_US,
    numberOfSignificantValueDigits: DIGITS,
    bitBucketSize: 32,
  });
  for (const timeMs of timesMs) {
    const timeUs = Math.max(0, Math.round(timeMs * US_PER_MS));
    histogram.recordValue(Math.min(HIGHEST_US, timeUs));
  }
  return histogram.getValueAtPercentile(percent) / US_PER_MS;
}
