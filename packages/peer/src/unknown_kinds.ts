/** Drops from messages what is of a kind that only later builds know. */

import { EVIDENCE } from "@limpetford/core/placement/gray_failure_estimator";
import { SUSPICION_STATUS } from "@limpetford/core/quarantine/suspicion";
import { ROUTE_ACCESS } from "@limpetford/domain/route";
import { SERVER_STATE } from "@limpetford/domain/service";

/** An object or a list whose form is not checked yet. */
type Fields = Readonly<Record<string, unknown>>;

// Where a row says its kind, and the kinds that this build knows.
interface KindRule {
  readonly readKind: (row: Fields) => unknown;
  readonly known: ReadonlySet<string>;
}

const EVIDENCE_RULE: KindRule = {
  readKind: (row) => row[1],
  known: new Set(Object.values(EVIDENCE)),
};
const SUSPICION_RULE: KindRule = {
  readKind: (row) => row["status"],
  known: new Set(Object.values(SUSPICION_STATUS)),
};
const SERVER_RULE: KindRule = {
  readKind: ({ server }) => isFields(server) ? server["state"] : undefined,
  known: new Set(Object.values(SERVER_STATE)),
};
const ROUTE_RULE: KindRule = {
  readKind: (row) => row["access"],
  known: new Set(Object.values(ROUTE_ACCESS)),
};

const DROP_BY_FIELD: ReadonlyMap<string, (value: unknown) => unknown> = new Map(
  [
    ["evidence", (rows) => dropRows(rows, EVIDENCE_RULE)],
    [
      "report",
      (report) =>
        isFields(report)
          ? { ...report, evidence: dropRows(report["evidence"], EVIDENCE_RULE) }
          : report,
    ],
    ["servers", (update) => dropFrom(update, "changes", SERVER_RULE)],
    [
      "suspicions",
      (suspicions) =>
        Array.isArray(suspicions)
          ? dropRows(suspicions, SUSPICION_RULE)
          : dropFrom(suspicions, "rows", SUSPICION_RULE),
    ],
    [
      "configuration",
      (configuration) =>
        dropFrom(configuration, "routes", ROUTE_RULE) === configuration
          ? configuration
          : undefined,
    ],
  ],
);

/**
 * Drops rows of unknown kinds from a message. A list that lost rows is marked as
 * incomplete, so that the receiver reads the store. A configuration with a route
 * of an unknown kind is dropped as a whole.
 *
 * @param message - any message of another VM, unchecked
 * @returns the rest, still unchecked
 */
export function dropUnknownKinds(message: unknown): unknown {
  return isFields(message) && !Array.isArray(message)
    ? Object.fromEntries(
      Object.entries(message).map(([name, value]) => {
        const drop = DROP_BY_FIELD.get(name);
        return [name, drop === undefined ? value : drop(value)];
      }),
    )
    : message;
}

function dropFrom(value: unknown, name: string, rule: KindRule): unknown {
  if (!isFields(value)) {
    return value;
  }
  const rows = dropRows(value[name], rule);
  return rows === value[name]
    ? value
    : { ...value, [name]: rows, isComplete: false };
}

// Rows of a wrong form stay; the check of the message refuses it.
function dropRows(rows: unknown, { readKind, known }: KindRule): unknown {
  if (!Array.isArray(rows)) {
    return rows;
  }
  const kept = rows.filter((row: unknown) => {
    const kind = isFields(row) ? readKind(row) : undefined;
    return typeof kind !== "string" || known.has(kind);
  });
  return kept.length === rows.length ? rows : kept;
}

function isFields(value: unknown): value is Fields {
  return typeof value === "object" && value !== null;
}
