/** Odd inputs of every kind, as arbitraries of fast-check. */

import fc from "fast-check";

/** Values that JSON can write, none of them likely to be expected. */
const ODD_VALUES: readonly unknown[] = [
  null,
  true,
  0,
  -1,
  0.5,
  1e306,
  1e15,
  "",
  "x",
  "__proto__",
  "constructor",
  "\u0000\r\nx: y",
  "127.0.0.1:9",
  "255.255.255.255:99999",
  "s".repeat(20_000),
  [],
  [null],
  [[], [1]],
  {},
  { length: 1e9 },
];
/** Bytes that no JSON document is made of. */
const ODD_BYTES: readonly Buffer[] = [
  Buffer.from([0xff, 0xfe, 0x00]),
  Buffer.from("{"),
  Buffer.from("null"),
  Buffer.from("1e999"),
  Buffer.from("[".repeat(60_000)),
  Buffer.from(`${"[".repeat(60_000)}${"]".repeat(60_000)}`),
  Buffer.from('{"__proto__":{"toString":1}}'),
];
const MAX_CHANGES = 3;
const MAX_FREE_BYTES = 300;
const METHODS = [
  "GET",
  "POST",
  "PUT",
  "OPTIONS",
  "CONNECT",
  "HEAD",
  "TRACE",
  "PRI",
  "get",
  "QUERY",
  "",
];
const TARGETS = [
  "/",
  "//",
  "*",
  "",
  "/book/1",
  "/read/1",
  "/read/%",
  "/read/\u00ff",
  "/resolution",
  "/resolution?zone=zone-0&name=bands.example&region=r",
  "/resolution?zone=%zz&zone=\u0000",
  "/resolution?zone=__proto__",
  "/readiness?",
  "/metrics",
  "/exchange",
  "/evidence",
  "/token",
  "/server-token",
  "/server-limit",
  "http://[",
  "http://bands.example/read/1",
  "bands.example:80",
  `/${"a".repeat(20_000)}`,
];
const HEADERS = [
  "host: bands.example",
  "host: [",
  "host:",
  "key: key-of-dance",
  "key: ",
  "request-id: r-1",
  "request-id: \u00e9\u00ff",
  "request-id: a, b",
  "request-deadline: 1e999",
  "request-deadline: -5",
  "request-deadline: 500",
  "request-deadline: 99999999999999",
  "request-deadline: x",
  "content-length: 4",
  "content-length: 99999999999999999999",
  "content-length: -1",
  "transfer-encoding: chunked",
  "transfer-encoding: gzip",
  "transfer-encoding: chunked, chunked",
  "connection: upgrade",
  "connection: close, key, content-length, host",
  "connection: keep-alive",
  "upgrade: websocket",
  "upgrade: h2c",
  "expect: 100-continue",
  "expect: x",
  "trailer: x",
  "te: trailers",
  "content-encoding: limpetford-1",
  "accept-encoding: limpetford-1",
  "limpetford-forwarded: x",
  "limpetford-forwarded: {}",
  "limpetford-forwarded: null",
  "server-signature: s",
  "server-limit: 1e999",
  "server-limit: -1",
  "server-limit: 5",
  "server-leaving: 1",
  "retry-after: 1e999",
  "retry-after: 0",
  "not-executed: 1",
  "store-era: 1e9",
  "x: \u0000",
  "x",
  ": y",
  " folded",
  `x: ${"h".repeat(70_000)}`,
];
const STATUS_LINES = [
  "HTTP/1.1 200 OK",
  "HTTP/1.1 100 Continue",
  "HTTP/1.1 101 Switching Protocols",
  "HTTP/1.1 103 Early Hints",
  "HTTP/1.1 204 No Content",
  "HTTP/1.1 304 Not Modified",
  "HTTP/1.1 421 Misdirected",
  "HTTP/1.1 503 Service Unavailable",
  "HTTP/1.1 600 \u00ff",
  "HTTP/1.1 999",
  "HTTP/1.1 000 None",
  "HTTP/1.1 99 None",
  "HTTP/2.0 200 OK",
  "HTTP/1.0 200 OK",
  "HTTP/1.1  200",
  "ICY 200 OK",
];
const BODIES = [
  "",
  "body",
  "{}",
  "null",
  "[]",
  '{"from":1}',
  "4\r\nbody\r\n0\r\n\r\n",
  "4\r\nbody\r\n0\r\nx: y\r\nrequest-id: z\r\n\r\n",
  "4;x\r\nbo",
  "ffffffffffffffffff\r\n",
  "-1\r\n\r\n",
  "z\r\n",
  "x".repeat(100_000),
];

