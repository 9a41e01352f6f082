/** The bench's report: a Markdown table, JSON, and HTML with plots. */
import * as experiments from './experiment.js';
import * as plots from './plot.js';

/** What a report is made of. */
export interface Report {
  readonly command: string;
  readonly startedAt: string;
  readonly tookMs: number;
  /** Load average of the machine over a minute, at the start and the end. */
  readonly machineLoad: readonly [number, number];
  readonly results: readonly experiments.Result[];
}

interface Row {
  readonly experiment: string;
  readonly deployment: string;
  readonly figure: experiments.Figure;
  naive: string;
  owner: string;
  verdict: string;
}

const HEAD = [
  'experiment',
  'deployment',
  'figure',
  'naive',
  'owner',
  'target',
  'verdict',
];

function print(value: number, unit: string): string {
  if (!Number.isFinite(value)) return 'none';
  if (unit === 'share') return `${(value * 100).toFixed(1)}%`;
  const digits = Math.abs(value) >= 100 || Number.isInteger(value) ? 0 : 2;
  return `${value.toFixed(digits)}${unit && ` ${unit}`}`;
}

function printTarget({target, unit}: experiments.Figure): string {
  if (!target) return '';
  if (target.atLeast !== undefined) return `>= ${print(target.atLeast, unit)}`;
  return `<= ${print(target.atMost ?? 0, unit)}`;
}

function verdict({target, value}: experiments.Figure): string {
  if (!target) return '';
  return experiments.isMet(value, target) ? 'met' : 'missed';
}

function rows(results: readonly experiments.Result[]): Row[] {
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
      row[strategy] = print(figure.value, figure.unit);
      if (strategy === 'owner') row.verdict = verdict(figure);
      byKey.set(key, row);
    }
  }
  return [...byKey.values()].sort((a, b) => rank(a) - rank(b));
}

function rank({experiment}: Row): number {
  return (experiments.EXPERIMENTS as readonly string[]).indexOf(experiment);
}

function cells(row: Row): string[] {
  const {experiment, deployment, figure, naive, owner} = row;
  const target = printTarget(figure);
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

function remarks(report: Report): string[] {
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

/** The report as a Markdown table with remarks. */
export function markdown(report: Report): string {
  return [
    markdownRow(HEAD),
    markdownRow(HEAD.map(() => '---')),
    ...rows(report.results).map(row => markdownRow(cells(row))),
    '',
    ...remarks(report).map(remark => `- ${remark}`),
  ].join('\n');
}

/** Plots of the same title become one, with all their lines. */
function mergePlots(results: readonly experiments.Result[]) {
  const merged = new Map<string, experiments.Plot>();
  for (const plot of results.flatMap(result => result.plots)) {
    const known = merged.get(plot.title);
    const series = [...(known?.series ?? []), ...plot.series];
    merged.set(plot.title, {...plot, series});
  }
  return [...merged.values()];
}

function htmlRow(values: readonly string[], tag: string): string {
  const all = values.map(value => `<${tag}>${plots.escape(value)}</${tag}>`);
  return `<tr>${all.join('')}</tr>`;
}

/** The report as a page. */
export function html(report: Report): string {
  return [
    '<!doctype html><meta charset="utf-8"><title>oleanderrock bench</title>',
    '<style>body{font:14px sans-serif;margin:2em}td,th{padding:2px 10px;text-align:left;border-bottom:1px solid #d0d7de}</style>',
    '<h1>oleanderrock bench</h1>',
    '<table>',
    htmlRow(HEAD, 'th'),
    ...rows(report.results).map(row => htmlRow(cells(row), 'td')),
    '</table>',
    '<ul>',
    ...remarks(report).map(remark => `<li>${plots.escape(remark)}</li>`),
    '</ul>',
    ...mergePlots(report.results).map(plots.draw),
    '',
  ].join('\n');
}
