import { parseDirectoryQuery } from "./directory_call.ts";

describe("parseDirectoryQuery", () => {
  it("reads host, region and zone", () => {
    expect(
      parseDirectoryQuery("/resolution?name=a.example&region=r&zone=z%2D1"),
    )
      .toEqual({ host: "a.example", region: "r", zone: "z-1" });
  });

  // Guards against a target that ends the process of a VM: an exception in the
  // request handler is not caught.
  it.each(["//", "///resolution", "http://", "/\\", "*", "", "/%", "//[", "?"])(
    "takes no other target: %j",
    (target) => {
      expect(parseDirectoryQuery(target)).toBeUndefined();
    },
  );

  it("takes a query that is malformed", () => {
    expect(parseDirectoryQuery("/resolution?name=%&&=%zz#")).toEqual({
      host: "%",
      region: "",
      zone: "",
    });
  });
});
