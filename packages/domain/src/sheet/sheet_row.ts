/** Schemas of the row kinds of the operators' sheet. */

import * as z from "zod";

import type {
  KeyHash,
  RouteId,
  ServerId,
  ServiceId,
  TeamId,
  ZoneId,
} from "../ids.ts";
import { toId } from "../ids.ts";
import type { Route } from "../route.ts";
import { ROUTE_ACCESS } from "../route.ts";
import type { BackendServer, Service } from "../service.ts";
import { SERVER_STATE } from "../service.ts";
import type { CallerKey, Team } from "../team.ts";
import {
  buildAddressCell,
  buildBooleanCell,
  buildDecimalCell,
  buildEnumCell,
  buildHashCell,
  buildIntegerCell,
  buildMethodCell,
  buildNameCell,
  buildPathCell,
  buildShareCell,
} from "./sheet_cell.ts";
import type { RowKind } from "./sheet_column.ts";
import { SHEET_COLUMN } from "./sheet_column.ts";

/** The record that a valid row describes. */
export type SheetRow =
  | { readonly kind: "service"; readonly service: Service }
  | { readonly kind: "server"; readonly server: BackendServer }
  | { readonly kind: "route"; readonly route: Route }
  | { readonly kind: "team"; readonly team: Team }
  | { readonly kind: "key"; readonly key: CallerKey };

const MAX_SLOTS = 10_000;
const MAX_CONNECTIONS = 1_000_000;
const MAX_DEADLINE_MS = 3_600_000;
const MAX_BODY_BYTES = 1_073_741_824;
const MAX_DERIVED_KEY_WINDOW_MS = 86_400_000;
const MAX_RATE_PER_SECOND = 1_000_000;
const MAX_BURST = 10_000_000;
const MAX_FALSE_EJECTIONS_PER_DAY = 1_000;
// Smallest valid rate, in requests per second, and smallest valid weight.
const MIN_POSITIVE = 0.001;
const MAX_WEIGHT = 1_000;

const C = SHEET_COLUMN;

const serviceSchema = z.object({
  [C.name]: buildNameCell(),
  [C.floor]: buildShareCell(),
  [C.falseEjections]: buildDecimalCell({
    min: 0,
    max: MAX_FALSE_EJECTIONS_PER_DAY,
  }),
  [C.healthPath]: buildPathCell(),
}).transform((cells): SheetRow => ({
  kind: "service",
  service: {
    id: toId<ServiceId>(cells[C.name]),
    floor: cells[C.floor],
    falseEjectionsPerServerDay: cells[C.falseEjections],
    healthPath: cells[C.healthPath],
  },
}));

const serverSchema = z.object({
  [C.name]: buildNameCell(),
  [C.service]: buildNameCell(),
  [C.zone]: buildNameCell(),
  [C.address]: buildAddressCell(),
  [C.slots]: buildIntegerCell({ min: 1, max: MAX_SLOTS }),
  [C.connections]: buildIntegerCell({ min: 1, max: MAX_CONNECTIONS }),
  [C.state]: buildEnumCell(Object.values(SERVER_STATE), SERVER_STATE.active),
}).transform((cells): SheetRow => ({
  kind: "server",
  server: {
    id: toId<ServerId>(cells[C.name]),
    service: toId<ServiceId>(cells[C.service]),
    zone: toId<ZoneId>(cells[C.zone]),
    address: cells[C.address],
    slots: cells[C.slots],
    connections: cells[C.connections],
    state: cells[C.state],
  },
}));

const routeSchema = z.object({
  [C.name]: buildNameCell(),
  [C.service]: buildNameCell(),
  [C.method]: buildMethodCell(),
  [C.path]: buildPathCell(),
  [C.access]: buildEnumCell(Object.values(ROUTE_ACCESS)),
  [C.repeatable]: buildBooleanCell(),
  [C.deadline]: buildIntegerCell({ min: 1, max: MAX_DEADLINE_MS }),
  [C.bodyLimit]: buildIntegerCell({ min: 0, max: MAX_BODY_BYTES }),
  [C.derivedKeyWindow]: buildIntegerCell({
    min: 0,
    max: MAX_DERIVED_KEY_WINDOW_MS,
    defaultValue: 0,
  }),
}).transform((cells): SheetRow => ({
  kind: "route",
  route: {
    id: toId<RouteId>(cells[C.name]),
    service: toId<ServiceId>(cells[C.service]),
    method: cells[C.method],
    pathPrefix: cells[C.path],
    access: cells[C.access],
    isIdempotent: cells[C.repeatable],
    deadlineMs: cells[C.deadline],
    bodyLimitBytes: cells[C.bodyLimit],
    derivedKeyWindowMs: cells[C.derivedKeyWindow],
  },
}));

const teamSchema = z.object({
  [C.name]: buildNameCell(),
  [C.rate]: buildDecimalCell({ min: MIN_POSITIVE, max: MAX_RATE_PER_SECOND }),
  [C.burst]: buildIntegerCell({ min: 1, max: MAX_BURST }),
  [C.weight]: buildDecimalCell({
    min: MIN_POSITIVE,
    max: MAX_WEIGHT,
    defaultValue: 1,
  }),
}).transform((cells): SheetRow => ({
  kind: "team",
  team: {
    id: toId<TeamId>(cells[C.name]),
    ratePerSecond: cells[C.rate],
    burst: cells[C.burst],
    weight: cells[C.weight],
  },
}));

const keySchema = z.object({
  [C.team]: buildNameCell(),
  [C.keyHash]: buildHashCell(),
}).transform((cells): SheetRow => ({
  kind: "key",
  key: {
    team: toId<TeamId>(cells[C.team]),
    hash: toId<KeyHash>(cells[C.keyHash]),
  },
}));

/** Schema of each row kind; the input maps column names to cell text. */
export const ROW_SCHEMAS: Readonly<Record<RowKind, z.ZodType<SheetRow>>> = {
  service: serviceSchema,
  server: serverSchema,
  route: routeSchema,
  team: teamSchema,
  key: keySchema,
};
