/** Tests of the report. */
import * as chai from 'chai';
import type * as experiments from '../experiment.js';
import * as reports from '../report.js';

function result(
  strategy: 'naive' | 'owner',
  value: number,
): experiments.Result {
  return {
    experiment: 'reuse',
    seed: 1,
    deployment: 'erdwerk',
    strategy,
    tookMs: 1,
    notes: [],
    figures: [{name: 'reuse', unit: 'share', value, target: {atLeast: 0.95}}],
    plots: [
      {
        title: 'Reuse',
        xLabel: 's',
        yLabel: '<',
        series: [{name: strategy, points: [[0, value]]}],
      },
    ],
  };
}

function report(owner: number): reports.Report {
  return {
    command: 'npm run bench',
    startedAt: '',
    tookMs: 1,
    machineLoad: [1, 2],
    results: [result('naive', 0.3), result('owner', owner)],
  };
}

describe('report', () => {
  it('puts the baseline beside the chosen design, with the verdict', () => {
    const line = '| reuse | erdwerk | reuse | 30.0% | 96.0% | >= 95.0% | met |';
    chai.expect(reports.markdown(report(0.96))).to.include(line);
  });

  it('calls a missed target missed', () => {
    chai.expect(reports.markdown(report(0.94))).to.include('| missed |');
    chai.expect(reports.markdown(report(Number.NaN))).to.include('| missed |');
  });

  it('draws both lines into one plot and escapes text', () => {
    const page = reports.html(report(0.96));
    chai.expect(page.split('<svg')).to.have.length(2);
    chai.expect(page.split('<polyline')).to.have.length(3);
    chai.expect(page).to.include('&lt;</text>');
  });
});
