import { type KeyHash, toId } from "@limpetford/domain/ids";

import { decodeConfiguration } from "./configuration_decoder.ts";

const LIMITS = {
  maximum_header_bytes: 16_384,
  maximum_body_bytes: 1_000,
  header_timeout_s: 3,
  idle_timeout_s: 15,
};
const ROUTE = {
  host: "A.Example",
  path_prefix: "/x/",
  kind: "unsafe",
  timeout_s: 2.5,
  target_latency_s: 0.6,
  maximum_attempts: 2,
  priority: 1,
  service: "s",
};

function decode(document: unknown): ReturnType<typeof decodeConfiguration> {
  const text = typeof document === "string"
    ? document
    : JSON.stringify(document);
  return decodeConfiguration(
    Buffer.from(text),
    (secret) => toId<KeyHash>(`hash of ${secret}`),
  );
}

describe("decodeConfiguration", () => {
  it("converts the operators' document to the fleet configuration", () => {
    expect(decode({
      version: 7,
      routes: {
        book: ROUTE,
        read: {
          ...ROUTE,
          kind: "safe",
          public: true,
          service: undefined,
          traffic_split: [
            { service: "s", weight: 90 },
            { service: "t", weight: 10 },
          ],
        },
        nowhere: { ...ROUTE, service: undefined },
      },
      services: { s: { health_path: "/h", connection_limit: 9 }, t: {} },
      limits: LIMITS,
      tenants: {
        dance: { api_keys: ["k1", "k2"], priority: 1, rate_per_s: 5, burst: 6 },
        free: {},
      },
      something_new: true,
    })).toMatchSnapshot();
  });

  const invalid: readonly (readonly [name: string, document: unknown])[] = [
    ["truncated JSON", '{"version":7,'],
    ["a document that is not an object", []],
    ["a route without a host", {
      version: 1,
      routes: { book: { ...ROUTE, host: undefined } },
      services: {},
      limits: LIMITS,
    }],
    ["a timeout of zero", {
      version: 1,
      routes: { book: { ...ROUTE, timeout_s: 0 } },
      services: {},
      limits: LIMITS,
    }],
    ["no limits", { version: 1, routes: {}, services: {} }],
  ];
  it.each(invalid)("reports %s", (_name, document) => {
    const decoded = decode(document);
    expect(decoded.ok ? undefined : decoded.error).toMatch(/./);
  });
});
