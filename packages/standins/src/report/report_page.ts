/** Renders a gray failure measurement as one static HTML page with plots. */

import type { GrayReport } from "../measure/gray/gray_command.ts";
import type { ScenarioSummary } from "../measure/gray/summary.ts";

/** Plotting library, embedded so that the page needs no network. */
export interface ReportAssets {
  /** JavaScript that defines `uPlot`. */
  readonly script: string;
  /** CSS of the plots. */
  readonly style: string;
}

/** Draws one plot per sample; runs in the browser. */
const PLOT_SCRIPT = `
const palette = ["#1b6ca8", "#c0392b", "#27ae60", "#8e44ad"];
for (const [index, sample] of samples.entries()) {
  const container = document.getElementById("plots");
  const points = sample.run.timeline;
  const title = [sample.scenario, sample.site, sample.run.policy].join(" - ");
  const axis = points.map((point) => point.atMs / 1000);
  new uPlot({
    title,
    width: 900,
    height: 220,
    scales: { x: { time: false }, share: { range: [0, 1.05] } },
    axes: [
      { label: "seconds" },
      { scale: "share", label: "share of slots" },
      { scale: "ms", side: 1, label: "p99, ms", grid: { show: false } },
    ],
    series: [
      { label: "s" },
      { label: "capacity", scale: "share", stroke: palette[0] },
      { label: "floor", scale: "share", stroke: palette[1], dash: [6, 4] },
      { label: "p99", scale: "ms", stroke: palette[3] },
      { label: "out of rotation at all VMs", scale: "count", stroke: palette[2] },
    ],
  }, [
    axis,
    points.map((point) => point.capacity),
    points.map(() => sample.floor),
    points.map((point) => point.p99Ms),
    points.map((point) => point.leftOutByAll.length),
  ], container);
  const list = document.createElement("p");
  const changes = [];
  let previous = "";
  for (const point of points) {
    const current = point.leftOutByAll.join(", ");
    if (current !== previous) {
      changes.push((point.atMs / 1000).toFixed(1) + " s: " + (current || "none"));
    }
    previous = current;
  }
  list.textContent = "Out of rotation at all VMs: " +
    (changes.length === 0 ? "none" : changes.join("; "));
  container.append(list);
}
`;

/**
 * Renders the table of scenarios and the plots of the sample runs.
 *
 * @param report - results of the measurement
 * @param assets - plotting library to embed
 * @returns the HTML document
 */
export function renderReport(
  report: GrayReport,
  assets: ReportAssets,
): string {
  const rows = report.summaries.map(renderRow).join("\n");
  const data = JSON.stringify(report.samples).replaceAll("<", "\\u003c");
  return `<!doctype html>
<html lang="en">
<meta charset="utf-8">
<title>limpetford: gray failures</title>
<style>${assets.style}
body { font: 14px sans-serif; margin: 2em; }
td, th { border: 1px solid #ccc; padding: 2px 6px; text-align: right; }
table { border-collapse: collapse; margin-bottom: 2em; }</style>
<h1>Gray failures, seeds ${encodeHtml(report.seeds)}</h1>
<table>
<tr><th>scenario<th>size<th>policy<th>found<th>p50 ms<th>p99 ms
<th>false ejections per server-hour<th>capacity<th>floor
<th>worst team's success<th>its p99<th>p99 without fault
<th>refused within rate<th>extra load</tr>
${rows}
</table>
<div id="plots"></div>
<script>${assets.script}</script>
<script>const samples = ${data};${PLOT_SCRIPT}</script>
</html>
`;
}

function renderRow(summary: ScenarioSummary): string {
  const cells = [
    summary.scenario,
    summary.site,
    summary.policy,
    `${summary.grayServers - summary.undetected} of ${summary.grayServers}`,
    summary.detectionP50Ms?.toFixed(0) ?? "",
    summary.detectionP99Ms?.toFixed(0) ?? "",
    summary.falseEjectionsPerServerHour.toFixed(2),
    summary.leastCapacity.toFixed(2),
    summary.floor.toFixed(2),
    `${(100 * summary.worstTeamSuccess).toFixed(2)} %`,
    summary.worstTeamP99Ms.toFixed(0),
    summary.worstTeamP99NoFaultMs.toFixed(0),
    `${(100 * summary.wrongfulRefusalShare).toFixed(3)} %`,
    `${(100 * summary.extraLoadShare).toFixed(1)} %`,
  ];
  return `<tr>${cells.map((cell) => `<td>${encodeHtml(cell)}`).join("")}</tr>`;
}

function encodeHtml(text: string): string {
  return text.replaceAll("&", "&amp;").replaceAll("<", "&lt;");
}
