import { describeException } from "./exception_report.ts";

const MAX_TOTAL_LENGTH = 2_500;

function createUnreadable(): unknown {
  return new Proxy(new Error("hidden"), {
    get: () => {
      throw new Error("unreadable");
    },
  });
}

class OddError extends Error {
  override readonly message = Symbol("odd") as unknown as string;
}

// Guards against an exception that ends the process while it is put into words.
describe("describeException", () => {
  it("tells cause and stack", () => {
    const { cause, stack } = describeException(new TypeError("wrong"));
    expect(cause).toBe("TypeError: wrong");
    expect(stack).toContain("exception_report_test");
    expect(stack).not.toContain("wrong");
  });

  it.each([undefined, null, "text", 7, Symbol("odd"), []])(
    "puts %p into words",
    (thrown) => {
      expect(describeException(thrown)).toEqual({
        cause: String(thrown),
        stack: "",
      });
    },
  );

  it.each([
    ["a proxy that throws", createUnreadable()],
    ["an object without a prototype", Object.create(null) as unknown],
    ["a message that is no text", new OddError()],
  ])("survives %s", (_name, thrown) => {
    expect(describeException(thrown).cause).not.toBe("");
  });

  it("bounds long messages and stacks", () => {
    const error = new Error("x".repeat(1_000_000));
    const { cause, stack } = describeException(error);
    expect(cause.length + stack.length).toBeLessThanOrEqual(MAX_TOTAL_LENGTH);
  });
});