type Path = readonly (string | number)[];

function listPaths(value: unknown, path: Path = []): readonly Path[] {
  if (typeof value !== "object" || value === null) {
    return [path];
  }
  return [
    path,
    ...Object.entries(value).flatMap(([name, part]) =>
      listPaths(part, [...path, Array.isArray(value) ? Number(name) : name])
    ),
  ];
}

function putOdd(value: unknown, path: Path, odd: unknown): unknown {
  const [first, ...rest] = path;
  if (first === undefined || typeof value !== "object" || value === null) {
    return odd;
  }
  const copy: Record<string | number, unknown> = Array.isArray(value)
    ? [...value as unknown[]] as unknown as Record<number, unknown>
    : { ...value };
  copy[first] = putOdd(copy[first], rest, odd);
  return copy;
}

/**
 * Builds documents of which a few parts are odd.
 *
 * @param document - document in order
 * @returns arbitrary of documents
 */
export function buildOddDocuments(document: unknown): fc.Arbitrary<unknown> {
  const change = fc.tuple(
    fc.constantFrom(...listPaths(document)),
    fc.constantFrom(...ODD_VALUES),
  );
  return fc.array(change, { minLength: 1, maxLength: MAX_CHANGES }).map(
    (changes) =>
      changes.reduce(
        (changed, [path, odd]) => putOdd(changed, path, odd),
        document,
      ),
  );
}

/**
 * Builds records of the store, most of them documents with odd parts.
 *
 * @param document - document in order
 * @returns arbitrary of the bytes of records
 */
export function buildOddRecords(document: unknown): fc.Arbitrary<Buffer> {
  return fc.oneof(
    { weight: 6, arbitrary: buildOddDocuments(document).map(encodeJson) },
    { weight: 1, arbitrary: fc.constantFrom(...ODD_BYTES) },
    { weight: 1, arbitrary: fc.json().map((text) => Buffer.from(text)) },
  );
}

/** Requests as bytes, in order in part, and some of them cut. */
export const ODD_REQUESTS: fc.Arbitrary<Buffer> = buildMessages(
  fc.tuple(
    fc.constantFrom(...METHODS),
    fc.constantFrom(...TARGETS),
    fc.constantFrom("HTTP/1.1", "HTTP/1.0", "HTTP/2.0", "HTTP/1.1 x", ""),
  ).map((parts) => parts.join(" ")),
);

/** Responses as bytes, in order in part, and some of them cut. */
export const ODD_RESPONSES: fc.Arbitrary<Buffer> = buildMessages(
  fc.constantFrom(...STATUS_LINES),
);

/**
 * Builds answers of status 200 with a length, whose body is odd.
 *
 * @param bodies - arbitrary of bodies
 * @returns arbitrary of answers as bytes
 */
export function buildOddAnswers(
  bodies: fc.Arbitrary<Buffer>,
): fc.Arbitrary<Buffer> {
  return bodies.map((body) =>
    Buffer.concat([
      Buffer.from(`HTTP/1.1 200 OK\r\ncontent-length: ${body.length}\r\n\r\n`),
      body,
    ])
  );
}

function buildMessages(line: fc.Arbitrary<string>): fc.Arbitrary<Buffer> {
  const message = fc.tuple(
    line,
    fc.array(fc.constantFrom(...HEADERS), { maxLength: 6 }),
    fc.constantFrom("\r\n", "\r\n", "\r\n", "\n", "\r"),
    fc.constantFrom(...BODIES),
  ).map(([first, headers, end, body]) =>
    Buffer.from([first, ...headers, "", body].join(end), "latin1")
  );
  const cut = fc.tuple(message, fc.double({ min: 0, max: 1, noNaN: true }))
    .map(([bytes, share]) => bytes.subarray(0, bytes.length * share));
  const joined = fc.tuple(message, message).map((pair) => Buffer.concat(pair));
  const free = fc.uint8Array({ maxLength: MAX_FREE_BYTES }).map((bytes) =>
    Buffer.from(bytes)
  );
  return fc.oneof(
    { weight: 6, arbitrary: message },
    { weight: 2, arbitrary: cut },
    { weight: 2, arbitrary: joined },
    { weight: 1, arbitrary: free },
  );
}

function encodeJson(document: unknown): Buffer {
  return Buffer.from(JSON.stringify(document));
}
