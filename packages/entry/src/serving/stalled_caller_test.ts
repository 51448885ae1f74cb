import type { Socket } from "node:net";

import {
  type Answer,
  type AttemptEnd,
  EndListener,
  sendInTurn,
  sendTo,
} from "../fakes/backend_exchange.ts";
import type { BackendAttempt } from "./backend_attempt.ts";
import type { BackendConnection } from "./backend_connection.ts";

const STALL_MS = 120;
const PACKET_INTERVAL_MS = 20;
/** Far more than a whole exchange takes. */
const TIMEOUT_MS = 3_000;
const CANCEL_MS = 60;
/** What may be read beside the delivered body (`MAX_FRAMING_BYTES`). */
const MAX_HELD_BYTES = 262_144;
const ENDLESS_BYTES = 50_000_000;
const CUT: AttemptEnd = { kind: "failed", outcome: "cut" };

// Pauses the response at its first chunk and once more when it goes on.
class StallingListener extends EndListener {
  #stallCount = 0;
  #isStalled = false;

  override receiveChunk(attempt: BackendAttempt, chunk: Buffer): boolean {
    super.receiveChunk(attempt, chunk);
    if (!this.#isStalled && this.#stallCount < 2) {
      this.#stallCount += 1;
      this.#isStalled = true;
      setTimeout(() => {
        this.#isStalled = false;
        attempt.resume();
      }, STALL_MS);
    }
    return !this.#isStalled;
  }
}

// Takes one chunk and reads nothing more.
class StalledListener extends EndListener {
  /** Bytes that the process has read since, when some time has passed. */
  readonly readBytes: Promise<number>;
  #resolve: (bytes: number) => void = () => undefined;
  readonly #connection: BackendConnection;
  #isStalled = false;

  constructor(connection: BackendConnection) {
    super();
    this.#connection = connection;
    this.readBytes = new Promise((resolve) => {
      this.#resolve = resolve;
    });
  }

  override receiveChunk(): boolean {
    if (!this.#isStalled) {
      this.#isStalled = true;
      const before = this.#connection.bytesRead;
      setTimeout(() => {
        this.#resolve(this.#connection.bytesRead - before);
      }, STALL_MS);
    }
    return false;
  }
}

const STALLING = {
  buildListener: () => new StallingListener(),
  timeoutMs: TIMEOUT_MS,
};

interface Framing {
  readonly framing: string;
  readonly buildHead: (length: number) => string;
  readonly isChunked: boolean;
  /** Whether the answer shows where it ends. */
  readonly isDelimited: boolean;
}

const FRAMINGS: readonly Framing[] = [
  {
    framing: "without a length",
    buildHead: () => "HTTP/1.1 200 OK\r\n\r\n",
    isChunked: false,
    isDelimited: false,
  },
  {
    framing: "in chunks",
    buildHead: () => "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
    isChunked: true,
    isDelimited: true,
  },
  {
    framing: "in chunks, connection: close",
    buildHead: () =>
      "HTTP/1.1 200 OK\r\nconnection: close\r\n" +
      "transfer-encoding: chunked\r\n\r\n",
    isChunked: true,
    isDelimited: true,
  },
  {
    framing: "with a length",
    buildHead: (length) =>
      `HTTP/1.1 200 OK\r\ncontent-length: ${length}\r\n\r\n`,
    isChunked: false,
    isDelimited: true,
  },
  {
    framing: "with a length, connection: close",
    buildHead: (length) =>
      "HTTP/1.1 200 OK\r\nconnection: close\r\n" +
      `content-length: ${length}\r\n\r\n`,
    isChunked: false,
    isDelimited: true,
  },
];

const SIZES = [
  // Nothing is left in the buffer of the socket when the end arrives.
  { size: "in two parts", partCount: 2, partBytes: 3 },
  { size: "short", partCount: 3, partBytes: 3 },
  // More than the buffers of a socket and of a stream.
  { size: "long", partCount: 3, partBytes: 300_000 },
];

function buildParts(
  { partCount, partBytes }: (typeof SIZES)[number],
): readonly string[] {
  return ["a", "b", "c"].slice(0, partCount)
    .map((text) => text.repeat(partBytes));
}

function buildPackets(
  { buildHead, isChunked }: Framing,
  parts: readonly string[],
): readonly string[] {
  const whole = parts.join("");
  const packets = parts.map((part) =>
    isChunked ? `${part.length.toString(16)}\r\n${part}\r\n` : part
  );
  return packets.map((packet, index) =>
    (index === 0 ? buildHead(whole.length) : "") + packet +
    (isChunked && index === parts.length - 1 ? "0\r\n\r\n" : "")
  );
}

