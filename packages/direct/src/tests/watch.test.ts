/** Tests which requests the watch aborts when no bytes arrive for them. */
import * as chai from 'chai';
import * as core from '@oleanderrock/core';
import * as direct from '../index.js';

const {expect} = chai;

const START_MS = 100_000;

/** A clock whose time advances by the duration of each sleep. */
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

/** Time after which the request was aborted, in ms; undefined: never. */
async function abortedAfterMs(
  result: direct.ProbeResult,
  overrides: Partial<direct.WatchedRequest>,
): Promise<number | undefined> {
  const kernel = new core.Kernel();
  const clock = new SteppedClock();
  kernel.register(core.LOGGER, new core.SilentLogger());
  kernel.register(core.CLOCK, clock);
  kernel.register(direct.LIVENESS, {check: () => Promise.resolve(result)});
  const watch = new direct.SilenceWatch(kernel);
  let abortedMs: number | undefined;
  watch.add({
    endpoint: ENDPOINT,
    isStream: true,
    isRetryable: false,
    abort: () => (abortedMs = clock.timeMs - START_MS),
    ...overrides,
  });
  await watch.start();
  while (clock.timeMs < START_MS + 10_000) {
    await new Promise(resolve => setImmediate(resolve));
  }
  await watch.stop();
  return abortedMs;
}

describe('the request watch', () => {
  it('does not abort a silent request that no other endpoint may run', async () => {
    expect(await abortedAfterMs('silent', {})).to.equal(undefined);
    expect(await abortedAfterMs('alive', {})).to.equal(undefined);
  });

  it('aborts a request whose endpoint crashed', async () => {
    expect(await abortedAfterMs('refused', {})).to.be.below(700);
    const nonStream = {isStream: false, isRetryable: true};
    expect(await abortedAfterMs('refused', nonStream)).to.be.below(700);
  });

  it('aborts a request that another endpoint may run if its endpoint or its event stream is silent', async () => {
    expect(await abortedAfterMs('silent', {isRetryable: true})).to.be.below(
      700,
    );
    expect(await abortedAfterMs('alive', {isRetryable: true})).to.be.below(
      1_700,
    );
    const nonStream = {isStream: false, isRetryable: true};
    expect(await abortedAfterMs('alive', nonStream)).to.equal(undefined);
  });
});
