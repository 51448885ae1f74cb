import { EndListener, sendTo } from "../fakes/backend_exchange.ts";
import type { BackendConnection } from "./backend_connection.ts";

const HEAD = "HTTP/1.1 200 OK\r\n";
const CHUNKED = "transfer-encoding: chunked\r\n\r\n";
const TINY_HEADERS = "x: y\r\n".repeat(20_000);
const LINE_FEED = 10;
/** A part with the body, the lines that a head may have, and the part beyond. */
const MAX_PARSED_LINES = 256 + 1_024 + 256;
/** Bytes that are parsed at once. */
const PART_BYTES = 16_384;
const MAX_DELIVERED = 8;
const HELD_MS = 500;

// Counts the lines that the HTTP client's parser is given.
class ParsedLines extends EndListener {
  count = 0;

  constructor(connection: BackendConnection) {
    super();
    connection.client.once("connect", () => {
      const { socket } = connection;
      const read = socket?.read.bind(socket);
      if (socket !== undefined && read !== undefined) {
        socket.read = (size): unknown => {
          const part: unknown = read(size);
          if (Buffer.isBuffer(part)) {
            this.count += part.filter((byte) => byte === LINE_FEED).length;
          }
          return part;
        };
      }
    });
  }
}

// A caller that takes nothing.
class HeldListener extends EndListener {
  readonly lengths: number[] = [];

  override receiveChunk(_attempt: unknown, chunk: Buffer): boolean {
    this.lengths.push(chunk.length);
    return false;
  }
}

// Guards against a heap that one connection fills, as the parser makes objects
// of each line and the caller's connection of each chunk.
describe("what a response without end costs", () => {
  it.each([
    { name: "headers", start: HEAD, rest: TINY_HEADERS },
    {
      name: "trailers",
      start: `${HEAD}${CHUNKED}4\r\nbody\r\n0\r\n`,
      rest: TINY_HEADERS,
    },
    { name: "blank lines", start: "", rest: "\r\n".repeat(60_000) },
    {
      name: "informational responses",
      start: "",
      rest: "HTTP/1.1 102 Processing\r\n\r\n".repeat(4_000),
    },
  ])("is few objects of the parser: $name", async ({ start, rest }) => {
    let listener: ParsedLines | undefined;
    const end = await sendTo((socket) => {
      socket.write(start + rest);
    }, {
      buildListener: (connection) => listener = new ParsedLines(connection),
      timeoutMs: HELD_MS,
    });
    expect(end?.kind).toBe("failed");
    expect(listener?.count).toBeGreaterThan(0);
    expect(listener?.count).toBeLessThanOrEqual(MAX_PARSED_LINES);
  });

  it("is few writes to a caller that takes nothing: chunks", async () => {
    const listener = new HeldListener();
    await sendTo((socket) => {
      socket.write(HEAD + CHUNKED + "1\r\nx\r\n".repeat(100_000));
    }, { buildListener: () => listener, timeoutMs: HELD_MS });
    expect(listener.lengths.length).toBeGreaterThan(0);
    expect(listener.lengths.length).toBeLessThan(MAX_DELIVERED);
  });

  it("cuts nothing off a long body of short lines that ends at once", async () => {
    const body = "a\n".repeat(200_000);
    const end = await sendTo((socket) => {
      socket.end(`${HEAD}content-length: ${body.length}\r\n\r\n${body}`);
    });
    expect(end).toEqual({ kind: "complete", body });
  });

  it("hides no second response from a caller that takes nothing", async () => {
    const head = `${HEAD}content-length: `;
    const length = 2 * PART_BYTES - `${head}00000\r\n\r\n`.length;
    const response = `${head}${length}\r\n\r\n${"x".repeat(length)}`;
    const end = await sendTo((socket) => {
      socket.write(`${response}${HEAD}content-length: 0\r\n\r\n`);
    }, { buildListener: () => new HeldListener(), timeoutMs: HELD_MS });
    expect(end).toEqual({ kind: "failed", outcome: "cut" });
  });
});
