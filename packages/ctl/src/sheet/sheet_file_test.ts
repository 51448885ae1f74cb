/**
 * Guards against misread sheets: ambiguous numbers, wrong row numbers, and
 * inputs that are rejected without an error that names row and expected value.
 */

import type { ConfigurationVersion } from "@limpetford/domain/ids";
import { toId } from "@limpetford/domain/ids";
import { SHEET_COLUMNS } from "@limpetford/domain/sheet/sheet_column";
import fc from "fast-check";

import { readSheet } from "./sheet_file.ts";

const VERSION = toId<ConfigurationVersion>(7);
const HASH = "ab".repeat(32);
const SEED = 20_260;

const GOOD = [
  "kind,name,floor,false-ejections-per-day,health-path",
  "service,booking,0.6,0.1,/health",
].join("\n");

function encode(text: string): Uint8Array {
  return new TextEncoder().encode(text);
}

describe("readSheet", () => {
  it("reads each kind of row", () => {
    const sheet = [
      SHEET_COLUMNS.join(";"),
      "service;booking;;;;;;;60 %;0,1;/health;;;;;;;;;;;;",
      "server;booking-1;booking;amba-a;127.0.3.1:9001;3;400" + ";".repeat(16),
      "server;booking-2;booking;amba-b;[fd00::7]:80;3;400;leaving" +
      ";".repeat(15),
      "",
      "route;confirm;booking;;;;;;;;;post;/confirm;team;no;5000;65536;30000" +
      ";".repeat(5),
      "route;free;booking;;;;;;;;;GET;/free;open;sí;2000;0;;;;;;",
      "team;costa;;;;;;;;;;;;;;;;;;12,5;40;;",
      `key;;;;;;;;;;;;;;;;;;costa;;;;${HASH.toUpperCase()}`,
    ].join("\r\n");
    expect(readSheet(encode(sheet), VERSION)).toMatchSnapshot();
  });

  it.each([
    { case: "a byte-order mark", text: `\uFEFF${GOOD}` },
    { case: "semicolons", text: GOOD.replaceAll(",", ";") },
    {
      case: "decimal commas",
      text: GOOD.replaceAll(",", ";").replaceAll("0.", "0,"),
    },
    {
      case: "line ends of another system",
      text: GOOD.replaceAll("\n", "\r\n"),
    },
    { case: "quoted cells", text: GOOD.replace("booking", '"booking"') },
    { case: "a quoted line end", text: GOOD.replace("booking", '"\nbooking"') },
    { case: "empty rows and cells", text: `${GOOD},,,\n\n,,,,,\n` },
    { case: "header in other case", text: GOOD.replace("kind", " Kind") },
    {
      case: "blanks in the header",
      text: GOOD.replace("health-p", "Health P"),
    },
    {
      case: "columns in another order",
      text: "name,kind,health-path,floor,false-ejections-per-day\n" +
        "booking,service,/health,0.6,0.1",
    },
  ])("accepts $case", ({ text }) => {
    expect(readSheet(encode(text), VERSION))
      .toEqual(readSheet(encode(GOOD), VERSION));
    expect(readSheet(encode(text), VERSION).ok).toBe(true);
  });

  it.each([
    { case: "an empty file", text: "" },
    { case: "a header alone", text: "kind,name" },
    { case: "no kind column", text: "name\nbooking" },
    { case: "an unknown and a repeated column", text: "kind,nane,kind\n" },
    { case: "an unknown kind", text: GOOD.replace("service,", "servcie,") },
    {
      case: "an open quote",
      text: `${GOOD}\nservice,"booking,0.6,0.1,/health`,
    },
    { case: "a quote within a cell", text: GOOD.replace("booking", 'a"b') },
    {
      case: "an error after a quoted line end",
      text: `${GOOD.replace("booking", '"book\ning"')}\nteam,t,,,`,
    },
    {
      case: "several errors in one row",
      text: `${GOOD}\nservice,two words,1.5,-1,health`,
    },
    {
      case: "cells that the row kind does not use",
      text: "kind,name,rate-per-second,burst,floor\nteam,t,1,1,0.5,x",
    },
    {
      case: "numbers that may have a thousands separator",
      text: "kind,name,rate-per-second,burst\n" +
        'team,a,1.500,1\nteam,b,"12,345",1\nteam,c,"1,234.5",1\n' +
        "team,d,1e3,1\nteam,e,0.125,1.5\nteam,f,NaN,0x10",
    },
    {
      case: "repeated names and missing references",
      text: "kind,name,service,zone,address,slots,connections,team," +
        "rate-per-second,burst,key-sha256\n" +
        "server,s1,nowhere,z,10.0.0.1:80,3,400,,,,\n" +
        "server,s1,nowhere,z,10.0.0.1:80,3,400,,,,\n" +
        `key,,,,,,,ghost,,,${HASH}\n` +
        `team,t,,,,,,,1,1,\nteam,t,,,,,,,1,1,\n` +
        `key,,,,,,,t,,,${HASH}`,
    },
    {
      case: "a reference to a row that is itself invalid",
      text: "kind,name,service,zone,address,slots,connections,floor," +
        "false-ejections-per-day,health-path\n" +
        "service,booking,,,,,,2,0,/\n" +
        "server,s1,booking,z,10.0.0.1:80,3,400,,,",
    },
    {
      case: "invalid addresses",
      text: "kind,name,service,zone,address,slots,connections\n" +
        ["host:80", "10.0.0.256:80", "10.0.0.1", "10.0.0.1:0", "::1:80"]
          .map((address, index) => `server,s${index},b,z,${address},3,400`)
          .join("\n"),
    },
    {
      case: "routes with conflicting settings",
      text: "kind,name,service,method,path,access,repeatable,deadline-ms," +
        "body-limit-bytes,derived-key-window-ms,floor," +
        "false-ejections-per-day,health-path\n" +
        "service,b,,,,,,,,,0.5,0,/h\n" +
        "route,r1,b,POST,/x,open,no,1000,10,0,,,\n" +
        "route,r2,b,GET,/y,team,yes,1000,10,500,,,\n" +
        "route,r3,b,GET,/y,team,maybe,0,10,,,,\n" +
        "route,r4,b,GET,/y,team,yes,1,10,,,,\n" +
        "route,r5,b,GET,/.limpetford/entries,team,yes,1,10,,,,",
    },
  ])("lists the errors of $case", ({ text }) => {
    const result = readSheet(encode(text), VERSION);
    expect(result.ok).toBe(false);
    expect(result).toMatchSnapshot();
  });

  it("finds the first byte that is not UTF-8", () => {
    const bytes = Uint8Array.from([...encode(`${GOOD}\nteam,`), 0xf1, 0x41]);
    expect(readSheet(bytes, VERSION)).toEqual({
      ok: false,
      error: [{
        row: 3,
        column: "",
        found: "byte 0xf1",
        expected: "valid UTF-8 text",
      }],
    });
  });

  it("reports the row and the expected value for arbitrary bytes", () => {
    const word = fc.constantFrom(
      ...SHEET_COLUMNS,
      ...["service", "team", ",", ";", "\n", '"', "0,5", "60 %", "\uFEFF", ""],
      HASH,
      "10.0.0.1:80",
    );
    const file = fc.oneof(
      fc.uint8Array({ maxLength: 300 }),
      fc.string({ unit: "binary", maxLength: 300 }).map(encode),
      fc.array(word, { maxLength: 80 }).map((words) => encode(words.join(","))),
      fc.array(word, { maxLength: 80 }).map((words) =>
        encode(`kind,name,burst\nteam,${words.join("")}`)
      ),
    );
    fc.assert(
      fc.property(file, (bytes) => {
        const result = readSheet(bytes, VERSION);
        if (result.ok) {
          return;
        }
        expect(result.error.length).toBeGreaterThan(0);
        for (const error of result.error) {
          expect(error.row).toBeGreaterThanOrEqual(1);
          expect(error.expected).not.toBe("");
        }
      }),
      { seed: SEED, numRuns: 2_000 },
    );
  });
});
