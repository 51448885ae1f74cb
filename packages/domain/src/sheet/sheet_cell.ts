/** Schemas of cell types; each describes its valid values in its error. */

import * as z from "zod";

import type { SocketAddress } from "../vm.ts";

const NAME_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/;
const INTEGER_PATTERN = /^\d{1,15}$/;
const DECIMAL_PATTERN = /^\d{1,15}(?:[.,]\d{1,15})?$/;
// Ambiguous: thousands separator or decimal separator with three decimals.
const AMBIGUOUS_SEPARATOR_PATTERN = /^[1-9]\d{0,2}[.,]\d{3}$/;
const PERCENT_PATTERN = /^(.+?)\s*%$/;
const PATH_PATTERN = /^\/[^\s?#]*$/;
const METHOD_PATTERN = /^(?:\*|[A-Z]{1,20})$/;
const HASH_PATTERN = /^[0-9a-f]{64}$/;
const ADDRESS_PATTERN = /^(?:\[([^\]]+)\]|([^:]+)):(\d{1,5})$/;
const MAX_PORT = 65_535;
const PERCENT_DIVISOR = 100;

const TRUE_WORDS: ReadonlySet<string> = new Set([
  "yes",
  "true",
  "1",
  "sí",
  "si",
  "verdadero",
]);
const FALSE_WORDS: ReadonlySet<string> = new Set([
  "no",
  "false",
  "0",
  "falso",
]);

/** Schema that parses the text of a cell into a value of type T. */
export type CellSchema<T> = z.ZodType<T, string>;

/** Inclusive bounds of a number. */
export interface NumberRange {
  readonly min: number;
  readonly max: number;
  /** Value of an empty cell; without it, an empty cell is an error. */
  readonly defaultValue?: number;
}

/**
 * Builds the schema of a record name.
 *
 * @returns a schema that yields the trimmed name
 */
export function buildNameCell(): CellSchema<string> {
  return buildCell(
    "a name of up to 63 letters, digits, '.', '_' or '-'",
    (text) => NAME_PATTERN.test(text) ? text : undefined,
  );
}

/**
 * Builds the schema of an integer in decimal digits.
 *
 * @param range - inclusive bounds and default
 * @returns a schema that yields the integer
 */
export function buildIntegerCell(range: NumberRange): CellSchema<number> {
  const { min, max } = range;
  return buildCell(
    `a whole number from ${min} to ${max}, without separators`,
    (text) => {
      if (text === "") {
        return range.defaultValue;
      }
      const value = INTEGER_PATTERN.test(text) ? Number(text) : NaN;
      return value >= min && value <= max ? value : undefined;
    },
  );
}

/**
 * Builds the schema of a number with decimal point or comma. Rejects numbers
 * such as 1.500, whose separator could also be a thousands separator.
 *
 * @param range - inclusive bounds and default
 * @returns a schema that yields the number
 */
export function buildDecimalCell(range: NumberRange): CellSchema<number> {
  const { min, max } = range;
  return buildCell(
    `a number from ${min} to ${max}, without thousands separators`,
    (text) => {
      if (text === "") {
        return range.defaultValue;
      }
      const value = parseDecimal(text);
      return value >= min && value <= max ? value : undefined;
    },
  );
}

/**
 * Builds the schema of a share, given as a fraction or a percentage.
 *
 * @returns a schema that yields a number from 0 to 1
 */
export function buildShareCell(): CellSchema<number> {
  return buildCell(
    "a share from 0 to 1, or a percentage such as 60 %",
    (text) => {
      const percentage = PERCENT_PATTERN.exec(text)?.[1];
      const value = percentage === undefined
        ? parseDecimal(text)
        : parseDecimal(percentage) / PERCENT_DIVISOR;
      return value >= 0 && value <= 1 ? value : undefined;
    },
  );
}

/**
 * Builds the schema of a boolean. Accepts English and Spanish words.
 *
 * @returns a schema that yields true or false
 */
export function buildBooleanCell(): CellSchema<boolean> {
  return buildCell("yes or no", (text) => {
    const word = text.toLowerCase();
    if (TRUE_WORDS.has(word)) {
      return true;
    }
    return FALSE_WORDS.has(word) ? false : undefined;
  });
}

/**
 * Builds the schema of an enumeration, ignoring case.
 *
 * @param words - valid values in lower case
 * @param defaultWord - value of an empty cell; undefined makes it an error
 * @returns a schema that yields one of the words
 */
export function buildEnumCell<Word extends string>(
  words: readonly Word[],
  defaultWord?: Word,
): CellSchema<Word> {
  return buildCell(
    words.join(" or "),
    (text) =>
      text === ""
        ? defaultWord
        : words.find((word) => word === text.toLowerCase()),
  );
}

/**
 * Builds the schema of an IPv4 or bracketed IPv6 address with a port.
 *
 * @returns a schema that yields the socket address
 */
export function buildAddressCell(): CellSchema<SocketAddress> {
  return buildCell(
    "an IP address and port, such as 10.0.3.7:8080 or [fd00::7]:8080",
    parseAddress,
  );
}

/**
 * Builds the schema of a URL path without query and fragment.
 *
 * @returns a schema that yields the trimmed path
 */
export function buildPathCell(): CellSchema<string> {
  return buildCell(
    "a path that starts with '/' and has no query",
    (text) => PATH_PATTERN.test(text) ? text : undefined,
  );
}

/**
 * Builds the schema of an HTTP method or the wildcard `*`.
 *
 * @returns a schema that yields the method in upper case
 */
export function buildMethodCell(): CellSchema<string> {
  return buildCell("an HTTP method, or * for any", (text) => {
    const method = text.toUpperCase();
    return METHOD_PATTERN.test(method) ? method : undefined;
  });
}

/**
 * Builds the schema of the SHA-256 hash of an API key.
 *
 * @returns a schema that yields the hash in lower case
 */
export function buildHashCell(): CellSchema<string> {
  return buildCell("a SHA-256 hash of 64 hexadecimal digits", (text) => {
    const hash = text.toLowerCase();
    return HASH_PATTERN.test(hash) ? hash : undefined;
  });
}

function buildCell<T>(
  expected: string,
  parse: (text: string) => T | undefined,
): CellSchema<T> {
  return z.string().transform((text, context): T => {
    const value = parse(text.trim());
    if (value !== undefined) {
      return value;
    }
    context.addIssue({ code: "custom", message: expected });
    return z.NEVER;
  });
}

function parseDecimal(text: string): number {
  return DECIMAL_PATTERN.test(text) && !AMBIGUOUS_SEPARATOR_PATTERN.test(text)
    ? Number(text.replace(",", "."))
    : NaN;
}

function parseAddress(text: string): SocketAddress | undefined {
  const match = ADDRESS_PATTERN.exec(text);
  const port = Number(match?.[3]);
  const ipv6 = z.ipv6().safeParse(match?.[1]);
  const ipv4 = z.ipv4().safeParse(match?.[2]);
  const host = ipv6.data ?? ipv4.data;
  return host !== undefined && port >= 1 && port <= MAX_PORT
    ? { host, port }
    : undefined;
}
