/** Computes percentiles of measured times. */
import * as hdr from 'hdr-histogram-js';

const US_PER_MS = 1_000;
const MAX_TIME_US = 120_000_000;
const SIGNIFICANT_DIGITS = 3;

/** Percentile of times, in ms, with an error below 0.1%; NaN without times. */
export function percentileMs(
  timesMs: readonly number[],
  percent: number,
): number {
  if (timesMs.length === 0) return Number.NaN;
  const histogram = hdr.build({
    highestTrackableValue: MAX_TIME_US,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
    bitBucketSize: 32,
  });
  for (const timeMs of timesMs) {
    const timeUs = Math.max(0, Math.round(timeMs * US_PER_MS));
    histogram.recordValue(Math.min(MAX_TIME_US, timeUs));
  }
  return histogram.getValueAtPercentile(percent) / US_PER_MS;
}
