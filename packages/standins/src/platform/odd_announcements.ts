/** Records among those of the servers that another writer may have left. */

/** Levels of nesting that fit into the largest record of the store. */
const NESTING_LEVELS = 60_000;
const LARGE_BYTES = 200_000;
/** An announcement in order, of a server that nothing listens for. */
export const SOUND_ANNOUNCEMENT = {
  service: "bands",
  address: "127.0.0.1:9",
  zone: "zone-0",
  version: "v1",
  slots: 3,
  state: "ready",
  warmup_remaining_s: 0,
  sequence_number: 1,
  born: 1,
};

function buildNested(open: string, close: string): string {
  return open.repeat(NESTING_LEVELS) + close.repeat(NESTING_LEVELS);
}

// A record with one field replaced by JSON text, which may be no valid value.
function buildOdd(field: string, text: string): string {
  const others = Object.entries(SOUND_ANNOUNCEMENT).filter(([name]) =>
    name !== field
  );
  const fields = others.map(([name, value]) =>
    `"${name}":${JSON.stringify(value)}`
  );
  return `{${[...fields, `"${field}":${text}`].join(",")}}`;
}

function buildWithout(field: string): string {
  const others = Object.entries(SOUND_ANNOUNCEMENT).filter(([name]) =>
    name !== field
  );
  return JSON.stringify(Object.fromEntries(others));
}

const NUMBERS = ["1e999", "-1e999", "1e308", "9007199254740993", "-1"];
/** A number that is an integer, but no sensible value of these fields. */
const LARGE_INTEGER = "1000000000000000";
const NUMBERS_BY_FIELD: ReadonlyMap<string, readonly string[]> = new Map([
  ["slots", [...NUMBERS, LARGE_INTEGER]],
  ["warmup_remaining_s", [...NUMBERS, LARGE_INTEGER]],
  ["sequence_number", NUMBERS],
  ["born", [...NUMBERS, LARGE_INTEGER]],
]);
const ADDRESSES = [
  "127.0.0.1:65536",
  "127.0.0.1:0",
  "127.0.0.1:99999999999999999999",
  "127.0.0.1:-1",
  "127.0.0.1",
  "255.255.255.255:80",
  "0.0.0.0:1",
];
const NESTED = [buildNested("[", "]"), buildNested('{"a":', "}")];
/** Values of records that name no server, by what is odd about them. */
export const ODD_VALUES: ReadonlyMap<string, readonly string[]> = new Map([
  ["too deeply nested", [
    ...NESTED,
    ...["extra", "service", "state", "slots"].flatMap((field) =>
      NESTED.map((text) => buildOdd(field, text))
    ),
  ]],
  [
    "numbers too large",
    [...NUMBERS_BY_FIELD].flatMap(([field, numbers]) =>
      numbers.map((text) => buildOdd(field, text))
    ),
  ],
  [
    "addresses out of range",
    ADDRESSES.map((address) => buildOdd("address", JSON.stringify(address))),
  ],
  ["fields missing", Object.keys(SOUND_ANNOUNCEMENT).map(buildWithout)],
  [
    "fields of another type",
    Object.keys(SOUND_ANNOUNCEMENT).flatMap((field) =>
      ["null", "true", "[]", "{}"].map((text) => buildOdd(field, text))
    ),
  ],
  ["names out of range", [
    buildOdd("service", JSON.stringify("s".repeat(LARGE_BYTES))),
    buildOdd("service", '"__proto__"'),
    buildOdd("zone", '"\\u0000\\r\\nx"'),
    buildOdd("__proto__", '{"slots":1}'),
    "\u0000",
    "null",
    "1e999",
  ]],
]);
/** Keys of records that cannot be identifiers of servers. */
export const ODD_KEYS = [
  "i-\r\nx: y",
  "\u0000",
  "i-\u{1f409}",
  "__proto__",
  "",
];
