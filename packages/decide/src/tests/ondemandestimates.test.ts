/** Estimates are made only where endpoints tell how long work takes. */
import * as chai from 'chai';
import * as decide from '../index.js';

const {expect} = chai;

const WORK = {pool: 'p', route: 'r', promptTokens: 100, sharedTokens: 0};
const ENDPOINT = {id: 'e1', holdsPrefix: false};
const ANSWERS = 20;

function estimatesWith(isAlwaysOn: boolean): decide.OnDemandStartEstimates {
  const learned = new decide.LearnedStartEstimates({
    load: {inFlight: () => 0},
    workLeft: new decide.AgingWorkLeft(),
  });
  return new decide.OnDemandStartEstimates({learned, isAlwaysOn});
}

function answer(
  estimates: decide.OnDemandStartEstimates,
  load: decide.EndpointLoad,
): void {
  for (let count = 0; count < ANSWERS; count++) {
    const atMs = count * 100;
    const sent = estimates.recordSend(WORK, ENDPOINT, atMs);
    estimates.recordLoad(ENDPOINT.id, load, atMs + 20);
    estimates.recordFirstEvent(sent, atMs + 20);
    estimates.recordEnd(sent, atMs + 50, true);
  }
}

describe('estimates on demand', () => {
  const plainLoad = {running: 1, waiting: 0, slots: 8};

  it('learn nothing while no endpoint tells how long work takes', () => {
    const estimates = estimatesWith(false);
    answer(estimates, plainLoad);
    expect(estimates.isOn).to.equal(false);
    expect(estimates.estimate(WORK, ENDPOINT, 3_000)).to.equal(undefined);
  });

  it('are made from the first endpoint on that tells it', () => {
    const estimates = estimatesWith(false);
    answer(estimates, {...plainLoad, pacePercent: 100});
    expect(estimates.isOn).to.equal(true);
    expect(
      estimates.estimate(WORK, ENDPOINT, 3_000)?.firstEventMs,
    ).to.be.within(10, 40);
  });

  it('are always made if they are asked for', () => {
    const estimates = estimatesWith(true);
    answer(estimates, plainLoad);
    expect(estimates.estimate(WORK, ENDPOINT, 3_000)).to.not.equal(undefined);
  });

  it('let requests be placed by their number while there are none', () => {
    const estimates = estimatesWith(false);
    const fallback = {
      choose: (
        request: decide.DirectPlacementRequest,
        [first]: readonly decide.DirectCandidate[],
      ) => first && {endpoint: first, reason: 'least' as const},
    };
    const random = {nextFloat: () => 0, nextInt: () => 0};
    const placement = new decide.CostPlacement({estimates, fallback, random});
    const candidates = [
      {id: 'e1', zone: 'z', inFlight: 9},
      {id: 'e2', zone: 'z', inFlight: 0},
    ];
    const choice = placement.choose({zone: 'z', work: WORK}, candidates);
    expect(choice?.endpoint.id).to.equal('e1');
  });
});
