// Guards against bodies at the peer address that fill the memory of a VM.
import { IncomingMessage } from "node:http";
import { Socket } from "node:net";

import { MessageReader } from "./message_reader.ts";

const LONG_BYTES = 3_000_000;

describe("MessageReader", () => {
  let reader: MessageReader;
  beforeEach(() => {
    reader = new MessageReader();
  });

  function sendParts(
    parts: readonly Buffer[],
    isEnded = true,
  ): Promise<Buffer | undefined> {
    const request = new IncomingMessage(new Socket());
    const body = reader.read(request).catch(() => undefined);
    parts.forEach((part) => request.push(part));
    if (isEnded) {
      request.push(null);
    }
    return body;
  }

  it("reads a body of several parts", async () => {
    const body = await sendParts([Buffer.from("ab"), Buffer.from("c")]);
    expect(body?.toString()).toBe("abc");
  });

  it("refuses a body that is too long", async () => {
    const part = Buffer.alloc(LONG_BYTES);
    expect(await sendParts([part, part])).toBeUndefined();
  });

  it("refuses a body of too many parts", async () => {
    const parts = Array.from({ length: 10_000 }, () => Buffer.from("a"));
    expect(await sendParts(parts, false)).toBeUndefined();
  });

  it(
    "refuses what does not fit beside others, and takes it later",
    async () => {
      const part = Buffer.alloc(LONG_BYTES);
      const others = [sendParts([part], false), sendParts([part], false)];
      await new Promise((resolve) => setImmediate(resolve));
      expect(await sendParts([part])).toBeUndefined();
      await Promise.all(others);
      expect(await sendParts([part])).toHaveLength(LONG_BYTES);
    },
    20_000,
  );
});
