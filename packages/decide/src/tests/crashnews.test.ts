/**
 * What a router tells others of crashes: notes on keys that several crashes have
 * in common, and nothing of the others but to their homes.
 */
import * as chai from 'chai';
import * as decide from '../index.js';

const {expect} = chai;

function createTracker(self: string): decide.EvidenceCrashTracker {
  return new decide.EvidenceCrashTracker({self, isProber: () => true});
}

/** A note of another router about a crash. */
function noteOf(
  crash: number,
  reporter: number,
  atMs: number,
  keys: string[],
): decide.CrashNote {
  return {crash, reporter, atMs, keys};
}

describe('crash news', () => {
  it('tell all of the crashes that meet under a key at its home, and of no single one', () => {
    const home = createTracker('home');
    home.applyReported(noteOf(1, 5, 0, ['pdeadly', 'pa']), 10);
    expect(home.takeNews(10).repeated, 'one crash').to.deep.equal([]);
    home.applyReported(noteOf(2, 6, 400, ['pdeadly', 'pb']), 410);
    expect(home.takeNews(410).repeated, 'two').to.deep.equal([
      noteOf(1, 5, 0, ['pdeadly']),
      noteOf(2, 6, 400, ['pdeadly']),
    ]);
    home.applyReported(noteOf(3, 7, 800, ['pdeadly', 'pc']), 810);
    expect(home.takeNews(810).repeated, 'the third').to.deep.equal([
      noteOf(3, 7, 800, ['pdeadly']),
    ]);
    home.applyReported(noteOf(3, 7, 800, ['pdeadly', 'pc']), 820);
    expect(home.takeNews(820).repeated, 'again').to.deep.equal([]);
  });

  it('add the crash that only this router saw to what it hears of a key', () => {
    const router = createTracker('saw');
    router.recordStart('q', ['w1', 'pdeadly', 'pa'], 'e1');
    router.recordCrash({id: 'e1', bornMs: 1}, 0);
    const {ownCrashes} = router.takeNews(0);
    expect(ownCrashes.map(({keys}) => [...keys].sort())).to.deep.equal([
      ['pa', 'pdeadly', 'w1'],
    ]);
    const told = router.applyCrash(noteOf(2, 6, 400, ['pdeadly']), 410);
    expect(told.map(({keys, atMs}) => [...keys, atMs])).to.deep.equal([
      ['pdeadly', 0],
      ['pdeadly', 400],
    ]);
  });

  it('do not make a request the only one by leaving out those beside it', () => {
    for (const keys of [['w1'], ['w1', 'pa']]) {
      const home = createTracker('home');
      const other = createTracker('other');
      for (const crash of [1, 2]) {
        const atMs = crash * 600;
        const whole = noteOf(crash, crash, atMs, ['pa', 'w1', `wb${crash}`]);
        home.applyReported(decide.withKeys(whole, keys), atMs);
      }
      const {repeated} = home.takeNews(1_200);
      expect(repeated.some(note => note.keys.includes('w1'))).to.equal(true);
      for (const note of repeated) other.applyCrash(note, 1_210);
      for (const tracker of [home, other]) {
        const verdict = tracker.admit('q', ['w1'], 2_000);
        expect(verdict.type).to.equal('free');
      }
    }
  });
});
