/** The series as one self-contained HTML page of small SVG plots. */
import type { Series } from './series.js';

const width = 260;
const height = 170;
const margin = 44;

const short = (value: number) => Intl.NumberFormat('en', { notation: 'compact', maximumSignificantDigits: 3 }).format(value);
const escape = (text: string) => text.replaceAll('&', '&amp;').replaceAll('<', '&lt;');

function plot({
  role, per, of, unit, points, fit,
}: Series): string {
  const maxX = Math.max(...points.map(({ x }) => x));
  const maxY = Math.max(...points.map(({ y }) => y), fit.intercept) * 1.1;
  const at = (x: number, y: number) => [
    margin + (x / maxX) * (width - 2 * margin),
    height - margin - (Math.max(0, y) / maxY) * (height - 2 * margin),
  ].map((value) => value.toFixed(1));
  const [x1, y1] = at(0, fit.intercept);
  const [x2, y2] = at(maxX, fit.intercept + fit.slope * maxX);
  const dots = points.map(({ x, y }) => {
    const [cx, cy] = at(x, y);
    return `<circle cx="${cx}" cy="${cy}" r="3"/>`;
  });
  return `<svg width="${width}" height="${height}" font-family="sans-serif" font-size="10">
<text x="4" y="12">${escape(`${role}: ${of} by ${per}`)}</text>
<text x="4" y="26" fill="#555">${short(fit.slope)} ± ${short(fit.slopeError)} ${escape(unit)} each, R² ${fit.r2.toFixed(2)}</text>
<path d="M${margin} ${margin}V${height - margin}H${width - margin}" fill="none" stroke="#888"/>
<text x="4" y="${margin + 4}">${short(maxY)}</text><text x="${width - margin}" y="${height - margin + 14}">${short(maxX)}</text>
<path d="M${x1} ${y1}L${x2} ${y2}" stroke="#06c"/>${dots.join('')}</svg>`;
}

export const pageOf = (series: readonly Series[], title: string) => `<!doctype html><meta charset="utf-8"><title>${escape(title)}</title>
<h1 style="font-family:sans-serif">${escape(title)}</h1>${series.map(plot).join('\n')}\n`;
