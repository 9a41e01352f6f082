/** Which requests the watch ends when their endpoint is silent. */
import * as chai from 'chai';
import * as core from '@oleanderrock/core';
import * as direct from '../index.js';

const {expect} = chai;

const START_MS = 100_000;

/** A clock that passes time in steps of what is slept. */
class SteppedClock extends core.SystemClock {
  timeMs = START_MS;

  override nowMs(): number {
    return this.timeMs;
  }

  override async sleep(delayMs: number): Promise<void> {
    this.timeMs += delayMs;
    await new Promise(resolve => setImmediate(resolve));
  }
}

const ENDPOINT: direct.Endpoint = {
  id: 'e',
  pool: 'pool',
  address: '127.0.0.1',
  port: 1,
  zone: 'z',
  isDraining: false,
};

/** After which time the request was ended, in ms; undefined: never. */
async function abortedAfterMs(
  result: direct.ProbeResult,
  more: Partial<direct.WatchedRequest>,
): Promise<number | undefined> {
  const kernel = new core.Kernel();
  const clock = new SteppedClock();
  kernel.register(core.LOGGER, new core.SilentLogger());
  kernel.register(core.CLOCK, clock);
  kernel.register(direct.LIVENESS, {check: () => Promise.resolve(result)});
  const watch = new direct.SilenceWatch(kernel);
  let endedMs: number | undefined;
  watch.add({
    endpoint: ENDPOINT,
    isStream: true,
    isRetryable: false,
    abort: () => (endedMs = clock.timeMs - START_MS),
    ...more,
  });
  await watch.start();
  while (clock.timeMs < START_MS + 10_000) {
    await new Promise(resolve => setImmediate(resolve));
  }
  await watch.stop();
  return endedMs;
}

describe('the watch over silent requests', () => {
  it('leaves one alone that nobody else may serve', async () => {
    expect(await abortedAfterMs('silent', {})).to.equal(undefined);
    expect(await abortedAfterMs('alive', {})).to.equal(undefined);
  });

  it('ends one whose endpoint crashed', async () => {
    expect(await abortedAfterMs('refused', {})).to.be.below(700);
    const plain = {isStream: false, mayMove: true};
    expect(await abortedAfterMs('refused', plain)).to.be.below(700);
  });

  it('ends one that another may serve', async () => {
    expect(await abortedAfterMs('silent', {isRetryable: true})).to.be.below(
      700,
    );
    expect(await abortedAfterMs('alive', {isRetryable: true})).to.be.below(
      1_700,
    );
    const plain = {isStream: false, mayMove: true};
    expect(await abortedAfterMs('alive', plain)).to.equal(undefined);
  });
});
