/** Which build each VM ran when. */

import type { VmProcessHandle, VmProgram } from "../fleet/vm_process_handle.ts";
import type { UpgradeBuild } from "./build_folder.ts";
import type { VmLife } from "./upgrade_checks.ts";

/**
 * Lists the processes of VMs.
 *
 * @param vms - VMs
 * @param builds - builds that they ran
 * @returns all processes, by VM
 */
export function listLives(
  vms: readonly VmProcessHandle[],
  builds: readonly UpgradeBuild[],
): readonly VmLife[] {
  return vms.flatMap(({ id, log, starts, ends }) =>
    starts.map((start, index) => {
      const end = ends[index];
      return {
        vm: id,
        build: findBuildName(builds, start.program),
        fromMs: start.atMs,
        toMs: end?.atMs,
        exitCode: end?.code,
        wasStopped: end?.wasStopped === true,
        log: log.slice(start.logLength, starts[index + 1]?.logLength),
      };
    })
  );
}

/**
 * Finds the name of the build that a program belongs to.
 *
 * @param builds - builds of a run
 * @param program - program of a VM
 * @returns its name
 * @throws Error if it is none of these builds
 */
export function findBuildName(
  builds: readonly UpgradeBuild[],
  program: VmProgram,
): string {
  const found = builds.find((build) =>
    build.program.scriptPath === program.scriptPath
  );
  if (found === undefined) {
    throw new Error(`no build has the program ${String(program.scriptPath)}`);
  }
  return found.name;
}
