/** HTML page with the results of a load. */
import type { GroupSummary, LoadSummary, Quantiles } from './summary.js';

const width = 720;
const height = 180;

const escape = (text: string) => text.replaceAll('&', '&amp;').replaceAll('<', '&lt;');
const tableCell = (text: string) => `<td>${escape(text)}</td>`;
const formatQuantiles = ({
  p50, p95, p99, max,
}: Quantiles) => [p50, p95, p99, max]
  .map((ms) => ms.toFixed(1)).join(' / ');
const formatOutcomes = (outcomes: Record<string, number>) => Object.entries(outcomes)
  .map(([name, n]) => `${name} ${n}`).join(', ');

function lineChart(values: readonly number[]): string {
  const maxValue = Math.max(1, ...values);
  const x = (i: number) => (i / Math.max(1, values.length - 1)) * width;
  const points = values.map((v, i) => `${x(i).toFixed(1)},${(height - (v / maxValue) * height).toFixed(1)}`);
  return `<svg viewBox="0 -10 ${width} ${height + 20}" width="${width}"><polyline fill="none" stroke="#246" stroke-width="1.5" points="${points.join(' ')}"/><text x="4" y="4" font-size="11">${maxValue.toFixed(0)} tokens/s</text></svg>`;
}

function barChart(groups: readonly GroupSummary[]): string {
  const maxTokensPerSecond = Math.max(1, ...groups.map((g) => g.tokensPerSecond));
  const rowHeight = 18;
  const rows = groups.map(({ org, tokensPerSecond }, i) => {
    const y = i * rowHeight;
    return `<rect x="140" y="${y}" height="12" width="${((tokensPerSecond / maxTokensPerSecond) * 500).toFixed(1)}" fill="#69a"/><text x="0" y="${y + 11}" font-size="11">${escape(org)}</text><text x="650" y="${y + 11}" font-size="11">${tokensPerSecond.toFixed(0)}</text>`;
  });
  return `<svg viewBox="0 0 ${width} ${groups.length * rowHeight}" width="${width}">${rows.join('')}</svg>`;
}

const tableRow = (g: GroupSummary) => `<tr>${[
  g.org, g.kind, String(g.sent), formatOutcomes(g.outcomes), g.tokensPerSecond.toFixed(0),
  formatQuantiles(g.firstMs), formatQuantiles(g.gapMs),
].map(tableCell).join('')}</tr>`;

/** Renders a self-contained page, without external resources. */
export function htmlReport(summary: LoadSummary): string {
  const chats = summary.groups.filter(({ kind }) => kind === 'chat');
  return `<!doctype html><meta charset="utf-8"><title>verbenashunt load</title>
<style>body{font:14px sans-serif;margin:2em}td,th{padding:2px 8px;border-bottom:1px solid #ddd;text-align:left}</style>
<h1>Load results</h1>
<p>${summary.sent} requests in ${(summary.durationMs / 1000).toFixed(0)} s, seed ${summary.seed}; ${formatOutcomes(summary.outcomes)}; goodput ${summary.goodput.toFixed(0)} tokens/s.</p>
<p>Milliseconds at p50 / p95 / p99 / max: first token ${formatQuantiles(summary.firstMs)}; between tokens ${formatQuantiles(summary.gapMs)}; until a refusal ${formatQuantiles(summary.refusalMs)}.</p>
<h2>Tokens per second of completed answers</h2>${lineChart(summary.timeline.tokensPerSecond)}
<h2>Tokens per second by organisation</h2>${barChart(chats)}
<h2>Organisations</h2><table><tr><th>organisation<th>kind<th>sent<th>outcomes<th>tokens/s<th>first token ms<th>between tokens ms</tr>
${summary.groups.map(tableRow).join('\n')}</table>
`;
}
