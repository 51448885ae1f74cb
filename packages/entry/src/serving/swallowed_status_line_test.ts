import {
  type Answer,
  EndListener,
  sendInTurn,
} from "../fakes/backend_exchange.ts";
import type { ResponseHead } from "./attempt_listener.ts";
import type { BackendAttempt } from "./backend_attempt.ts";

const REFUSAL_HEAD = "HTTP/1.1 421 Misdirected Request\r\n";
const REFUSAL = `${REFUSAL_HEAD}id: 0\r\ncontent-length: 0\r\n\r\n`;
const LATER = "HTTP/1.1 200 OK\r\nid: 1\r\ncontent-length: 5\r\n\r\nwhole";
const STATUS_OK = 200;

class HeadListener extends EndListener {
  readonly #statuses: number[];

  constructor(statuses: number[]) {
    super();
    this.#statuses = statuses;
  }

  override receiveHead(_attempt?: BackendAttempt, head?: ResponseHead): void {
    if (head !== undefined) {
      this.#statuses.push(head.status);
    }
  }
}

function sendText(text: string): Answer {
  return (socket) => {
    socket.write(text);
  };
}

// Guards against the copy of a refusal that breaks off within its status line: it
// gives its status to the response behind it, which has run.
describe("BackendAttempt behind a copy that breaks off within its status line", () => {
  it.each(["HTTP/1.1 421 ", "HTTP/1.1 421 Misdirected"])(
    "takes no status from it: %j",
    async (start) => {
      const statuses: number[] = [];
      const { ends } = await sendInTurn(
        [sendText(REFUSAL), sendText(start + LATER)],
        { buildListener: () => new HeadListener(statuses) },
      );
      expect(statuses.slice(1).filter((status) => status !== STATUS_OK))
        .toEqual([]);
      expect(ends[1]?.kind).toBe("failed");
    },
  );
});
