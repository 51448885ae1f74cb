import type { ResponseHead } from "./attempt_listener.ts";
import { BufferingReceiver } from "./buffering_receiver.ts";
import { MemoryBudget, MemoryShare } from "./memory_budget.ts";
import { ResponseReceiver } from "./response_receiver.ts";

const BUFFER_BYTES = 100;
const HEAD: ResponseHead = { status: 200, headers: {} };

class RecordingReceiver extends ResponseReceiver {
  readonly calls: string[] = [];

  override receiveHead(head: ResponseHead): void {
    this.calls.push(`head ${head.status}`);
  }

  override receiveChunk(chunk: Buffer): boolean {
    this.calls.push(`chunk ${chunk.toString()}`);
    return false;
  }

  override receiveEnd(last: Buffer | undefined): void {
    this.calls.push(`end ${last?.toString() ?? ""}`);
  }

  override receiveCut(): void {
    this.calls.push("cut");
  }

  override receiveRefusal(): void {
    this.calls.push("refusal");
  }
}

describe("BufferingReceiver", () => {
  let budget: MemoryBudget;
  let recorder: RecordingReceiver;
  let receiver: BufferingReceiver;
  beforeEach(() => {
    budget = new MemoryBudget(10);
    recorder = new RecordingReceiver();
    const share = new MemoryShare(budget);
    receiver = new BufferingReceiver(recorder, BUFFER_BYTES, share);
    receiver.receiveHead(HEAD);
  });

  it("counts what it buffers until it has passed it on", () => {
    expect(receiver.receiveChunk(Buffer.from("answer"))).toBe(true);
    expect(budget.heldBytes).toBe(6);
    receiver.receiveEnd(Buffer.from("s"));
    expect(recorder.calls).toEqual(["head 200", "end answers"]);
    expect(budget.heldBytes).toBe(0);
  });

  it("counts nothing of a response that was dropped", () => {
    receiver.receiveChunk(Buffer.from("answer"));
    expect(receiver.dropResponse()).toBe(true);
    expect(budget.heldBytes).toBe(0);
  });

  it("passes on what it has when the VM holds more than it may", () => {
    receiver.receiveChunk(Buffer.from("long "));
    expect(receiver.receiveChunk(Buffer.from("answer"))).toBe(false);
    expect(recorder.calls).toEqual(["head 200", "chunk long answer"]);
    expect(budget.heldBytes).toBe(0);
    expect(receiver.dropResponse()).toBe(false);
  });
});
