import * as fc from "fast-check";

import { decodeRecordBatch, encodeKeyedRecord } from "./log_records.ts";

function buildBatch(end: number, records: readonly Buffer[]): Buffer {
  const header = Buffer.alloc(16);
  header.writeBigUInt64BE(BigInt(end), 0);
  return Buffer.concat([header, ...records]);
}

describe("keyed records", () => {
  it("decode to what was encoded", () => {
    fc.assert(fc.property(
      fc.array(fc.tuple(
        fc.string({ maxLength: 40 }),
        fc.option(fc.uint8Array({ minLength: 1, maxLength: 50 })),
      )),
      (rows) => {
        const encoded = rows.map(([key, value]) =>
          encodeKeyedRecord(
            key,
            value === null ? undefined : Buffer.from(value),
          )
        );
        const batch = decodeRecordBatch(
          buildBatch(rows.length + 5, encoded),
          5,
        );
        expect(batch?.nextOffset).toBe(rows.length + 5);
        expect(
          batch?.records.map(({ key, value, offset }) => ({
            key,
            offset,
            value: value === undefined ? null : [...value],
          })),
        ).toEqual(rows.map(([key, value], index) => ({
          key,
          offset: 5 + index,
          value: value === null ? null : [...value],
        })));
      },
    ));
  });

  it("are rejected if truncated, and never make the decoder throw", () => {
    const whole = buildBatch(1, [encodeKeyedRecord("key", Buffer.from("abc"))]);
    for (let length = 17; length < whole.length; length++) {
      expect(decodeRecordBatch(whole.subarray(0, length), 0)).toBeUndefined();
    }
    fc.assert(fc.property(fc.uint8Array({ maxLength: 200 }), (bytes) => {
      decodeRecordBatch(Buffer.from(bytes), 0);
    }));
  });
});
