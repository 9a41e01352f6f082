/**
 * Checks the record of a request's runs against an independent statement of the
 * two rules, for all sequences of up to four results and each kind of route.
 */
import * as chai from 'chai';
import * as decide from '../index.js';

const {expect} = chai;

const RESULTS: readonly decide.SendResult[] = [
  'not_sent',
  'not_run',
  'ended',
  'may_run',
];
const MAX_SENDS = 4;

/** All sequences of up to `length` results. */
function sequences(length: number): decide.SendResult[][] {
  if (length === 0) return [[]];
  const shorter = sequences(length - 1);
  const longest = shorter.filter(({length: size}) => size === length - 1);
  const extended = longest.flatMap(head =>
    RESULTS.map(result => [...head, result]),
  );
  return [...shorter, ...extended];
}

const RULES: readonly decide.RunRules[] = [false, true].flatMap(isRepeatable =>
  [1, 2, 3, 4].map(maxRuns => ({isRepeatable, maxRuns})),
);

/** The endpoints that may have run the request, one for each letter. */
function statement(results: readonly decide.SendResult[]) {
  let ran = 0;
  let ranAndUp = 0;
  for (const result of results) {
    if (result === 'not_sent' || result === 'not_run') continue;
    ran += 1;
    if (result !== 'ended') ranAndUp += 1;
  }
  return {ran, ranAndUp};
}

function recordOf(
  rules: decide.RunRules,
  results: readonly decide.SendResult[],
): decide.RequestRuns {
  const runs = new decide.RequestRuns(rules);
  for (const result of results) {
    runs.begin();
    runs.end(result);
  }
  return runs;
}

describe('record of the runs of a request', () => {
  for (const rules of RULES) {
    const {isRepeatable, maxRuns} = rules;
    const name = `${isRepeatable ? 'repeatable' : 'at most once'}, ${maxRuns} runs`;

    it(`promises "not run" only of requests that no endpoint can have run (${name})`, () => {
      for (const results of sequences(MAX_SENDS)) {
        const {ran} = statement(results);
        const runs = recordOf(rules, results);
        expect(runs.isKnownNotRun, results.join()).to.equal(ran === 0);
        runs.begin();
        expect(runs.isKnownNotRun, `${results.join()} open`).to.equal(false);
      }
    });

    it(`lets a request run again only where its route allows it (${name})`, () => {
      for (const results of sequences(MAX_SENDS)) {
        const {ran, ranAndUp} = statement(results);
        const isAllowed = ran === 0 || (isRepeatable && ranAndUp < maxRuns);
        const runs = recordOf(rules, results);
        expect(runs.maySend(), results.join()).to.equal(isAllowed);
        runs.begin();
        expect(runs.maySend(), `${results.join()} open`).to.equal(false);
        const mayFollow = isRepeatable && ranAndUp + 1 < maxRuns;
        expect(runs.maySendAfterOpen(), `${results.join()} open`).to.equal(
          mayFollow,
        );
      }
    });
  }

  it('never lets a request that may run once reach a second endpoint that could run it', () => {
    const rules = {isRepeatable: false, maxRuns: 1};
    for (const results of sequences(MAX_SENDS)) {
      const runs = new decide.RequestRuns(rules);
      const performed: decide.SendResult[] = [];
      for (const result of results) {
        if (!runs.maySend()) break;
        runs.begin();
        runs.end(result);
        performed.push(result);
      }
      expect(statement(performed).ran, results.join()).to.be.at.most(1);
    }
  });

  it('counts a send without a result as a run', () => {
    const runs = new decide.RequestRuns({isRepeatable: true, maxRuns: 2});
    runs.begin();
    expect(runs.isKnownNotRun).to.equal(false);
    expect(String(runs)).to.equal('open');
    expect(() => runs.begin()).to.throw('no result yet');
    runs.end('not_run');
    expect(runs.isKnownNotRun).to.equal(true);
    expect(() => runs.end('not_run')).to.throw('no send was begun');
  });
});
