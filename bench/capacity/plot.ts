/** Renders series as a self-contained HTML page with one SVG plot each. */
import type { Series } from './series.js';

const width = 260;
const height = 170;
const margin = 44;

const formatCompact = (value: number) => Intl.NumberFormat('en', { notation: 'compact', maximumSignificantDigits: 3 }).format(value);
const escapeHtml = (text: string) => text.replaceAll('&', '&amp;').replaceAll('<', '&lt;');

function plot({
  role, per, of, unit, points, fit,
}: Series): string {
  const maxX = Math.max(...points.map(({ x }) => x));
  const maxY = Math.max(...points.map(({ y }) => y), fit.intercept) * 1.1;
  const toPixels = (x: number, y: number) => [
    margin + (x / maxX) * (width - 2 * margin),
    height - margin - (Math.max(0, y) / maxY) * (height - 2 * margin),
  ].map((value) => value.toFixed(1));
  const [x1, y1] = toPixels(0, fit.intercept);
  const [x2, y2] = toPixels(maxX, fit.intercept + fit.slope * maxX);
  const dots = points.map(({ x, y }) => {
    const [cx, cy] = toPixels(x, y);
    return `<circle cx="${cx}" cy="${cy}" r="3"/>`;
  });
  return `<svg width="${width}" height="${height}" font-family="sans-serif" font-size="10">
<text x="4" y="12">${escapeHtml(`${role}: ${of} by ${per}`)}</text>
<text x="4" y="26" fill="#555">${formatCompact(fit.slope)} ± ${formatCompact(fit.slopeError)} ${escapeHtml(unit)} each, R² ${fit.r2.toFixed(2)}</text>
<path d="M${margin} ${margin}V${height - margin}H${width - margin}" fill="none" stroke="#888"/>
<text x="4" y="${margin + 4}">${formatCompact(maxY)}</text><text x="${width - margin}" y="${height - margin + 14}">${formatCompact(maxX)}</text>
<path d="M${x1} ${y1}L${x2} ${y2}" stroke="#06c"/>${dots.join('')}</svg>`;
}

export const renderPage = (series: readonly Series[], title: string) => `<!doctype html><meta charset="utf-8"><title>${escapeHtml(title)}</title>
<h1 style="font-family:sans-serif">${escapeHtml(title)}</h1>${series.map(plot).join('\n')}\n`;
