// Writes the pages that are made from the code. Needs a build.
import { writeFileSync } from "node:fs";

import { buildEventPage } from "../packages/entry/dist/fleet/event_page.js";

writeFileSync("docs/operators/events.md", buildEventPage());
