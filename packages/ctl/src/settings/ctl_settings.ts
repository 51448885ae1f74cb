/** Settings of limpetctl: a YAML file, overridden by command-line flags. */

import type { Result } from "@limpetford/domain/result";
import { makeError, makeOk } from "@limpetford/domain/result";
import type { SocketAddress } from "@limpetford/domain/vm";
import { LineCounter, parseDocument } from "yaml";
import * as z from "zod";

/** Validated settings of limpetctl. */
export interface CtlSettings {
  /** Base URL of the log service. */
  readonly logUrl: string;
  /** Base URL of the VM list service. */
  readonly vmListUrl: string;
  /** Operator name, shown to other operators. */
  readonly operator: string;
  /** Operator addresses of VMs, in addition to those of the VM list. */
  readonly vms: readonly SocketAddress[];
  /** Timeout of one call to the log, VM list or a VM, in milliseconds. */
  readonly timeoutMs: number;
}

/** Settings given on the command line; undefined flags are not set. */
export interface CtlFlags {
  readonly logUrl?: string | undefined;
  readonly vmListUrl?: string | undefined;
  readonly operator?: string | undefined;
  readonly vms?: readonly string[] | undefined;
}

/** A validation error of the settings. */
export interface CtlSettingsError {
  /** Line in the file; undefined if the error is not in the file. */
  readonly line: number | undefined;
  readonly name: string;
  readonly message: string;
}

const DEFAULT_TIMEOUT_MS = 2_000;
const MAX_TIMEOUT_MS = 600_000;
const MAX_PORT = 65_535;
const ADDRESS_PATTERN = /^(?:\[([0-9a-fA-F:]+)\]|([0-9.]+)):(\d{1,5})$/;

const addressSchema = z.string().transform((text, context): SocketAddress => {
  const match = ADDRESS_PATTERN.exec(text);
  const host = z.union([z.ipv4(), z.ipv6()])
    .safeParse(match?.[1] ?? match?.[2]);
  const port = Number(match?.[3]);
  if (host.success && port >= 1 && port <= MAX_PORT) {
    return { host: host.data, port };
  }
  const message = "expected an IP address and port, such as 10.0.0.1:8070";
  context.addIssue({ code: "custom", message });
  return z.NEVER;
});

const settingsSchema = z.strictObject({
  log: z.url({ protocol: /^https?$/, error: "expected an http URL" }),
  "vm-list": z.url({ protocol: /^https?$/, error: "expected an http URL" })
    .optional(),
  operator: z.string().min(1).default("unnamed"),
  vms: z.array(addressSchema).default([]),
  "timeout-ms": z.int().min(1).max(MAX_TIMEOUT_MS)
    .default(DEFAULT_TIMEOUT_MS),
});

/**
 * Parses the settings file and applies the flags.
 *
 * @param text - YAML content of the file; empty if there is none
 * @param flags - values that take precedence over the file
 * @returns the settings, or all validation errors with their lines
 */
export function parseCtlSettings(
  text: string,
  flags: CtlFlags,
): Result<CtlSettings, readonly CtlSettingsError[]> {
  const lineCounter = new LineCounter();
  const document = parseDocument(text, { lineCounter });
  if (document.errors.length > 0) {
    return makeError(document.errors.map((error) => ({
      line: error.linePos?.[0].line,
      name: "",
      message: error.message.split("\n")[0] ?? "",
    })));
  }
  const content: unknown = document.toJS() ?? {};
  const merged = typeof content === "object"
    ? { ...content, ...buildOverrides(flags) }
    : content;
  const parsed = settingsSchema.safeParse(merged);
  if (parsed.success) {
    return makeOk(buildSettings(parsed.data));
  }
  return makeError(parsed.error.issues.map((issue) => {
    const path = issue.code === "unrecognized_keys"
      ? [...issue.path, ...issue.keys]
      : issue.path;
    const node: unknown = document.getIn(path, true);
    return {
      line: findLine(node, lineCounter),
      name: path.join("."),
      message: issue.message,
    };
  }));
}

function buildOverrides(flags: CtlFlags): Readonly<Record<string, unknown>> {
  const values: Readonly<Record<string, unknown>> = {
    log: flags.logUrl,
    "vm-list": flags.vmListUrl,
    operator: flags.operator,
    vms: flags.vms,
  };
  return Object.fromEntries(
    Object.entries(values).filter(([, value]) => value !== undefined),
  );
}

function buildSettings(
  parsed: z.output<typeof settingsSchema>,
): CtlSettings {
  return {
    logUrl: parsed.log,
    vmListUrl: parsed["vm-list"] ?? parsed.log,
    operator: parsed.operator,
    vms: parsed.vms,
    timeoutMs: parsed["timeout-ms"],
  };
}

function findLine(node: unknown, lines: LineCounter): number | undefined {
  const hasRange = typeof node === "object" && node !== null &&
    "range" in node && Array.isArray(node.range);
  if (!hasRange) {
    return undefined;
  }
  const [start] = node.range as readonly unknown[];
  return typeof start === "number" ? lines.linePos(start).line : undefined;
}
