/** Renders an upgrade as one static HTML page. */

import type { ReportAssets } from "../report/report_page.ts";
import type { UpgradeResult } from "./upgrade_run.ts";

const MS_PER_S = 1_000;
const STATUS_OK = 200;
const PAGE_WIDTH = 1_000;
const BAR_HEIGHT = 18;
const LABEL_WIDTH = 60;
const COLORS = ["#1b6ca8", "#27ae60"];

/** Requests by the second in which they were sent. */
export interface SecondCounts {
  readonly served: readonly number[];
  /** Answered, but not with success. */
  readonly refused: readonly number[];
  /** Not answered. */
  readonly unanswered: readonly number[];
}

/** Draws the rates; runs in the browser. */
const PLOT_SCRIPT = `
new uPlot({
  width: ${PAGE_WIDTH}, height: 260,
  scales: { x: { time: false } },
  axes: [{ label: "seconds" }, { label: "requests per second", size: ${LABEL_WIDTH} }],
  series: [{ label: "s" },
    { label: "served", stroke: "#27ae60" },
    { label: "refused", stroke: "#e67e22" },
    { label: "unanswered", stroke: "#c0392b" }],
}, [counts.served.map((_, second) => second), counts.served, counts.refused,
  counts.unanswered], document.getElementById("rates"));
`;

/**
 * Renders rates, versions per VM on a time line, events and broken rules.
 *
 * @param result - what was seen in a run
 * @param assets - plotting library to embed
 * @returns the HTML document
 */
export function renderUpgradePage(
  result: UpgradeResult,
  assets: ReportAssets,
): string {
  const { seed, startedAtMs, events, violations, sent } = result;
  const counts = countBySecond(result);
  const served = counts.served.reduce((sum, count) => sum + count, 0);
  const formatSeconds = (atMs: number): string =>
    ((atMs - startedAtMs) / MS_PER_S).toFixed(1);
  const rows = [...events].sort((a, b) => a.atMs - b.atMs).map((event) =>
    `<tr><td>${formatSeconds(event.atMs)}<td>${encodeHtml(event.what)}</tr>`
  );
  const breaches = violations.length === 0
    ? "<p>No rule was broken.</p>"
    : `<ul>${
      violations.map((text) => `<li>${encodeHtml(text)}`).join("\n")
    }</ul>`;
  return `<!doctype html>
<html lang="en">
<meta charset="utf-8">
<title>limpetford: upgrade</title>
<style>${assets.style}
body { font: 14px sans-serif; margin: 2em; }
td { padding: 2px 6px; }</style>
<h1>Upgrade, seed ${seed}</h1>
<p>${served} of ${sent.length} requests served.</p>
${breaches}
<div id="rates"></div>
<h2>Builds</h2>
${renderLives(result)}
<h2>Events</h2>
<table><tr><td>s<td>what</tr>
${rows.join("\n")}
</table>
<script>${assets.script}</script>
<script>const counts = ${JSON.stringify(counts)};${PLOT_SCRIPT}</script>
</html>
`;
}

/**
 * Counts requests by the second in which they were sent.
 *
 * @param result - what was seen in a run
 * @returns counts from the start of the run on
 */
export function countBySecond(
  { sent, startedAtMs, endedAtMs }: Pick<
    UpgradeResult,
    "sent" | "startedAtMs" | "endedAtMs"
  >,
): SecondCounts {
  const length = Math.ceil((endedAtMs - startedAtMs) / MS_PER_S);
  const createCounts = (): number[] => Array.from({ length }, () => 0);
  const counts = {
    served: createCounts(),
    refused: createCounts(),
    unanswered: createCounts(),
  };
  for (const { sentAtMs, response } of sent) {
    const status = response?.status ?? 0;
    const list = status === STATUS_OK
      ? counts.served
      : status === 0
      ? counts.unanswered
      : counts.refused;
    const second = Math.floor((sentAtMs - startedAtMs) / MS_PER_S);
    list[second] = (list[second] ?? 0) + 1;
  }
  return counts;
}

function renderLives(result: UpgradeResult): string {
  const { lives, disturbances, startedAtMs, endedAtMs } = result;
  const vms = [...new Set(lives.map(({ vm }) => vm))];
  const builds = [...new Set(lives.map(({ build }) => build))];
  const toX = (atMs: number): number =>
    LABEL_WIDTH + (PAGE_WIDTH - LABEL_WIDTH) *
      (Math.min(atMs, endedAtMs) - startedAtMs) / (endedAtMs - startedAtMs);
  const renderBar = (bar: Bar, attributes: string): string => {
    const x = toX(bar.fromMs);
    const y = vms.indexOf(bar.vm) * BAR_HEIGHT;
    const width = toX(bar.toMs ?? endedAtMs) - x;
    return `<rect x="${x.toFixed(1)}" y="${y + 2}" ` +
      `width="${width.toFixed(1)}" height="${BAR_HEIGHT - 4}" ${attributes}>` +
      `<title>${encodeHtml(bar.title)}</title></rect>`;
  };
  const bars = [
    ...lives.map((life) =>
      renderBar(
        { ...life, title: `${life.vm}: ${life.build}` },
        `fill="${COLORS[builds.indexOf(life.build)] ?? ""}"`,
      )
    ),
    ...disturbances.map((disturbance) =>
      renderBar(
        { ...disturbance, title: disturbance.what },
        'fill="#c0392b" fill-opacity="0.6"',
      )
    ),
  ];
  const labels = vms.map((vm, index) =>
    `<text x="0" y="${(index + 1) * BAR_HEIGHT - 5}">${encodeHtml(vm)}</text>`
  );
  const legend = builds.map((build, index) =>
    `<span style="color:${COLORS[index] ?? ""}">&#9632;</span> ` +
    encodeHtml(build)
  );
  return `<p>${legend.join(" ")} <span style="color:#c0392b">&#9632;</span> ` +
    "killed or standing still</p>\n" +
    `<svg width="${PAGE_WIDTH}" height="${vms.length * BAR_HEIGHT}">` +
    `${labels.join("")}${bars.join("")}</svg>`;
}

interface Bar {
  readonly vm: string;
  readonly title: string;
  readonly fromMs: number;
  readonly toMs: number | undefined;
}

function encodeHtml(text: string): string {
  return text.replaceAll("&", "&amp;").replaceAll("<", "&lt;");
}
