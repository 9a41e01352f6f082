/** Tests of the bench's report. */
import * as chai from 'chai';
import type * as experiments from '../experiment.js';
import * as reports from '../report.js';

function createResult(
  strategy: 'naive' | 'owner',
  value: number,
): experiments.ExperimentResult {
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

function createReport(ownerReuse: number): reports.Report {
  return {
    command: 'npm run bench',
    startedAt: '',
    tookMs: 1,
    machineLoad: [1, 2],
    results: [createResult('naive', 0.3), createResult('owner', ownerReuse)],
  };
}

describe('report', () => {
  it('prints both strategies in one row, with the verdict', () => {
    const row = '| reuse | erdwerk | reuse | 30.0% | 96.0% | >= 95.0% | met |';
    chai.expect(reports.toMarkdown(createReport(0.96))).to.include(row);
  });

  it('reports a value below its target and NaN as missed', () => {
    chai
      .expect(reports.toMarkdown(createReport(0.94)))
      .to.include('| missed |');
    chai
      .expect(reports.toMarkdown(createReport(Number.NaN)))
      .to.include('| missed |');
  });

  it('draws the lines of both strategies into one plot and escapes text', () => {
    const page = reports.toHtml(createReport(0.96));
    chai.expect(page.split('<svg')).to.have.length(2);
    chai.expect(page.split('<polyline')).to.have.length(3);
    chai.expect(page).to.include('&lt;</text>');
  });
});
