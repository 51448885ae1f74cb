/** Parses the operators' sheet from the bytes of a CSV file. */

import type { Configuration } from "@limpetford/domain/configuration";
import type { ConfigurationVersion } from "@limpetford/domain/ids";
import type { Result } from "@limpetford/domain/result";
import { makeError, makeOk } from "@limpetford/domain/result";
import { buildConfiguration } from "@limpetford/domain/sheet/sheet_configuration";
import type { SheetError } from "@limpetford/domain/sheet/sheet_error";
import { buildSheetError } from "@limpetford/domain/sheet/sheet_error";
import { CsvError, parse } from "csv-parse/sync";

const LINE_FEED = 0x0a;

/**
 * Parses and validates a sheet file.
 *
 * @param bytes - content of the CSV file
 * @param version - version number to assign to the configuration
 * @returns the configuration, or all errors ordered by row and column
 */
export function readSheet(
  bytes: Uint8Array,
  version: ConfigurationVersion,
): Result<Configuration, readonly SheetError[]> {
  const table = readTable(bytes);
  return table.ok ? buildConfiguration(table.value, version) : table;
}

/**
 * Splits a CSV file into rows of cells. Keeps empty lines and treats quoted
 * line breaks as part of a cell, so that indexes match spreadsheet rows.
 *
 * @param bytes - content of the file, in UTF-8 with or without byte-order mark
 * @returns the cells, or the first error of the encoding or CSV syntax
 */
export function readTable(
  bytes: Uint8Array,
): Result<readonly (readonly string[])[], readonly SheetError[]> {
  const decoded = decodeText(bytes);
  if (!decoded.ok) {
    return decoded;
  }
  const text = decoded.value;
  try {
    return makeOk(parse(text, {
      delimiter: detectDelimiter(text),
      relax_column_count: true,
      skip_empty_lines: false,
    }));
  } catch (error) {
    if (!(error instanceof CsvError)) {
      throw error;
    }
    return makeError([convertCsvError(error)]);
  }
}

function decodeText(
  bytes: Uint8Array,
): Result<string, readonly SheetError[]> {
  try {
    return makeOk(new TextDecoder("utf-8", { fatal: true }).decode(bytes));
  } catch {
    const valid = findValidPrefixLength(bytes);
    const row = 1 +
      bytes.subarray(0, valid).filter((byte) => byte === LINE_FEED).length;
    const byte = bytes[valid] ?? 0;
    return makeError([buildSheetError({
      row,
      column: "",
      found: `byte 0x${byte.toString(16).padStart(2, "0")}`,
      expected: "valid UTF-8 text",
    })]);
  }
}

function findValidPrefixLength(bytes: Uint8Array): number {
  let valid = 0;
  let invalid = bytes.length;
  while (invalid - valid > 1) {
    const middle = Math.floor((valid + invalid) / 2);
    if (hasValidUtf8Prefix(bytes, middle)) {
      valid = middle;
    } else {
      invalid = middle;
    }
  }
  return findSequenceStart(bytes, valid);
}

function findSequenceStart(bytes: Uint8Array, end: number): number {
  const starts = [0, 1, 2, 3].map((back) => Math.max(0, end - back));
  return starts.find((start) => isValidUtf8(bytes.subarray(0, start))) ?? end;
}

function isValidUtf8(bytes: Uint8Array): boolean {
  try {
    new TextDecoder("utf-8", { fatal: true }).decode(bytes);
    return true;
  } catch {
    return false;
  }
}

function hasValidUtf8Prefix(bytes: Uint8Array, length: number): boolean {
  try {
    const decoder = new TextDecoder("utf-8", { fatal: true });
    decoder.decode(bytes.subarray(0, length), { stream: true });
    return true;
  } catch {
    return false;
  }
}

function detectDelimiter(text: string): "," | ";" {
  const end = text.search(/[\r\n]/);
  const header = end < 0 ? text : text.slice(0, end);
  const semicolons = header.split(";").length;
  const commas = header.split(",").length;
  return semicolons > commas ? ";" : ",";
}

function convertCsvError(error: CsvError): SheetError {
  const records = typeof error["records"] === "number" ? error["records"] : 0;
  const column = typeof error["column"] === "number" ? error["column"] : 0;
  return buildSheetError({
    row: records + 1,
    column: `number ${column + 1}`,
    found: error.code,
    expected: describeCsvExpectation(error.code),
  });
}

function describeCsvExpectation(code: string): string {
  switch (code) {
    case "CSV_QUOTE_NOT_CLOSED":
      return "a closing quote";
    case "INVALID_OPENING_QUOTE":
      return "quotes around the whole cell, and doubled quotes inside it";
    case "CSV_INVALID_CLOSING_QUOTE":
      return "a separator after the closing quote";
    default:
      return "a row of comma- or semicolon-separated cells";
  }
}
