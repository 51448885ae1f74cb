import { ParseTurns } from "./parse_turns.ts";

const MANY = 100;
const MAX_LONG_PARTS = 32;
const MAX_PARTS = MANY + MAX_LONG_PARTS;

// Connections that never end, parsed as the HTTP client does.
class EndlessConnections {
  /** Connection of each part that was parsed since `takeParts`. */
  #parts: object[] = [];
  #isClosed = false;
  readonly #turns = new ParseTurns();

  parse(connection: object, isLong = false): void {
    const resume = (): void => {
      this.parse(connection, isLong);
    };
    while (!this.#isClosed && this.#turns.take(connection, resume, isLong)) {
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

  it("takes few parts of long messages, and of each in its turn", async () => {
    for (let count = 0; count < MANY; count++) {
      connections.parse({}, true);
    }
    const taken = new Set<object>();
    for (let turn = 0; turn < MANY; turn++) {
      const parts = connections.takeParts();
      expect(parts.length).toBeLessThanOrEqual(MAX_LONG_PARTS);
      parts.forEach((connection) => taken.add(connection));
      await waitForTurn();
    }
    expect(taken.size).toBe(MANY);
  });
});
