import { VmProcessHandle } from "../fleet/vm_process_handle.ts";
import { findBuildName, listLives } from "./version_timeline.ts";

const OLD = { name: "old", program: { scriptPath: "old.js" } };
const NEW = { name: "new", program: { scriptPath: "new.js" } };

// The fleet's first program is a copy with other settings beside it.
it("names the build of an equal program", () => {
  expect(findBuildName([OLD, NEW], { ...NEW.program, nodeFlags: [] }))
    .toBe("new");
  expect(() => findBuildName([OLD], NEW.program)).toThrow(
    "no build has the program new.js",
  );
});

it("tells the processes of a VM apart by build and log", () => {
  const vm = new VmProcessHandle({
    id: "vm-1",
    host: "127.0.0.1",
    zone: "zone-0",
    cores: 1,
    settingsPath: "",
    storeAddress: { host: "127.0.0.1", port: 1 },
    program: OLD.program,
  });
  vm.log = "one\ntwo\n";
  vm.starts.push(
    { atMs: 1, program: OLD.program, logLength: 0 },
    { atMs: 6, program: NEW.program, logLength: 4 },
  );
  vm.ends.push({ atMs: 5, code: 0, wasStopped: true });
  expect(listLives([vm], [OLD, NEW])).toEqual([
    {
      vm: "vm-1",
      build: "old",
      fromMs: 1,
      toMs: 5,
      exitCode: 0,
      wasStopped: true,
      log: "one\n",
    },
    {
      vm: "vm-1",
      build: "new",
      fromMs: 6,
      toMs: undefined,
      exitCode: undefined,
      wasStopped: false,
      log: "two\n",
    },
  ]);
});
