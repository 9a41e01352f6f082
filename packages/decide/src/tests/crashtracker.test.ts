/**
 * Crash tracking: finds the part of prompts that crashes endpoints, and refuses
 * no request that has nothing to do with it.
 */
import * as chai from 'chai';
import * as fc from 'fast-check';
import * as decide from '../index.js';

const {expect} = chai;

const PROPERTY_OPTIONS = {seed: 20_261_205, numRuns: 300};

/** Time between crashes that count as different events, in ms. */
const APART_MS = 600;

interface TrackerOptions {
  readonly self?: string;
  readonly isProber?: () => boolean;
}

class Router {
  readonly changes: decide.KeyChange[] = [];
  readonly tracker: decide.EvidenceCrashTracker;

  constructor({self = 'r', isProber = () => true}: TrackerOptions = {}) {
    this.tracker = new decide.EvidenceCrashTracker({
      self,
      isProber,
      onChange: change => this.changes.push(change),
    });
  }

  /** A crash of an endpoint under the requests with these keys. */
  crash(endpoint: string, requests: string[][], nowMs: number): void {
    for (const keys of requests) this.tracker.recordStart('q', keys, endpoint);
    this.tracker.recordCrash({id: endpoint, bornMs: 1}, nowMs);
  }

  /** A request with these keys that begins to answer. */
  prove(keys: string[], nowMs: number): void {
    const request = this.tracker.recordStart('q', keys, 'sound');
    this.tracker.recordBegun(request, nowMs);
    this.tracker.recordEnd(request);
  }

