/** Parses and validates YAML settings; errors have line numbers. */

import { makeError, makeOk, type Result } from "@limpetford/domain/result";
import {
  type Document,
  isMap,
  isNode,
  isScalar,
  LineCounter,
  parseDocument,
} from "yaml";
import type * as z from "zod";

import type { SettingsError } from "./settings_error.ts";
import { type SettingsDocument, settingsSchema } from "./settings_schema.ts";

/**
 * Parses the settings of an entry VM.
 *
 * @param text - content of the YAML file
 * @returns the settings with defaults, or all errors with their lines
 */
export function parseSettings(
  text: string,
): Result<SettingsDocument, readonly SettingsError[]> {
  return parseWithSchema(text, settingsSchema);
}

/**
 * Parses a YAML text and validates it against a schema.
 *
 * @param text - content of the YAML file
 * @param schema - schema of the document
 * @returns the schema's output, or all errors sorted by line
 */
export function parseWithSchema<Output>(
  text: string,
  schema: z.ZodType<Output>,
): Result<Output, readonly SettingsError[]> {
  const lineCounter = new LineCounter();
  const document = parseDocument(text, { lineCounter });
  if (document.errors.length > 0) {
    return makeError(document.errors.map((error): SettingsError => ({
      kind: "invalid",
      line: error.linePos?.[0].line ?? 1,
      name: "YAML",
      message: error.message.split("\n")[0] ?? "",
    })));
  }
  const parsed = schema.safeParse(document.toJS());
  if (parsed.success) {
    return makeOk(parsed.data);
  }
  const errors = parsed.error.issues.flatMap((issue) =>
    listErrors(issue, document, lineCounter)
  );
  return makeError(errors.sort((a, b) => readLine(a) - readLine(b)));
}

function listErrors(
  issue: z.core.$ZodIssue,
  document: Document,
  lineCounter: LineCounter,
): readonly SettingsError[] {
  if (issue.code !== "unrecognized_keys") {
    return [buildError(issue.path, issue.message, { document, lineCounter })];
  }
  return issue.keys.map((key) =>
    buildError([...issue.path, key], "unknown key", { document, lineCounter })
  );
}

/** The parsed YAML document, for looking up line numbers. */
interface YamlSource {
  readonly document: Document;
  readonly lineCounter: LineCounter;
}

function buildError(
  path: readonly PropertyKey[],
  message: string,
  source: YamlSource,
): SettingsError {
  return {
    kind: "invalid",
    line: findLine(path, source),
    name: path.map(String).join("."),
    message,
  };
}

// A missing key is reported at the line of the map that should contain it.
function findLine(
  path: readonly PropertyKey[],
  { document, lineCounter }: YamlSource,
): number {
  let node: unknown = document.contents;
  let offset = 0;
  for (const name of path) {
    const pair = isMap(node)
      ? node.items.find((item) => isScalar(item.key) && item.key.value === name)
      : undefined;
    if (pair === undefined) {
      break;
    }
    offset = isNode(pair.key) ? pair.key.range?.[0] ?? offset : offset;
    node = pair.value;
  }
  return Math.max(1, lineCounter.linePos(offset).line);
}

function readLine(error: SettingsError): number {
  return error.kind === "invalid" ? error.line : 0;
}
