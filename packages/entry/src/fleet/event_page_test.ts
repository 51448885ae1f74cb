import { readFileSync } from "node:fs";
import * as path from "node:path";

import { buildEventPage } from "./event_page.ts";

const PAGE = path.join(
  __dirname,
  "../../../../docs/operators/events.md",
);

describe("page of log lines", () => {
  it("is the one made from the catalogue", () => {
    expect(readFileSync(PAGE, "utf8")).toBe(buildEventPage());
  });
});
