/**
 * Measures how resource use grows with size and writes docs/capacity.json and
 * the tables of docs/CAPACITY.md.
 */

import { readFileSync, writeFileSync } from "node:fs";

import { renderPage } from "./capacity_page.ts";
import { type CapacityRow, measureRow } from "./capacity_row.ts";
import { buildConfigurationProbes } from "./configuration_probes.ts";
import { buildFleetProbes } from "./fleet_probes.ts";
import { buildSelectionProbes } from "./selection_probes.ts";
import { buildStartProbes } from "./start_probes.ts";
import { buildStateProbes } from "./state_probes.ts";
import { buildTrafficProbes } from "./traffic_probes.ts";

const JSON_PATH = "docs/capacity.json";
const PAGE_PATH = "docs/CAPACITY.md";

const PROBES = [
  ...buildConfigurationProbes(),
  ...buildStateProbes(),
  ...buildSelectionProbes(),
  ...buildTrafficProbes(),
  ...buildStartProbes(),
  ...buildFleetProbes(),
];

async function measureAllRows(): Promise<readonly CapacityRow[]> {
  const rows: CapacityRow[] = [];
  for (const probe of PROBES) {
    const row = await measureRow(probe);
    console.log(`${row.id}: ${row.atTarget.toPrecision(3)} ${row.unit}`);
    rows.push(row);
  }
  return rows;
}

function readRows(): readonly CapacityRow[] {
  return JSON.parse(readFileSync(JSON_PATH, "utf8")) as CapacityRow[];
}

async function run(): Promise<void> {
  const isPageOnly = process.argv.includes("--page-only");
  const rows = isPageOnly ? readRows() : await measureAllRows();
  if (!isPageOnly) {
    writeFileSync(JSON_PATH, `${JSON.stringify(rows, undefined, 2)}\n`);
  }
  const page = readFileSync(PAGE_PATH, "utf8");
  writeFileSync(PAGE_PATH, renderPage(page, rows));
}

await run();
