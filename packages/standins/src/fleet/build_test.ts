import { execFileSync } from "node:child_process";
import { cpSync, mkdirSync, rmSync, symlinkSync } from "node:fs";
import * as path from "node:path";

import { request } from "undici";

import { buildBundle, BUNDLE_DIRECTORY } from "./bundle.ts";
import { getVm } from "./fleet_lookup.ts";
import { FleetProcesses } from "./fleet_processes.ts";
import { VM_PORTS } from "./vm_ports.ts";

const COPY = path.resolve(`${BUNDLE_DIRECTORY}-copy`);

function readCommit(): string {
  return execFileSync("git", ["rev-parse", "--short", "HEAD"], {
    encoding: "utf8",
  }).trim();
}

function fetchCopyVersion(): string {
  execFileSync(process.execPath, ["tools/bundle.js"], { cwd: COPY });
  return execFileSync(process.execPath, [
    path.join(COPY, "target/limpetctl.js"),
    "--version",
  ], { encoding: "utf8" }).trim();
}

// Guards against VMs of which nobody can tell which build they run.
describe("the build", () => {
  afterEach(() => {
    rmSync(COPY, { recursive: true, force: true });
  });

  it("stands in the start line and the metrics of a VM", async () => {
    buildBundle();
    const fleet = new FleetProcesses();
    try {
      await fleet.start({ servers: 1, zones: [1] });
      const vm = getVm(fleet);
      expect(vm.log).toMatch(
        new RegExp(`"build":"${readCommit()}".*"message":"started"`),
      );
      const url = `http://${vm.host}:${VM_PORTS.metrics}/metrics`;
      const { body } = await request(url);
      expect(await body.text()).toContain(
        `limpetford_build_info{build="${readCommit()}"} 1\n`,
      );
    } finally {
      await fleet.stop();
    }
  });

  it("is unknown for sources that were copied into another repository", () => {
    mkdirSync(COPY, { recursive: true });
    for (
      const name of ["tools", "packages", "package.json", "tsconfig.base.json"]
    ) {
      cpSync(name, path.join(COPY, name), {
        recursive: true,
        filter: (source) => !/\/(dist|node_modules)$/.test(source),
      });
    }
    symlinkSync(path.resolve("node_modules"), path.join(COPY, "node_modules"));
    expect(fetchCopyVersion()).toBe("0.1.0+unknown");
    execFileSync("git", ["init", "--quiet"], { cwd: COPY });
    expect(fetchCopyVersion()).toBe("0.1.0+unknown");
  });
});
