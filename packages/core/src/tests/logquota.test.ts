/** Tests that a flood of one event does not become a flood of log lines. */
import * as chai from 'chai';
import * as core from '../index.js';

const {expect} = chai;

/** Keeps the lines of the level that the quota uses. */
class RecordingLogger implements core.Logger {
  readonly lines: unknown[] = [];

  info(event: string, fields?: Record<string, core.FieldValue>): void {
    this.lines.push([event, fields]);
  }

  debug(): void {}

  warn(): void {}

  error(): void {}
}

describe('log quota', () => {
  it('lets through so many lines in a second, and counts the others', () => {
    const log = new RecordingLogger();
    const quota = new core.LogQuota('refused', 2, log);
    const lines = [0, 10, 20, 900].map(nowMs => quota.consume(nowMs));
    expect(lines).to.deep.equal([true, true, false, false]);
    expect(quota.consume(1_000)).to.equal(true);
    expect(log.lines).to.deep.equal([['refused_lines_skipped', {count: 2}]]);
  });
});
