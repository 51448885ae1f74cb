import { readFileSync } from "node:fs";
import * as path from "node:path";

import { buildEventPage } from "./event_page.ts";

// docs/operators/events.md is generated; it becomes outdated when an event in
// log_events.ts changes and the page is not generated again.
const PAGE = path.join(
  __dirname,
  "../../../../docs/operators/events.md",
);

describe("log event reference page", () => {
  it("matches the page generated from the event catalogue", () => {
    expect(readFileSync(PAGE, "utf8")).toBe(buildEventPage());
  });
});
