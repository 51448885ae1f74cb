// Guards against a log reader that stalls or exits: the process must neither
// block on the full pipe, nor buffer without limit, nor end.
import { execFileSync } from "node:child_process";
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";

import { BoundedWriter } from "./bounded_writer.ts";

const LINE = `${"x".repeat(999)}\n`;
const LIMIT_BYTES = 65_536;
const CLOSED_DESCRIPTOR = 9_999;

describe("BoundedWriter", () => {
  it("drops and counts lines while the pipe is full", async () => {
    const directory = fs.mkdtempSync(path.join(os.tmpdir(), "pipe-"));
    const pipe = path.join(directory, "pipe");
    execFileSync("mkfifo", [pipe]);
    const descriptor = fs.openSync(pipe, "r+");
    const writer = new BoundedWriter(descriptor, LIMIT_BYTES);
    let written = 0;
    for (let count = 0; count < 2_000; count++) {
      if (writer.hasRoom()) {
        writer.write(LINE);
        written += 1;
      }
    }
    expect(writer.writableLength).toBeLessThanOrEqual(
      LIMIT_BYTES + LINE.length,
    );
    expect(writer.takeDroppedCount()).toBe(2_000 - written);
    expect(writer.takeDroppedCount()).toBe(0);
    // The event loop keeps running while the pipe is full.
    await new Promise((resolve) => setTimeout(resolve, 20));
    expect(writer.writableLength).toBeGreaterThan(0);
    // Once the pipe is read, all buffered lines are written.
    let readBytes = 0;
    const buffer = Buffer.alloc(LIMIT_BYTES);
    while (readBytes < written * LINE.length) {
      readBytes += fs.readSync(descriptor, buffer);
      await new Promise((resolve) => setImmediate(resolve));
    }
    expect(writer.hasRoom()).toBe(true);
    fs.closeSync(descriptor);
    fs.rmSync(directory, { recursive: true });
  });

  it("ignores write errors", async () => {
    const writer = new BoundedWriter(CLOSED_DESCRIPTOR);
    await new Promise((resolve) => writer.write(LINE, resolve));
    expect(writer.hasRoom()).toBe(true);
  });
});
