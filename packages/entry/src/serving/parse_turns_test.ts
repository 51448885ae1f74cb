import { ParseTurns } from "./parse_turns.ts";

const MANY = 100;
const MAX_PARTS = MANY + 32;

// Connections that never end, parsed as the HTTP client does.
class EndlessConnections {
  /** Connection of each part that was parsed since `takeParts`. */
  #parts: object[] = [];
  #isClosed = false;
  readonly #turns = new ParseTurns();

  parse(connection: object): void {
    const resume = (): void => {
      this.parse(connection);
    };
    while (!this.#isClosed && this.#turns.take(connection, resume)) {
      this.#parts.push(connection);
    }
  }

  takeParts(): readonly object[] {
    const parts = this.#parts;
    this.#parts = [];
    return parts;
  }

  close(): void {
    this.#isClosed = true;
  }
}

async function waitForTurn(): Promise<void> {
  await new Promise((resolve) => setImmediate(resolve));
}

// Guards against servers that send without end and take the event loop from
// callers and other servers.
describe("a turn in which connections are parsed", () => {
  let connections: EndlessConnections;
  beforeEach(() => {
    connections = new EndlessConnections();
  });
  afterEach(() => {
    connections.close();
  });

  it("takes a few parts of one connection, and again as many", async () => {
    connections.parse({});
    expect(connections.takeParts()).toHaveLength(4);
    await waitForTurn();
    expect(connections.takeParts()).toHaveLength(4);
  });

  it("takes of each at least one, and not much more of many", async () => {
    for (let count = 0; count < MANY; count++) {
      connections.parse({});
    }
    const first = connections.takeParts();
    await waitForTurn();
    const second = connections.takeParts();
    expect([first, second].map((parts) => new Set(parts).size))
      .toEqual([MANY, MANY]);
    expect(Math.max(first.length, second.length)).toBeLessThan(MAX_PARTS);
  });
});
