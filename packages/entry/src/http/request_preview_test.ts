import { parseRequestPreview } from "./request_preview.ts";

const HEAD = "POST /book/1?x=2 HTTP/1.1\r\nHost: bands.example\r\n";

function parse(text: string): ReturnType<typeof parseRequestPreview> {
  return parseRequestPreview(Buffer.from(text, "latin1"));
}

describe("parseRequestPreview", () => {
  it("parses a whole request", () => {
    expect(parse(`${HEAD}Time-Left:  40 \r\ncontent-length: 3\r\n\r\nabc`))
      .toEqual({
        method: "POST",
        url: "/book/1?x=2",
        headers: {
          "host": "bands.example",
          "time-left": "40",
          "content-length": "3",
        },
      });
    expect(parse("GET / HTTP/1.1\r\nhost: a\r\n\r\n")?.url).toBe("/");
  });

  // Guards against a request that is read in another way than Node's server does.
  it.each([
    ["a part of a head", HEAD],
    ["a part of a body", `${HEAD}content-length: 3\r\n\r\nab`],
    ["another request behind it", `${HEAD}\r\nGET / HTTP/1.1\r\n`],
    ["chunks", `${HEAD}transfer-encoding: chunked\r\n\r\n`],
    ["an expectation", `${HEAD}expect: 100-continue\r\n\r\n`],
    ["an upgrade", `${HEAD}upgrade: h2c\r\n\r\n`],
    ["a header twice", `${HEAD}host: other\r\n\r\n`],
    ["two lengths", `${HEAD}content-length: 0, 0\r\n\r\n`],
    ["a folded header", `${HEAD}a: b\r\n c\r\n\r\n`],
    ["a bare line feed", `${HEAD}a: b\nc: d\r\n\r\n`],
    ["a space before the colon", `${HEAD}a : b\r\n\r\n`],
    ["a header without a name", `${HEAD}: b\r\n\r\n`],
    ["the name of a property of objects", `${HEAD}__proto__: b\r\n\r\n`],
    ["an absolute target", "GET http://a/ HTTP/1.1\r\nhost: a\r\n\r\n"],
    ["another version", "GET / HTTP/1.0\r\nhost: a\r\n\r\n"],
    ["no HTTP", "\x16\x03\x01\r\n\r\n"],
    ["a large request", `${HEAD}a: ${"b".repeat(16_384)}\r\n\r\n`],
  ])("leaves %s to Node's server", (_name, text) => {
    expect(parse(text)).toBeUndefined();
  });
});
