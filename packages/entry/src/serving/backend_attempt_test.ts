import {
  type AttemptEnd,
  sendInTurn,
  sendTo,
} from "../fakes/backend_exchange.ts";

const HEAD = "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n";

const MAX_ENDLESS_BYTES = 50_000_000;
const FILLER = "x".repeat(16_384);
const CHUNKED_HEAD = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

interface EndlessAnswer {
  readonly name: string;
  /** Sent once. */
  readonly start: string;
  /** Sent again and again. */
  readonly rest: string;
}

const ENDLESS_ANSWERS: readonly EndlessAnswer[] = [
  { name: "a status line", start: "HTTP/1.1 200 O", rest: FILLER },
  { name: "blank lines", start: "", rest: "\r\n".repeat(8_192) },
  { name: "a header name", start: "HTTP/1.1 200 OK\r\nx", rest: FILLER },
  { name: "a header value", start: "HTTP/1.1 200 OK\r\na: ", rest: FILLER },
  {
    name: "headers",
    start: "HTTP/1.1 200 OK\r\n",
    rest: "a: b\r\n".repeat(2_000),
  },
  {
    name: "informational answers",
    start: "",
    rest: "HTTP/1.1 102 Processing\r\n\r\n".repeat(600),
  },
  {
    name: "a chunk extension",
    start: `${CHUNKED_HEAD}4;a=`,
    rest: FILLER,
  },
  {
    name: "trailers",
    start: `${CHUNKED_HEAD}4\r\nbody\r\n0\r\n`,
    rest: "a: b\r\n".repeat(2_000),
  },
];

// Guards against a server that sends bytes which are no body until the caller
// closes: they were read until the route's timeout.
describe("BackendAttempt with bytes without end", () => {
  it.each(ENDLESS_ANSWERS)("ends at once: $name", async ({ start, rest }) => {
    let sent = 0;
    const end = await sendTo((socket) => {
      socket.write(start);
      const fill = (): void => {
        while (sent < MAX_ENDLESS_BYTES && !socket.destroyed) {
          sent += rest.length;
          if (!socket.write(rest)) {
            return;
          }
        }
      };
      socket.on("drain", fill);
      fill();
    });
    expect(end?.kind).toBe("failed");
    expect(sent).toBeLessThan(MAX_ENDLESS_BYTES);
  }, 5_000);

  it("reads a long body in small chunks to its end", async () => {
    const count = 200_000;
    const end = await sendTo((socket) => {
      socket.write(CHUNKED_HEAD);
      socket.end("1\r\nx\r\n".repeat(count) + "0\r\n\r\n");
    });
    expect(end).toEqual({ kind: "complete", body: "x".repeat(count) });
  });
});

// Guards against half an answer that is delivered as whole: an answer without a
// length whose connection is reset while this process is busy.
describe("BackendAttempt with an answer without a length", () => {
  it("fails if the connection is reset right after a part of the body", async () => {
    // Both are pending when this process next polls the connection.
    const end = await sendTo((socket) => {
      socket.write(`${HEAD}half`);
      socket.resetAndDestroy();
    });
    expect(end).toEqual({ kind: "failed", outcome: "cut" });
  });

  it("fails if the connection is reset later", async () => {
    const end = await sendTo((socket) => {
      socket.write(`${HEAD}half`);
      setTimeout(() => {
        socket.resetAndDestroy();
      }, 30);
    });
    expect(end).toEqual({ kind: "failed", outcome: "cut" });
  });

  it.each([0, 30])(
    "is complete if the connection ends in order after %i ms",
    async (delayMs) => {
      const end = await sendTo((socket) => {
        socket.write(`${HEAD}whole`);
        setTimeout(() => {
          socket.end();
        }, delayMs);
      });
      expect(end).toEqual({ kind: "complete", body: "whole" });
    },
  );

  it.each([
    { isRunning: false, end: { kind: "failed", outcome: "cut" } },
    { isRunning: true, end: { kind: "complete", body: "whole" } },
  ])("ends truly as the server runs: $isRunning", async (row) => {
    const verifyServer = (): Promise<boolean> => Promise.resolve(row.isRunning);
    const end = await sendTo((socket) => {
      socket.end(`${HEAD}whole`);
    }, { verifyServer });
    expect(end).toEqual(row.end);
  });

  it.each([0, 30])(
    "fails if a second response follows after %i ms",
    async (delayMs) => {
      const end = await sendTo((socket) => {
        socket.write(`${HEAD}whole`);
        setTimeout(() => {
          socket.end("HTTP/1.1 200 OK\r\nid: 0\r\n\r\nwhole");
        }, delayMs);
      });
      expect(end).toEqual({ kind: "failed", outcome: "cut" });
    },
  );

  it("is complete if the server closes at once", async () => {
    const end = await sendTo((socket) => {
      socket.end(`${HEAD}whole`);
    });
    expect(end).toEqual({ kind: "complete", body: "whole" });
  });
});

const EARLIER = "HTTP/1.1 503 No\r\nid: 0\r\ncontent-length: 4\r\n\r\nbusy";
const EARLIER_TO_CLOSE = EARLIER.replace("id: 0", "id: 0\r\nconnection: close");
const LATER = "HTTP/1.1 200 OK\r\nid: 1\r\ncontent-length: 5\r\n\r\nwhole";
const COMPLETE: AttemptEnd = { kind: "complete", body: "whole" };

interface RepeatedAnswer {
  readonly name: string;
  /** Packets that answer the second request, 20 ms apart. */
  readonly packets: readonly string[];
  readonly end: AttemptEnd;
}

const REPEATED_ANSWERS: readonly RepeatedAnswer[] = [
  { name: "before it", packets: [EARLIER, LATER], end: COMPLETE },
  { name: "in one packet", packets: [EARLIER + LATER], end: COMPLETE },
  {
    name: "cut anywhere",
    packets: [EARLIER.slice(0, 20), EARLIER.slice(20) + LATER.slice(0, 30)]
      .concat(LATER.slice(30)),
    end: COMPLETE,
  },
  { name: "twice", packets: [EARLIER + EARLIER + LATER], end: COMPLETE },
  {
    name: "twice, apart",
    packets: [EARLIER, EARLIER, LATER],
    end: COMPLETE,
  },
  {
    name: "and closes",
    packets: [EARLIER_TO_CLOSE + LATER],
    end: { kind: "failed", outcome: "reset-before-first-byte" },
  },
];

const LATER_WITHOUT_BODY =
  "HTTP/1.1 200 OK\r\nid: 1\r\nconnection: close\r\n\r\n";

// Guards against an answer that is lost, since a copy of an earlier one on the
// same connection comes before it or in one packet with it.
describe("BackendAttempt behind a copy of an earlier answer", () => {
  it("fails if the server breaks off before the body, whatever the copy had", async () => {
    const { ends: [, end] } = await sendInTurn([
      (socket): void => {
        socket.write(EARLIER);
      },
      (socket): void => {
        socket.end(EARLIER + LATER_WITHOUT_BODY);
      },
    ]);
    expect(end).toEqual({ kind: "failed", outcome: "cut" });
  });

  it.each(REPEATED_ANSWERS)("ends truly: $name", async ({ packets, end }) => {
    const { ends } = await sendInTurn([
      (socket): void => {
        socket.write(EARLIER);
      },
      (socket): void => {
        for (const [index, packet] of packets.entries()) {
          setTimeout(() => socket.write(packet), 20 * index);
        }
      },
    ]);
    expect(ends).toEqual([{ kind: "complete", body: "busy" }, end]);
  });
});
