/** Schemas of durations, sizes and addresses in settings files. */

import type { SocketAddress } from "@limpetford/domain/vm";
import * as z from "zod";

const DURATION_PATTERN = /^([0-9]+)(ms|s|min|h)$/;
const SIZE_PATTERN = /^([0-9]+)(B|KiB|MiB|GiB)$/;
const ADDRESS_PATTERN =
  /^([0-9]{1,3}(?:\.[0-9]{1,3}){3}|\[[0-9a-fA-F:]+\]):([0-9]{1,5})$/;
const MAX_PORT = 65_535;

const MS_BY_UNIT: Readonly<Record<string, number>> = {
  ms: 1,
  s: 1_000,
  min: 60_000,
  h: 3_600_000,
};
const BYTES_BY_UNIT: Readonly<Record<string, number>> = {
  B: 1,
  KiB: 1_024,
  MiB: 1_048_576,
  GiB: 1_073_741_824,
};

/** A duration such as `250ms` or `10s`, converted to milliseconds. */
export const durationSchema = z.string({
  error: "expected a duration with its unit, such as 250ms or 10s",
}).transform((text, context) =>
  parseQuantity(text, context, {
    pattern: DURATION_PATTERN,
    factors: MS_BY_UNIT,
    expected: "a duration in ms, s, min or h, such as 250ms or 10s",
  })
);

/** A size such as `64KiB`, converted to bytes. */
export const sizeSchema = z.string({
  error: "expected a size with its unit, such as 64KiB",
}).transform((text, context) =>
  parseQuantity(text, context, {
    pattern: SIZE_PATTERN,
    factors: BYTES_BY_UNIT,
    expected: "a size in B, KiB, MiB or GiB, such as 64KiB",
  })
);

/** An IP address and port such as `10.0.0.5:8080`. */
export const addressSchema = z.string({
  error: "expected an IP address and port, such as 10.0.0.5:8080",
}).transform((text, context): SocketAddress => {
  const match = ADDRESS_PATTERN.exec(text);
  const port = Number(match?.[2]);
  if (match === null || port > MAX_PORT) {
    context.addIssue("expected an IP address and port, such as 10.0.0.5:8080");
    return z.NEVER;
  }
  return { host: (match[1] ?? "").replace(/[[\]]/g, ""), port };
});

/** Syntax of a number with a unit, and the error message for other texts. */
interface QuantityFormat {
  readonly pattern: RegExp;
  readonly factors: Readonly<Record<string, number>>;
  readonly expected: string;
}

function parseQuantity(
  text: string,
  context: z.RefinementCtx<string>,
  format: QuantityFormat,
): number {
  const match = format.pattern.exec(text);
  const factor = format.factors[match?.[2] ?? ""];
  if (match === null || factor === undefined) {
    context.addIssue(`expected ${format.expected}`);
    return z.NEVER;
  }
  return Number(match[1]) * factor;
}
