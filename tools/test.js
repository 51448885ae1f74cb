// Runs jest with the given arguments. Without any, tests whose own load fills the
// machine run behind the others, one at a time. A failure of a test that KNOWN-RED.txt
// names in a line "passed over: FILE | TEST" is printed and does not count;
// any other failure does.
import { spawnSync } from "node:child_process";
import { mkdirSync, readFileSync, rmSync } from "node:fs";
import { dirname, join, relative } from "node:path";
import { fileURLToPath } from "node:url";

const root = join(dirname(fileURLToPath(import.meta.url)), "..");
const resultsFile = join(root, "out", "test_results.json");
const PASSED_OVER = /^\s*passed over: (\S+) \| (.+)$/gm;

/** Tests that run apart from all other load. */
const APART = "_crowd_test";

mkdirSync(dirname(resultsFile), { recursive: true });
const given = process.argv.slice(2);
const runs = given.length > 0
  ? [given]
  : [[`--testPathIgnorePatterns=${APART}`], ["--runInBand", APART]];

const knownRed = new Set(
  [...readFileSync(join(root, "KNOWN-RED.txt"), "utf8").matchAll(PASSED_OVER)]
    .map(([, file, test]) => `${file} | ${test}`),
);
const hasOtherFailure = runs.map((args) => runJest(args)).includes(true);
process.exit(hasOtherFailure ? 1 : 0);

// Prints the failures of one run; returns true if one of them is not known.
function runJest(args) {
  rmSync(resultsFile, { force: true });
  const jest = spawnSync(
    process.execPath,
    [
      join(root, "node_modules/jest/bin/jest.js"),
      "--json",
      `--outputFile=${resultsFile}`,
      ...args,
    ],
    // The results are in the file; standard output would repeat them.
    { cwd: root, stdio: ["ignore", "ignore", "inherit"] },
  );
  if (jest.status === 0) {
    return false;
  }
  const results = JSON.parse(readFileSync(resultsFile, "utf8"));
  const failures = listFailures(results).map((name) => ({
    name,
    isKnown: knownRed.has(name),
  }));
  for (const { name, isKnown } of failures) {
    console.log(`${isKnown ? "passed over (KNOWN-RED.txt)" : "failed"}: ${name}`);
  }
  return jest.status !== 1 || failures.some(({ isKnown }) => !isKnown);
}

// Lists failed tests, and files that failed without a failed test.
function listFailures({ testResults }) {
  return testResults.filter(({ status }) => status === "failed").flatMap(
    ({ name, assertionResults }) => {
      const file = relative(root, name);
      const failed = assertionResults.filter(({ status }) => status === "failed");
      return failed.length === 0
        ? [`${file} | the file itself`]
        : failed.map(({ fullName }) => `${file} | ${fullName}`);
    },
  );
}