// Sends the packets one by one, and ends after the last.
function buildAnswer(
  packets: readonly string[],
  end: (socket: Socket) => void,
): Answer {
  return (socket) => {
    for (const [index, packet] of packets.entries()) {
      setTimeout(() => socket.write(packet), PACKET_INTERVAL_MS * index);
    }
    setTimeout(() => {
      end(socket);
    }, PACKET_INTERVAL_MS * packets.length);
  };
}

const CASES = FRAMINGS.flatMap((framing) =>
  SIZES.map((size) => ({ ...framing, ...size }))
);

// Guards against an answer whose end, while its caller reads nothing, ends the
// whole process by an assertion of the HTTP client.
describe("BackendAttempt with a caller that stalls", () => {
  it.each(CASES)(
    "delivers the whole body, the server ends in order: $size, $framing",
    async (answer) => {
      const parts = buildParts(answer);
      const end = await sendTo(
        buildAnswer(buildPackets(answer, parts), (socket) => socket.end()),
        STALLING,
      );
      expect(end).toEqual({ kind: "complete", body: parts.join("") });
    },
  );

  it.each(CASES)(
    "takes no part for the whole, the server resets at the end: $size, $framing",
    async (answer) => {
      const parts = buildParts(answer);
      const end = await sendTo(
        buildAnswer(
          buildPackets(answer, parts),
          (socket) => socket.resetAndDestroy(),
        ),
        STALLING,
      );
      const whole: AttemptEnd = { kind: "complete", body: parts.join("") };
      // A reset may overtake what was sent before it.
      expect(answer.isDelimited ? [whole, CUT] : [CUT]).toContainEqual(end);
    },
  );

  it.each(CASES)(
    "tells a cut, the server resets midway: $size, $framing",
    async (answer) => {
      const packets = buildPackets(answer, buildParts(answer));
      const end = await sendTo(
        buildAnswer(
          packets.slice(0, -1),
          (socket) => socket.resetAndDestroy(),
        ),
        STALLING,
      );
      expect(end).toEqual(CUT);
    },
  );

  it.each(CASES.filter(({ isDelimited }) => isDelimited))(
    "tells a cut, the server ends in order midway: $size, $framing",
    async (answer) => {
      const packets = buildPackets(answer, buildParts(answer));
      const end = await sendTo(
        buildAnswer(packets.slice(0, -1), (socket) => socket.end()),
        STALLING,
      );
      expect(end).toEqual(CUT);
    },
  );

  it.each(CASES.filter(({ framing }) => !framing.endsWith("close")))(
    "can be cancelled meanwhile: $size, $framing",
    async (answer) => {
      const packets = buildPackets(answer, buildParts(answer));
      const closed: Promise<unknown>[] = [];
      const end = await sendTo((socket) => {
        closed.push(new Promise((resolve) => socket.on("close", resolve)));
        buildAnswer(packets.slice(0, -1), () => undefined)(socket);
      }, { ...STALLING, timeoutMs: CANCEL_MS });
      expect(end).toEqual({ kind: "failed", outcome: "timed-out" });
      await Promise.all(closed);
    },
  );

  it.each(
    CASES.filter(({ framing }) =>
      framing === "in chunks" || framing === "with a length"
    ),
  )(
    "keeps the connection for the next request: $size, $framing",
    async (answer) => {
      const parts = buildParts(answer);
      const packets = buildPackets(answer, parts);
      const { ends, connectionCount } = await sendInTurn(
        [0, 1, 2].map(() => buildAnswer(packets, () => undefined)),
        STALLING,
      );
      const whole: AttemptEnd = { kind: "complete", body: parts.join("") };
      expect(ends).toEqual([whole, whole, whole]);
      expect(connectionCount).toBe(1);
    },
  );

  it("reads little of an answer that is longer than memory", async () => {
    const listeners: StalledListener[] = [];
    const end = await sendTo((socket) => {
      socket.write("HTTP/1.1 200 OK\r\n\r\n");
      socket.write(Buffer.alloc(ENDLESS_BYTES));
    }, {
      buildListener: (connection) => {
        const listener = new StalledListener(connection);
        listeners.push(listener);
        return listener;
      },
      timeoutMs: 3 * STALL_MS,
    });
    expect(end).toEqual({ kind: "failed", outcome: "timed-out" });
    expect(await listeners[0]?.readBytes).toBeLessThan(MAX_HELD_BYTES);
  });
});
