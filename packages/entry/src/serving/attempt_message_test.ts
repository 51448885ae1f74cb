import type { ReceivedHead } from "./attempt_listener.ts";
import { findResponseOwner, RESPONSE_OWNER } from "./attempt_message.ts";

const ANSWERED = new Set(["first", "second"]);

function toHead(headers: ReceivedHead["headers"]): ReceivedHead {
  return { status: 200, reason: "OK", headers };
}

describe("findResponseOwner", () => {
  const identity = {
    id: "own",
    readId: (headers: Readonly<Record<string, unknown>>): string | undefined =>
      headers["id"]?.toString(),
    isAlwaysNamed: false,
  };
  it.each([
    { name: "its identifier", id: "own", owner: RESPONSE_OWNER.attempt },
    { name: "none", id: undefined, owner: RESPONSE_OWNER.attempt },
    { name: "an earlier one", id: "first", owner: RESPONSE_OWNER.earlier },
    { name: "an unknown one", id: "else", owner: RESPONSE_OWNER.other },
  ])("tells whose response bears $name", ({ id, owner }) => {
    const headers = id === undefined ? {} : { id };
    expect(findResponseOwner(identity, toHead(headers), ANSWERED)).toBe(owner);
  });

  // Guards against a copy of an earlier refusal whose identifier is gone.
  it.each([
    { answered: new Set<string>(), owner: RESPONSE_OWNER.attempt },
    { answered: ANSWERED, owner: RESPONSE_OWNER.other },
  ])("tells whose response bears none where all do: $owner", (testCase) => {
    const named = { ...identity, isAlwaysNamed: true };
    expect(findResponseOwner(named, toHead({}), testCase.answered)).toBe(
      testCase.owner,
    );
  });

  // Guards against a copy that bears the identifier of a request which is under way
  // again on the same connection.
  it("does not tell whose response bears an identifier that came twice", () => {
    const answered = new Set(["own"]);
    expect(findResponseOwner(identity, toHead({ id: "own" }), answered)).toBe(
      RESPONSE_OWNER.other,
    );
  });
});
