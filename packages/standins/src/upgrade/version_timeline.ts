/** Which build each VM ran when. */

import type { VmProcessHandle } from "../fleet/vm_process_handle.ts";
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
      const build = builds.find(({ program }) =>
        program.scriptPath === start.program.scriptPath
      );
      return {
        vm: id,
        build: build?.name ?? "",
        fromMs: start.atMs,
        toMs: end?.atMs,
        exitCode: end?.code,
        wasStopped: end?.wasStopped === true,
        log: log.slice(start.logLength, starts[index + 1]?.logLength),
      };
    })
  );
}
