import {
  type Answer,
  type AttemptEnd,
  sendInTurn,
  sendTo,
} from "../fakes/backend_exchange.ts";
import { SecondResponseDetector } from "./second_response_detector.ts";

const UNSIZED_HEAD = "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n";
const COPY = "HTTP/1.1 200 OK\r\nid: 0\r\ncontent-length: 4\r\n\r\nbody";
const FAILURE = "HTTP/1.1 500 No\r\nid: 1\r\ncontent-length: 5\r\n\r\nwrong";
const CODED_HEAD = "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip";
const STATUS_LINES = "HTTP/1.1 404 \r\n".repeat(70_000);
const MAX_SCAN_MS = 500;
/** A failure by then was not noticed by its status. */
const STATUS_TIMEOUT_MS = 3_000;

function sendText(text: string): Answer {
  return (socket) => {
    socket.write(text);
  };
}

// Guards against bytes of another answer that are taken for part of this one.
describe("BackendAttempt with bytes of another answer", () => {
  it("fails if a second response bears the identifier of another request", async () => {
    const end = await sendTo((socket) => {
      socket.end(
        `${UNSIZED_HEAD}whole` +
          "HTTP/1.1 200 OK\r\nid: another\r\n\r\nwhole",
      );
    });
    expect(end).toEqual({ kind: "failed", outcome: "cut" });
  });

  it("takes no status from a copy that breaks off within its head", async () => {
    const { ends } = await sendInTurn([
      sendText(COPY),
      sendText(`HTTP/1.1 200 OK\r\ndate: ${FAILURE}`),
    ]);
    expect(ends[1]?.kind).toBe("failed");
  });
});

// Guards against a status that no response has, passed on with a server's signature.
describe("BackendAttempt with a status that HTTP does not know", () => {
  it.each(["000", "001", "099", "600", "700", "999"])(
    "fails: %s",
    async (status) => {
      const end = await sendTo(
        sendText(`HTTP/1.1 ${status} \r\ncontent-length: 4\r\n\r\nbody`),
        { timeoutMs: STATUS_TIMEOUT_MS },
      );
      expect(end).toEqual({ kind: "failed", outcome: "cut" });
    },
  );

  it.each(["000", "099", "600", "999"].flatMap((status) => [
    [
      status,
      "in chunks",
      "transfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
    ],
    [status, "without a length", "\r\nbody"],
    [status, "without a body", "content-length: 0\r\n\r\n"],
  ]))(
    "fails: %s, %s",
    async (status, _framing, rest) => {
      const end = await sendTo(
        (socket) => socket.end(`HTTP/1.1 ${status} \r\n${rest}`),
        { timeoutMs: STATUS_TIMEOUT_MS },
      );
      expect(end?.kind).toBe("failed");
    },
  );
});

// Guards against a body that is passed on in a coding that its caller never sees.
describe("BackendAttempt with a transfer coding besides chunks", () => {
  it.each([
    `${CODED_HEAD}, chunked\r\n\r\n5\r\ncoded\r\n0\r\n\r\n`,
    `${CODED_HEAD}\r\n\r\ncoded`,
  ])("fails: %j", async (text) => {
    const end: AttemptEnd | undefined = await sendTo((socket) => {
      socket.end(text);
    });
    expect(end?.kind).toBe("failed");
  });
});

// Guards against a body that holds up all other requests of the VM.
describe("SecondResponseDetector with many status lines", () => {
  it("reads a megabyte of them in a moment", () => {
    const detector = new SecondResponseDetector(() => false);
    const startedAtMs = performance.now();
    detector.observe(Buffer.from(STATUS_LINES));
    expect(performance.now() - startedAtMs).toBeLessThan(MAX_SCAN_MS);
  });
});
