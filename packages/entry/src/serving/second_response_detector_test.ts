import { SecondResponseDetector } from "./second_response_detector.ts";

const ID = "9c41d07be2a35f68";
const SECOND =
  `HTTP/1.1 200 OK\r\nRequest-Id: ${ID}\r\ncontent-length: 4\r\n\r\nbody`;

function detectIn(chunks: readonly string[]): boolean {
  const detector = new SecondResponseDetector(({ headers }) =>
    headers["request-id"] === ID
  );
  return chunks.map((chunk) => detector.observe(Buffer.from(chunk)))
    .some(Boolean);
}

// Guards against a second response that is taken for the rest of the first.
describe("SecondResponseDetector", () => {
  it("finds a response that bears an identifier of the connection", () => {
    expect(detectIn([`body${SECOND}`])).toBe(true);
  });

  it.each(["request-id:<id>", "REQUEST-ID:  <id>  "])(
    "finds one however its headers are written: %s",
    (line) => {
      const header = line.replace("<id>", ID);
      expect(detectIn([`HTTP/1.1 503 No\r\n${header}\r\n`])).toBe(true);
    },
  );

  it("finds one without a reason phrase, which parsers accept", () => {
    expect(detectIn([`body${SECOND.replace("200 OK", "200")}`])).toBe(true);
  });

  it("finds one that is cut anywhere", () => {
    const text = `HTTP/1.1 body HTTP/1.1 200 ${SECOND}`;
    for (let at = 1; at < text.length; at++) {
      expect(detectIn([text.slice(0, at), text.slice(at)])).toBe(true);
    }
  });

  it("finds one behind a long text that looks like one", () => {
    const text = "HTTP/1.1 404 \r\n".repeat(5_000);
    expect(detectIn([text, SECOND])).toBe(true);
  });

  it.each(["HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 404 \r\n\r\nbody "])(
    "finds one behind a whole head that is no response: %j",
    (text) => {
      expect(detectIn([`body${text}${SECOND}`])).toBe(true);
      expect(detectIn([`body${text}`, SECOND])).toBe(true);
    },
  );

  it.each([
    "body",
    "",
    `a text that names ${ID}\r\n`,
    "HTTP/1.1 200 OK\r\nRequest-Id: 9c41d07be2a35f69\r\n\r\n",
    `HTTP/1.1 200 OK\r\nbody\r\n${ID}\r\n`,
    `HTTP/1.1 200 OK\r\n\r\nRequest-Id: ${ID}\r\n`,
  ])("leaves other text alone: %j", (text) => {
    expect(detectIn([text])).toBe(false);
  });
});
