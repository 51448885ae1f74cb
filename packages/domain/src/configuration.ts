/** The configuration that the operators' CSV sheet describes. */

import type { ConfigurationVersion } from "./ids.ts";
import type { Route } from "./route.ts";
import type { BackendServer, Service } from "./service.ts";
import type { CallerKey, Team } from "./team.ts";

/** All records of one accepted version. */
export interface Configuration {
  readonly version: ConfigurationVersion;
  readonly services: readonly Service[];
  readonly servers: readonly BackendServer[];
  readonly routes: readonly Route[];
  readonly teams: readonly Team[];
  readonly keys: readonly CallerKey[];
}
