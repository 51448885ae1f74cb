import { execFileSync } from "node:child_process";
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";

import {
  listInstalled,
  parseDeployFile,
  prepareBuild,
} from "./build_folder.ts";

const GOOD_BUILD = "mkdir target; echo 1 > target/limpetford.js; echo >> count";

// Guards against a run whose builds are not the commits that were asked for.
describe("prepareBuild", () => {
  let repository: string;
  beforeEach(() => {
    repository = fs.mkdtempSync(path.join(os.tmpdir(), "builds-"));
    runGit("init", "--quiet");
  });
  afterEach(() => {
    fs.rmSync(repository, { recursive: true });
  });

  function runGit(...args: readonly string[]): void {
    const identity = ["-c", "user.name=test", "-c", "user.email=test@invalid"];
    execFileSync("git", [...identity, ...args], { cwd: repository });
  }

  function addCommit(build: string): void {
    fs.mkdirSync(path.join(repository, "deploy"), { recursive: true });
    fs.writeFileSync(
      path.join(repository, "deploy/system.toml"),
      `build = "${build}"\nrun = "node --flag target/limpetford.js fleet"\n`,
    );
    runGit("add", ".");
    runGit("commit", "--quiet", "--message", "a commit");
  }

  it("refuses an unknown commit", () => {
    addCommit("true");
    expect(() => prepareBuild("e3ec2a7", { repository })).toThrow(
      "this repository has no commit e3ec2a7",
    );
  });

  it("says why a commit doesn't build", () => {
    addCommit("echo broken >&2; false");
    expect(() => prepareBuild("HEAD", { repository })).toThrow(
      "commit HEAD doesn't build: broken",
    );
  });

  it("refuses a build that makes no program", () => {
    addCommit("true");
    expect(() => prepareBuild("HEAD", { repository })).toThrow(
      "its build made no target/limpetford.js",
    );
  });

  // Guards against what happened once: npm ci cleared the repository's packages.
  it("lends its packages so that a build can't clear them", () => {
    const installed = path.join(repository, "node_modules/zod/index.js");
    fs.mkdirSync(path.dirname(installed), { recursive: true });
    fs.writeFileSync(installed, "");
    fs.writeFileSync(path.join(repository, ".gitignore"), "node_modules\n");
    fs.writeFileSync(
      path.join(repository, "package-lock.json"),
      JSON.stringify({ packages: { "node_modules/zod": { version: "4" } } }),
    );
    const steps = [
      "[ node_modules -nt package-lock.json ]",
      "[ -f node_modules/zod/index.js ]",
      "rm -r node_modules/*",
      GOOD_BUILD,
    ];
    addCommit(steps.join(" && "));
    prepareBuild("HEAD", { repository });
    expect(fs.existsSync(installed)).toBe(true);
  });

  it("builds by the commit's own deploy file, and once only", () => {
    addCommit(GOOD_BUILD);
    addCommit("false");
    const first = prepareBuild("HEAD~1", { repository });
    expect(first.program.nodeFlags).toEqual(["--flag"]);
    expect(prepareBuild("HEAD~1", { repository })).toEqual(first);
    const folder = path.dirname(path.dirname(first.program.scriptPath ?? ""));
    expect(fs.readFileSync(path.join(folder, "count"), "utf8")).toBe("\n");
  });
});

describe("parseDeployFile", () => {
  it("finds nothing in a file of another form", () => {
    expect(parseDeployFile('build = "make"\n')).toBeUndefined();
  });
});

describe("listInstalled", () => {
  it("is equal if only a workspace package asks for something else", () => {
    const zod = { version: "4.6.7" };
    const [before, after, other] = [
      { "packages/peer": {}, "node_modules/zod": zod },
      { "packages/peer": { version: "2" }, "node_modules/zod": zod },
      { "packages/peer": {}, "node_modules/zod": { version: "4.6.8" } },
    ].map((packages) => listInstalled(JSON.stringify({ packages })));
    expect(after).toEqual(before);
    expect(other).not.toEqual(before);
  });
});
