import { CollectedExceptions } from "../fakes/collected_exceptions.ts";
import { stopParts } from "./part_stop.ts";

// Guards against a process that is held by parts which no one stopped.
it("stops the parts behind one that throws", async () => {
  const exceptions = new CollectedExceptions();
  const stopped: string[] = [];
  await stopParts([
    {
      stop: (): void => {
        throw new Error("fault at a stop");
      },
    },
    { close: () => Promise.reject(new Error("fault at a close")) },
    { stop: (): unknown => stopped.push("last") },
  ], exceptions);
  expect(stopped).toEqual(["last"]);
  expect(exceptions.sources).toEqual(["stop", "stop"]);
});
