// Formats the workspace's TypeScript with the formatter behind `deno fmt`, or
// with --check only lists the files that differ.
import { createFromBuffer } from "@dprint/formatter";
import { getPath } from "@dprint/typescript";
import { readdirSync, readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";

const SKIPPED = new Set(["node_modules", "dist", "generated"]);

function listFiles(directory) {
  return readdirSync(directory, { withFileTypes: true }).flatMap((entry) => {
    const path = join(directory, entry.name);
    if (entry.isDirectory()) {
      return SKIPPED.has(entry.name) ? [] : listFiles(path);
    }
    return entry.name.endsWith(".ts") ? [path] : [];
  });
}

const formatter = createFromBuffer(readFileSync(getPath()));
formatter.setConfig({ lineWidth: 80 }, { deno: true });
const isCheck = process.argv.includes("--check");
let changed = 0;
for (const filePath of listFiles("packages")) {
  const before = readFileSync(filePath, "utf8");
  const after = formatter.formatText({ filePath, fileText: before });
  if (after !== before) {
    changed += 1;
    console.log(`${isCheck ? "differs" : "formatted"}: ${filePath}`);
    if (!isCheck) {
      writeFileSync(filePath, after);
    }
  }
}
process.exitCode = isCheck && changed > 0 ? 1 : 0;
