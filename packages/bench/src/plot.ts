/** Plots as SVG, written as strings. */
import type * as experiments from './experiment.js';

const WIDTH_PX = 640;
const HEIGHT_PX = 320;
const MARGIN_PX = {left: 64, right: 130, top: 36, bottom: 44};
const TICKS = 5;
const COLORS = ['#1f6feb', '#d1242f', '#2da44e', '#8250df', '#bf8700'];

interface Scale {
  readonly least: number;
  readonly most: number;
  place(value: number): number;
}

/** Text that is safe within HTML and SVG. */
export function escape(text: string): string {
  return text
    .replaceAll('&', '&amp;')
    .replaceAll('<', '&lt;')
    .replaceAll('>', '&gt;');
}

function scale(values: readonly number[], fromPx: number, toPx: number): Scale {
  const least = Math.min(0, ...values);
  const most = Math.max(least + Number.EPSILON, ...values);
  const factor = (toPx - fromPx) / (most - least);
  return {least, most, place: value => fromPx + (value - least) * factor};
}

function ticks({least, most}: Scale): number[] {
  const step = (most - least) / TICKS;
  return [...Array(TICKS + 1).keys()].map(index => least + index * step);
}

function label(value: number): string {
  if (value !== 0 && Math.abs(value) < 10) return value.toFixed(2);
  return value.toFixed(0);
}

function text(x: number, y: number, content: string, anchor: string): string {
  const at = `x="${x.toFixed(1)}" y="${y.toFixed(1)}"`;
  return `<text ${at} text-anchor="${anchor}">${escape(content)}</text>`;
}

function line(x1: number, y1: number, x2: number, y2: number): string {
  const from = `x1="${x1.toFixed(1)}" y1="${y1.toFixed(1)}"`;
  const to = `x2="${x2.toFixed(1)}" y2="${y2.toFixed(1)}"`;
  return `<line ${from} ${to} stroke="#d0d7de"/>`;
}

function axes(x: Scale, y: Scale, plot: experiments.Plot): string[] {
  const {left, right, bottom, top} = MARGIN_PX;
  const endX = WIDTH_PX - right;
  const endY = HEIGHT_PX - bottom;
  const rows = ticks(y).flatMap(value => [
    line(left, y.place(value), endX, y.place(value)),
    text(left - 6, y.place(value) + 4, label(value), 'end'),
  ]);
  const columns = ticks(x).map(value =>
    text(x.place(value), endY + 18, label(value), 'middle'),
  );
  return [
    ...rows,
    ...columns,
    text((left + endX) / 2, HEIGHT_PX - 8, plot.xLabel, 'middle'),
    text(left - 50, top - 8, plot.yLabel, 'start'),
  ];
}

/** One plot as an SVG element. */
export function draw(plot: experiments.Plot): string {
  const {left, right, top, bottom} = MARGIN_PX;
  const points = plot.series.flatMap(series => series.points);
  const x = scale(
    points.map(point => point[0]),
    left,
    WIDTH_PX - right,
  );
  const y = scale(
    points.map(point => point[1]),
    HEIGHT_PX - bottom,
    top,
  );
  const lines = plot.series.flatMap((series, index) => {
    const color = COLORS[index % COLORS.length]!;
    const path = series.points
      .map(([px, py]) => `${x.place(px).toFixed(1)},${y.place(py).toFixed(1)}`)
      .join(' ');
    const legendY = top + 16 * (index + 1);
    return [
      `<polyline points="${path}" fill="none" stroke="${color}" stroke-width="2"/>`,
      `<g fill="${color}">${text(WIDTH_PX - right + 8, legendY, series.name, 'start')}</g>`,
    ];
  });
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH_PX}" height="${HEIGHT_PX}" font-family="sans-serif" font-size="12">`,
    `<g font-size="14">${text(left, 16, plot.title, 'start')}</g>`,
    ...axes(x, y, plot),
    ...lines,
    '</svg>',
  ].join('\n');
}
