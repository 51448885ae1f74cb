import { type Answer, sendInTurn } from "../fakes/backend_exchange.ts";

const EARLIER = "HTTP/1.1 503 No\r\nid: 0\r\ncontent-length: 4\r\n\r\nbusy";
const CHUNKED =
  "HTTP/1.1 503 No\r\nid: 0\r\ntransfer-encoding: chunked\r\n\r\n";
const TIMEOUT_MS = 200;
/** Time in which the connection is closed. */
const CLOSE_MS = 50;

interface BrokenCopy {
  readonly name: string;
  readonly answer: Answer;
}

const BROKEN_COPIES: readonly BrokenCopy[] = [
  {
    name: "the connection ends",
    answer: (socket) => {
      socket.end(EARLIER.slice(0, -1));
    },
  },
  {
    name: "the connection is reset",
    answer: (socket) => {
      socket.write(EARLIER.slice(0, -1));
      setTimeout(() => {
        socket.resetAndDestroy();
      }, 20);
    },
  },
  {
    name: "no chunk follows",
    answer: (socket) => {
      socket.write(`${CHUNKED}no chunk`);
    },
  },
  {
    name: "nothing follows",
    answer: (socket) => {
      socket.write(EARLIER.slice(0, -1));
    },
  },
];

// Guards against an exception that nothing catches, which ends the process: a copy of
// an earlier response that breaks off within its body.
describe("BackendAttempt behind a copy that breaks off within its body", () => {
  it.each(BROKEN_COPIES)("fails alone if $name", async ({ answer }) => {
    const respond: Answer = (socket) => {
      socket.write(EARLIER);
    };
    const { ends } = await sendInTurn([respond, answer], {
      timeoutMs: TIMEOUT_MS,
    });
    await new Promise((resolve) => setTimeout(resolve, CLOSE_MS));
    expect(ends[1]?.kind).toBe("failed");
  });
});