  verdict(keys: string[], nowMs: number, requestId = 'q'): string {
    return this.tracker.admit(requestId, keys, nowMs).type;
  }
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

/** A router at which `pdeadly` is condemned, after crashes up to 1,200 ms. */
function condemnedRouter(options: TrackerOptions = {}): Router {
  const router = new Router(options);
  for (let index = 0; index < 3; index++) {
    router.crash(`e${index}`, [[`w${index}`, 'pdeadly']], index * APART_MS);
  }
  expect(router.verdict(['wnew', 'pdeadly'], 1_400)).to.equal('refused');
  return router;
}

describe('crash keys', () => {
  it('has the whole request and each shared part once, and bounds their size', () => {
    const long = 'x'.repeat(1_000);
    const keys = decide.crashKeys('0123456789abcdef', ['5c1e', '5c1e', long]);
    expect(keys).to.have.length(3);
    expect(keys.slice(0, 2)).to.deep.equal(['w0123456789abcdef', 'p5c1e']);
    for (const key of keys) {
      expect(key.length).to.be.at.most(decide.MAX_KEY_LENGTH);
    }
    const many = [...Array(500).keys()].map(String);
    expect(decide.crashKeys('s', many).length).to.be.below(20);
  });
});

describe('crash tracker', () => {
  it('condemns the part that is in every crash, though no two requests are alike', () => {
    const router = new Router();
    for (let index = 0; index < 3; index++) {
      const atMs = index * APART_MS;
      const deadly = [`w${index}`, 'pfirst', `ps${index}`, 'pdeadly'];
      router.crash(`e${index}`, [deadly, [`b${index}`, 'pother']], atMs);
      router.prove(['wsound', 'pfirst', 'pother'], atMs + 50);
    }
    expect(router.verdict(['wnew', 'pfirst', 'pdeadly'], 1_400)).to.equal(
      'refused',
    );
    expect(router.verdict(['wnew', 'pfirst', 'ps1'], 1_400)).to.equal('free');
    expect(router.verdict(['wnew', 'pother'], 1_400)).to.equal('free');
    expect(router.changes.map(({key, is}) => `${key} ${is}`)).to.deep.equal([
      'pdeadly condemned',
    ]);
  });

  it('refuses a repeated request after its second crash, if it ran alone', () => {
    const router = new Router();
    router.crash('e1', [['w1']], 0);
    expect(router.verdict(['w1'], 1)).to.equal('free');
    router.crash('e2', [['w1']], 2);
    expect(router.verdict(['w1'], 3)).to.equal('refused');
  });

  it('condemns a part although many requests beside it have parts of their own', () => {
    const router = new Router();
    for (let index = 0; index < 6; index++) {
      const beside = [...Array(9).keys()].map(other => {
        const name = `${index}x${other}`;
        return [`w${name}`, `pa${name}`, `pb${name}`, `pc${name}`];
      });
      const requests = [...beside, [`w${index}`, 'pdeadly']];
      router.crash(`e${index}`, requests, index * APART_MS);
    }
    expect(router.verdict(['wnew', 'pdeadly'], 5_000)).to.equal('refused');
  });

  it('condemns no part by one moment at which many endpoints crash', () => {
    const router = new Router();
    for (let index = 0; index < 20; index++) {
      router.crash(`e${index}`, [[`w${index}`, 'ppopular']], index * 10);
    }
    expect(router.verdict(['wnew', 'ppopular'], 5_000)).to.equal('free');
  });

  it('condemns a part at its fifth crash, although most were of one moment', () => {
    const router = new Router();
    for (let index = 0; index < 4; index++) {
      router.crash(`e${index}`, [[`w${index}`, 'pdeadly']], index * 50);
    }
    expect(router.verdict(['wnew', 'pdeadly'], 1_590)).to.equal('free');
    router.crash('e4', [['w4', 'pdeadly']], 1_600);
    expect(router.verdict(['wnew', 'pdeadly'], 1_760)).to.equal('refused');
  });

  it('counts a crash once that several routers saw, and anew after a restart', () => {
    const router = new Router();
    for (let reporter = 1; reporter <= 9; reporter++) {
      const atMs = reporter * APART_MS;
      router.tracker.applyCrash(noteOf(7, reporter, atMs, ['pa']), atMs);
    }
    expect(router.verdict(['pa'], 9_000)).to.equal('free');
    for (const bornMs of [1, 2, 3]) {
      const atMs = 10_000 + bornMs * APART_MS;
      router.tracker.recordStart('q', ['pb'], 'e');
      router.tracker.recordCrash({id: 'e', bornMs}, atMs);
    }
    expect(router.verdict(['pb'], 13_000)).to.equal('refused');
  });

  it('is not led by one other router that lies or is out of time, whatever it tells', () => {
    const note = fc.record({
      crash: fc.nat(1_000),
      atMs: fc.integer({min: -70_000, max: 70_000}),
      keys: fc.array(fc.constantFrom('pa', 'pb', 'pc'), {maxLength: 40}),
    });
    fc.assert(
      fc.property(fc.array(note, {maxLength: 60}), notes => {
        const router = new Router();
        let nowMs = 0;
        for (const {crash, atMs, keys} of notes) {
          nowMs += 100;
          router.tracker.applyCrash({crash, reporter: 5, atMs, keys}, nowMs);
          expect(router.verdict(['pa', 'pb', 'pc'], nowMs)).to.equal('free');
        }
        expect(router.verdict(['pa', 'pb'], nowMs + 2_000)).to.equal('free');
      }),
      PROPERTY_OPTIONS,
    );
  });

  it('condemns no key that is proved sound between crashes, in whatever order', () => {
    const step = fc.record({
      isProof: fc.boolean(),
      waitMs: fc.nat(900),
      endpoint: fc.nat(30),
    });
    fc.assert(
      fc.property(fc.array(step, {maxLength: 80}), steps => {
        const router = new Router();
        let nowMs = 0;
        let crashesSinceProof = 0;
        for (const [index, {isProof, waitMs, endpoint}] of steps.entries()) {
          nowMs += 1 + waitMs;
          if (isProof || crashesSinceProof === 2) {
            router.prove(['psound'], nowMs);
            crashesSinceProof = 0;
          } else {
            router.crash(`e${endpoint}`, [[`w${index}`, 'psound']], nowMs);
            crashesSinceProof += 1;
          }
          expect(router.verdict(['psound'], nowMs)).to.equal('free');
        }
      }),
      PROPERTY_OPTIONS,
    );
  });

  it('is cleared by a later proof of any router, and not by an earlier one', () => {
    const router = condemnedRouter();
    router.tracker.applyProof({key: 'pdeadly', atMs: 1_100}, 1_500);
    expect(router.verdict(['pdeadly'], 1_400)).to.equal('refused');
    router.tracker.applyProof({key: 'pdeadly', atMs: 1_450}, 1_500);
    expect(router.verdict(['pdeadly'], 1_400)).to.equal('free');
    expect(router.changes.map(({is}) => is)).to.deep.equal([
      'condemned',
      'cleared',
    ]);
  });

  it('tells the others of the proof of a key that they hold evidence against', () => {
    const router = new Router();
    router.prove(['pfirst'], 100);
    expect(router.tracker.takeNews(100).proofs, 'no evidence').to.deep.equal(
      [],
    );
    router.tracker.applyCrash(noteOf(1, 5, 50, ['pfirst']), 110);
    expect(router.tracker.takeNews(110).proofs).to.deep.equal([
      {key: 'pfirst', atMs: 100},
    ]);
    router.tracker.applyCrash(noteOf(1, 6, 50, ['pfirst']), 120);
    expect(router.tracker.takeNews(120).proofs, 'told before').to.deep.equal(
      [],
    );
  });

  it('leaves no blame on what was beside a condemned part', () => {
    const router = new Router();
    for (let index = 0; index < 3; index++) {
      const beside = index < 2 ? [['w7', 'pbeside']] : [];
      const deadly = [`w${index}`, 'pdeadly'];
      router.crash(`e${index}`, [deadly, ...beside], index * APART_MS);
    }
    expect(router.verdict(['pdeadly'], 1_400)).to.equal('refused');
    // A crash that the deadly part explains, as another router saw it.
    router.crash('e9', [['w8', 'pdeadly'], ['pbeside']], 2_000);
    router.crash('e9', [['pbeside']], 2_010);
    expect(router.verdict(['pbeside'], 4_000)).to.equal('free');
    expect(router.verdict(['w7'], 4_000)).to.equal('free');
  });

  it('condemns the part although whole requests with it were condemned before', () => {
    const router = new Router();
    for (let index = 0; index < 3; index++) {
      const keys = [`w${index}`, 'pdeadly'];
      router.crash(`e${index}`, [keys], index * APART_MS);
      router.crash(`f${index}`, [keys], index * APART_MS + 10);
      const atMs = index * APART_MS + 20;
      expect(router.verdict([`w${index}`], atMs)).to.equal('refused');
    }
    expect(router.verdict(['wnew', 'pdeadly'], 1_400)).to.equal('refused');
  });

  it('refuses no sound request with the parts before the deadly one, as rare as they may be', () => {
    const router = new Router();
    for (let index = 0; index < 3; index++) {
      const keys = [`w${index}`, 'pfirst', 'psession', 'pdeadly'];
      router.crash(`e${index}`, [keys, ['wb', 'pfirst']], index * APART_MS);
    }
    const nowMs = 1_400;
    expect(router.verdict(['wnew', 'pfirst', 'psession'], nowMs)).to.equal(
      'free',
    );
    expect(router.verdict(['wnew', 'pfirst', 'pdeadly'], nowMs)).to.equal(
      'refused',
    );
  });

  it('condemns the part before at its next crash without the one condemned first', () => {
    const router = new Router();
    for (let index = 0; index < 3; index++) {
      const keys = [`w${index}`, 'pdeadly', 'psession'];
      router.crash(`e${index}`, [keys], index * APART_MS);
    }
    expect(router.verdict(['wnew', 'pdeadly', 'pother'], 1_400)).to.equal(
      'free',
    );
    router.crash('e9', [['w9', 'pdeadly', 'pother']], 1_500);
    expect(router.verdict(['wnew', 'pdeadly', 'pother'], 1_700)).to.equal(
      'refused',
    );
    expect(router.verdict(['wnew', 'pother'], 1_700)).to.equal('free');
  });

  it('lets one request through after 20 s, and refuses for twice as long after a crash', () => {
    const router = condemnedRouter();
    expect(router.verdict(['pdeadly'], 21_100, 'a')).to.equal('refused');
    expect(router.verdict(['pdeadly'], 21_300, 'a')).to.equal('probe');
    expect(router.verdict(['pdeadly'], 21_310, 'b')).to.equal('refused');
    expect(router.verdict(['pdeadly'], 21_320, 'a'), 'again').to.equal('probe');
    router.crash('e7', [['wa', 'pdeadly']], 21_400);
    expect(router.verdict(['pdeadly'], 21_410, 'a')).to.equal('refused');
    expect(router.verdict(['pdeadly'], 61_000, 'b')).to.equal('refused');
    expect(router.verdict(['pdeadly'], 61_500, 'b')).to.equal('probe');
    router.prove(['pdeadly'], 61_600);
    expect(router.verdict(['pdeadly'], 61_610, 'c')).to.equal('free');
  });

  it('refuses at routers that do not probe, until the quarantine lapses', () => {
    const router = condemnedRouter({isProber: () => false});
    expect(router.verdict(['pdeadly'], 30_000)).to.equal('refused');
    expect(router.verdict(['pdeadly'], 90_000)).to.equal('free');
  });

  it('keeps refusing at a router to which no such request came while it was new', () => {
    const router = new Router({isProber: () => false});
    for (let index = 0; index < 3; index++) {
      const atMs = index * APART_MS;
      router.tracker.applyCrash(noteOf(index, index, atMs, ['pdeadly']), atMs);
    }
    router.tracker.takeNews(1_400);
    expect(router.changes.map(({is}) => is)).to.deep.equal(['condemned']);
    expect(router.verdict(['pdeadly'], 70_000)).to.equal('refused');
  });

  it('tells a router that does not know it why a key is condemned', () => {
    const router = condemnedRouter({self: 'known'});
    router.tracker.takeNews(1_400);
    router.tracker.applyCrash(noteOf(77, 9, 1_500, ['pdeadly']), 1_510);
    const {crashes} = router.tracker.takeNews(1_510);
    const restarted = new Router({self: 'restarted'});
    restarted.crash('e9', [['w9', 'pdeadly']], 1_500);
    for (const note of crashes) restarted.tracker.applyCrash(note, 1_520);
    expect(restarted.verdict(['pdeadly'], 1_700)).to.equal('refused');
  });

  it('keeps requests apart whose keys may be condemned next', () => {
    const router = new Router();
    router.crash('e1', [['w1'], ['w2']], 0);
    router.tracker.recordStart('q', ['w1'], 'e2');
    const avoided = (key: string) => [
      ...router.tracker.endpointsToAvoid([key], 10),
    ];
    expect(avoided('w2')).to.deep.equal(['e2']);
    expect(avoided('w1'), 'the same request').to.deep.equal([]);
    expect(avoided('w3'), 'no suspect').to.deep.equal([]);
  });

  it('is no cause of a crash once its answer has begun', () => {
    const router = new Router();
    const request = router.tracker.recordStart('q', ['w1', 'p1'], 'e');
    router.tracker.recordHead(request);
    router.tracker.recordBegun(request, 5);
    const report = router.tracker.recordCrash({id: 'e'}, 10);
    expect(report.keys).to.deep.equal([]);
    expect(report.begun).to.deep.equal([request]);
  });

  it('keeps its size under ever new keys and crashes', () => {
    const router = new Router();
    for (let index = 0; index < 20_000; index++) {
      const keys = [`w${index}`, `pa${index}`, `pb${index}`];
      router.crash(`e${index}`, [keys], index * 5);
      router.prove([`w-${index}`, `pc${index}`], index * 5);
      router.tracker.applyCrash(
        noteOf(index, index, index * 5, [`pd${index}`]),
        index * 5,
      );
    }
    expect(router.tracker.size()).to.be.below(12_000);
    const news = router.tracker.takeNews(100_000);
    expect(news.crashes.length + news.proofs.length).to.be.at.most(128);
    expect(news.ownCrashes.length + news.repeated.length).to.be.at.most(128);
  });
});
