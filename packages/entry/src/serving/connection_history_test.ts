import { type Answer, sendInTurn } from "../fakes/backend_exchange.ts";

const MAX_REQUESTS = 512;

const respond: Answer = (socket) => {
  socket.write("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
};

// Guards against responses that can't be told apart, since the same identifier went
// over a connection twice.
describe("connections that remember their requests", () => {
  it("carry requests with identifiers of their own one after the other", async () => {
    const { connectionCount } = await sendInTurn([respond, respond, respond]);
    expect(connectionCount).toBe(1);
  });

  it("do not carry an identifier twice", async () => {
    const { connectionCount, openCount, ends } = await sendInTurn(
      [respond, respond, respond],
      { id: "same" },
    );
    expect(connectionCount).toBe(3);
    expect(openCount).toBe(1);
    expect(ends.every(({ kind }) => kind === "complete")).toBe(true);
  });

  it("end after as many requests as they can remember", async () => {
    const answers = Array.from({ length: MAX_REQUESTS + 1 }, () => respond);
    const { connectionCount } = await sendInTurn(answers);
    expect(connectionCount).toBe(2);
  });
});
