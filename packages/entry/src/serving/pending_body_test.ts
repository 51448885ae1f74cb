import { PendingBody } from "./pending_body.ts";

describe("the end of a body that is held back", () => {
  it("is joined, whole and in its order", () => {
    const body = new PendingBody();
    const given = Array.from({ length: 9_000 }, (_, index) => `${index};`);
    const taken = given.map((text) => body.add(Buffer.from(text)));
    const parts = [...taken, body.take()].filter((part) => part !== undefined);
    expect(parts.map((part) => part.toString()).join("")).toBe(given.join(""));
    expect(parts).toHaveLength(3);
  });

  it("is none after it was taken", () => {
    const body = new PendingBody();
    body.add(Buffer.from("a"));
    body.take();
    expect(body.take()).toBeUndefined();
  });
});
