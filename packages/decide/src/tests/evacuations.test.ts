/** Tests which record of an evacuation holds. */
import * as chai from 'chai';
import * as fc from 'fast-check';
import * as decide from '../index.js';

const {expect} = chai;

const PROPERTY_PARAMETERS = {seed: 20_261_206, numRuns: 200};

const ZONES = ['a', 'b', 'c'];

const history = fc
  .array(fc.tuple(fc.constantFrom(...ZONES), fc.boolean()), {maxLength: 12})
  .map(rows =>
    rows.map(([zone, isEvacuated], offset) => ({zone, offset, isEvacuated})),
  );

describe('the evacuations', () => {
  it('are those of the newest records, in whatever order they come', () => {
    const shuffled = history.chain(records =>
      fc.tuple(
        fc.constant(records),
        fc.shuffledSubarray(records, {minLength: records.length}),
        fc.shuffledSubarray(records),
      ),
    );
    fc.assert(
      fc.property(shuffled, ([records, arrivals, repeats]) => {
        const evacuations = new decide.NewestEvacuations();
        for (const record of [...arrivals, ...repeats]) {
          evacuations.apply(record);
        }
        for (const zone of ZONES) {
          const newest = records.findLast(record => record.zone === zone);
          expect(evacuations.isEvacuated(zone)).to.equal(
            newest?.isEvacuated ?? false,
          );
        }
      }),
      PROPERTY_PARAMETERS,
    );
  });

  it('count as new once, and an older record never', () => {
    const evacuations = new decide.NewestEvacuations();
    const ordered = {zone: 'a', offset: 4, isEvacuated: true};
    expect(evacuations.apply(ordered)).to.equal(true);
    expect(evacuations.apply(ordered)).to.equal(false);
    const outdated = {zone: 'a', offset: 3, isEvacuated: false};
    expect(evacuations.apply(outdated)).to.equal(false);
    expect(evacuations.isEvacuated('a')).to.equal(true);
  });

  it('are all told in turn, the latest first, however many there are', () => {
    const evacuations = new decide.NewestEvacuations();
    for (let offset = 0; offset < 30; offset++) {
      evacuations.apply({zone: `z${offset}`, offset, isEvacuated: true});
    }
    const turns = [1, 2, 3].map(() => evacuations.takeTurn(12));
    expect(turns[0]![0]!.zone).to.equal('z29');
    const told = new Set(turns.flat().map(({zone}) => zone));
    expect(told.size).to.equal(30);
  });

  it('are remembered as withdrawn for so many zones only, and as in force for all', () => {
    const evacuations = new decide.NewestEvacuations();
    for (let offset = 0; offset < 2_000; offset++) {
      const isEvacuated = offset % 10 === 0;
      evacuations.apply({zone: `z${offset}`, offset, isEvacuated});
    }
    expect(evacuations.all()).to.have.length(200 + 256);
    expect(evacuations.isEvacuated('z0')).to.equal(true);
  });
});
