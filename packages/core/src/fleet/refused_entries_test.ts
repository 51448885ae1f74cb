import { RefusedEntries } from "./refused_entries.ts";

// Guards against a log line with each heartbeat of another writer, and against
// memory that grows with the keys that it uses.
describe("RefusedEntries", () => {
  it("reports an entry again only for another cause, or after it was used", () => {
    const entries = new RefusedEntries();
    expect(entries.record("a", "no service")).toBe(true);
    expect(entries.record("a", "no service")).toBe(false);
    expect(entries.record("a", "no address")).toBe(true);
    entries.drop("a");
    expect(entries.record("a", "no address")).toBe(true);
    expect(entries.count).toBe(1);
  });

  it("keeps a bounded number, the newest ones", () => {
    const entries = new RefusedEntries();
    for (let index = 0; index < 1_500; index++) {
      entries.record(`key-${index}`, "odd");
    }
    expect(entries.count).toBe(1_000);
    expect(entries.record("key-1499", "odd")).toBe(false);
    entries.keepOnly(new Set(["key-1499"]));
    expect(entries.count).toBe(1);
  });
});
