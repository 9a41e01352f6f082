/** Renders plots as SVG strings. */
import type * as experiments from './experiment.js';

const WIDTH_PX = 640;
const HEIGHT_PX = 320;
const MARGIN_PX = {left: 64, right: 130, top: 36, bottom: 44};
const TICK_INTERVALS = 5;
const COLORS = ['#1f6feb', '#d1242f', '#2da44e', '#8250df', '#bf8700'];

interface AxisScale {
  readonly min: number;
  readonly max: number;
  toPixel(value: number): number;
}

/** Escapes text for use as content of HTML and SVG elements. */
export function escapeHtml(text: string): string {
  return text
    .replaceAll('&', '&amp;')
    .replaceAll('<', '&lt;')
    .replaceAll('>', '&gt;');
}

function createScale(
  values: readonly number[],
  fromPx: number,
  toPx: number,
): AxisScale {
  const min = Math.min(0, ...values);
  const max = Math.max(min + Number.EPSILON, ...values);
  const pxPerUnit = (toPx - fromPx) / (max - min);
  return {min, max, toPixel: value => fromPx + (value - min) * pxPerUnit};
}

function tickValues({min, max}: AxisScale): number[] {
  const step = (max - min) / TICK_INTERVALS;
  return [...Array(TICK_INTERVALS + 1).keys()].map(index => min + index * step);
}

function formatTick(value: number): string {
  if (value !== 0 && Math.abs(value) < 10) return value.toFixed(2);
  return value.toFixed(0);
}

function textElement(
  x: number,
  y: number,
  content: string,
  anchor: string,
): string {
  const position = `x="${x.toFixed(1)}" y="${y.toFixed(1)}"`;
  return `<text ${position} text-anchor="${anchor}">${escapeHtml(content)}</text>`;
}

function gridLine(x1: number, y1: number, x2: number, y2: number): string {
  const from = `x1="${x1.toFixed(1)}" y1="${y1.toFixed(1)}"`;
  const to = `x2="${x2.toFixed(1)}" y2="${y2.toFixed(1)}"`;
  return `<line ${from} ${to} stroke="#d0d7de"/>`;
}

function drawAxes(
  x: AxisScale,
  y: AxisScale,
  plot: experiments.Plot,
): string[] {
  const {left, right, bottom, top} = MARGIN_PX;
  const endX = WIDTH_PX - right;
  const endY = HEIGHT_PX - bottom;
  const rows = tickValues(y).flatMap(value => [
    gridLine(left, y.toPixel(value), endX, y.toPixel(value)),
    textElement(left - 6, y.toPixel(value) + 4, formatTick(value), 'end'),
  ]);
  const columns = tickValues(x).map(value =>
    textElement(x.toPixel(value), endY + 18, formatTick(value), 'middle'),
  );
  return [
    ...rows,
    ...columns,
    textElement((left + endX) / 2, HEIGHT_PX - 8, plot.xLabel, 'middle'),
    textElement(left - 50, top - 8, plot.yLabel, 'start'),
  ];
}

/** Renders a plot as an SVG element. */
export function drawPlot(plot: experiments.Plot): string {
  const {left, right, top, bottom} = MARGIN_PX;
  const points = plot.series.flatMap(series => series.points);
  const x = createScale(
    points.map(point => point[0]),
    left,
    WIDTH_PX - right,
  );
  const y = createScale(
    points.map(point => point[1]),
    HEIGHT_PX - bottom,
    top,
  );
  const lines = plot.series.flatMap((series, index) => {
    const color = COLORS[index % COLORS.length]!;
    const path = series.points
      .map(
        ([px, py]) => `${x.toPixel(px).toFixed(1)},${y.toPixel(py).toFixed(1)}`,
      )
      .join(' ');
    const legendY = top + 16 * (index + 1);
    return [
      `<polyline points="${path}" fill="none" stroke="${color}" stroke-width="2"/>`,
      `<g fill="${color}">${textElement(WIDTH_PX - right + 8, legendY, series.name, 'start')}</g>`,
    ];
  });
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH_PX}" height="${HEIGHT_PX}" font-family="sans-serif" font-size="12">`,
    `<g font-size="14">${textElement(left, 16, plot.title, 'start')}</g>`,
    ...drawAxes(x, y, plot),
    ...lines,
    '</svg>',
  ].join('\n');
}
