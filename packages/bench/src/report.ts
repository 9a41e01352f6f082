/** The bench's report, as a Markdown table and as HTML with plots. */
import * as experiments from './experiment.js';
import * as plots from './plot.js';

/** Content of a report, written as it is to the JSON file. */
export interface Report {
  readonly command: string;
  readonly startedAt: string;
  readonly tookMs: number;
  /** One-minute load average of the machine, at the start and the end. */
  readonly machineLoad: readonly [number, number];
  readonly results: readonly experiments.ExperimentResult[];
}

interface Row {
  readonly experiment: string;
  readonly deployment: string;
  readonly figure: experiments.Figure;
  naive: string;
  owner: string;
  verdict: string;
}

const COLUMNS = [
  'experiment',
  'deployment',
  'figure',
  'naive',
  'owner',
  'target',
  'verdict',
];

function format(value: number, unit: string): string {
  if (!Number.isFinite(value)) return 'none';
  if (unit === 'share') return `${(value * 100).toFixed(1)}%`;
  const digits = Math.abs(value) >= 100 || Number.isInteger(value) ? 0 : 2;
  return `${value.toFixed(digits)}${unit && ` ${unit}`}`;
}

function formatTarget({target, unit}: experiments.Figure): string {
  if (!target) return '';
  if (target.atLeast !== undefined) return `>= ${format(target.atLeast, unit)}`;
  return `<= ${format(target.atMost ?? 0, unit)}`;
}

function formatVerdict({target, value}: experiments.Figure): string {
  if (!target) return '';
  return experiments.meetsTarget(value, target) ? 'met' : 'missed';
}

function toRows(results: readonly experiments.ExperimentResult[]): Row[] {
  const byKey = new Map<string, Row>();
  for (const {experiment, deployment, strategy, figures} of results) {
    for (const figure of figures) {
      const key = [experiment, deployment, figure.name].join('\n');
      const row = byKey.get(key) ?? {
        experiment,
        deployment,
        figure,
        naive: '',
        owner: '',
        verdict: '',
      };
      row[strategy] = format(figure.value, figure.unit);
      if (strategy === 'owner') row.verdict = formatVerdict(figure);
      byKey.set(key, row);
    }
  }
  return [...byKey.values()].sort(
    (a, b) => experimentIndex(a) - experimentIndex(b),
  );
}

function experimentIndex({experiment}: Row): number {
  return (experiments.EXPERIMENTS as readonly string[]).indexOf(experiment);
}

function toCells(row: Row): string[] {
  const {experiment, deployment, figure, naive, owner} = row;
  const target = formatTarget(figure);
  return [
    experiment,
    deployment,
    figure.name,
    naive,
    owner,
    target,
    row.verdict,
  ];
}

function markdownRow(values: readonly string[]): string {
  return `| ${values.join(' | ')} |`;
}

function toRemarks(report: Report): string[] {
  const seeds = report.results.map(
    ({experiment, seed}) => `${experiment} ${seed}`,
  );
  const loads = report.machineLoad.map(load => load.toFixed(1));
  const seconds = (report.tookMs / 1_000).toFixed(0);
  return [
    `command: ${report.command}`,
    `seeds: ${[...new Set(seeds)].join(', ')}`,
    `started ${report.startedAt}, took ${seconds} s; load average of the ` +
      `machine ${loads.join(' at the start, ')} at the end`,
    ...report.results.flatMap(result => result.notes),
  ];
}

/** Renders the report as a Markdown table with remarks. */
export function toMarkdown(report: Report): string {
  return [
    markdownRow(COLUMNS),
    markdownRow(COLUMNS.map(() => '---')),
    ...toRows(report.results).map(row => markdownRow(toCells(row))),
    '',
    ...toRemarks(report).map(remark => `- ${remark}`),
  ].join('\n');
}

/** Merges plots of the same title into one plot with all their lines. */
function mergePlots(results: readonly experiments.ExperimentResult[]) {
  const plotByTitle = new Map<string, experiments.Plot>();
  for (const plot of results.flatMap(result => result.plots)) {
    const previousPlot = plotByTitle.get(plot.title);
    const series = [...(previousPlot?.series ?? []), ...plot.series];
    plotByTitle.set(plot.title, {...plot, series});
  }
  return [...plotByTitle.values()];
}

function htmlRow(values: readonly string[], tag: string): string {
  const cells = values.map(
    value => `<${tag}>${plots.escapeHtml(value)}</${tag}>`,
  );
  return `<tr>${cells.join('')}</tr>`;
}

/** Renders the report as an HTML page. */
export function toHtml(report: Report): string {
  return [
    '<!doctype html><meta charset="utf-8"><title>oleanderrock bench</title>',
    '<style>body{font:14px sans-serif;margin:2em}td,th{padding:2px 10px;text-align:left;border-bottom:1px solid #d0d7de}</style>',
    '<h1>oleanderrock bench</h1>',
    '<table>',
    htmlRow(COLUMNS, 'th'),
    ...toRows(report.results).map(row => htmlRow(toCells(row), 'td')),
    '</table>',
    '<ul>',
    ...toRemarks(report).map(remark => `<li>${plots.escapeHtml(remark)}</li>`),
    '</ul>',
    ...mergePlots(report.results).map(plots.drawPlot),
    '',
  ].join('\n');
}
