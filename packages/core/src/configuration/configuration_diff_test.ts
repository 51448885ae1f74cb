import type { Configuration } from "@limpetford/domain/configuration";
import type { ConfigurationVersion, ServiceId } from "@limpetford/domain/ids";
import { toId } from "@limpetford/domain/ids";

import { computeChanges } from "./configuration_diff.ts";

function makeConfiguration(suffix: string, floor: number): Configuration {
  const service = toId<ServiceId>("booking");
  return {
    version: toId<ConfigurationVersion>(1),
    services: [{
      id: service,
      floor,
      falseEjectionsPerServerDay: 0.1,
      healthPath: "/health",
    }],
    servers: [{
      id: toId(`server-${suffix}`),
      service,
      zone: toId("zone-a"),
      address: { host: "127.0.0.1", port: 80 },
      slots: 3,
      connections: 400,
      state: "active",
    }],
    routes: [{
      id: toId(`route-${suffix}`),
      service,
      method: "GET",
      pathPrefix: "/",
      access: "team",
      isIdempotent: true,
      deadlineMs: 1_000,
      bodyLimitBytes: 0,
      derivedKeyWindowMs: 0,
    }],
    teams: [{
      id: toId(`team-${suffix}`),
      ratePerSecond: 1,
      burst: 1,
      weight: 1,
    }],
    keys: [{ hash: toId(`hash-${suffix}`), team: toId(`team-${suffix}`) }],
  };
}

describe("computeChanges", () => {
  it("is empty for equal configurations, regardless of the order of fields", () => {
    const from = makeConfiguration("a", 0.5);
    const servers = from.servers.map((server) => ({
      ...Object.fromEntries(Object.entries(server).reverse()),
      ...server,
      address: { port: 80, host: "127.0.0.1" },
    }));
    const to = { ...from, servers, version: toId<ConfigurationVersion>(9) };
    expect(computeChanges(from, to)).toEqual([]);
  });

  it("puts referenced records first and removes them last", () => {
    const from = makeConfiguration("a", 0.5);
    const changes = computeChanges(from, makeConfiguration("b", 0.6));
    expect(changes.map((change) => change.kind)).toEqual([
      "put-service",
      "put-team",
      "put-server",
      "put-route",
      "put-key",
      "remove-key",
      "remove-route",
      "remove-server",
      "remove-team",
    ]);
  });

  it("detects a change in a nested value", () => {
    const from = makeConfiguration("a", 0.5);
    const servers = from.servers.map((server) => ({
      ...server,
      address: { ...server.address, port: 81 },
    }));
    expect(computeChanges(from, { ...from, servers })).toEqual([
      { kind: "put-server", server: servers[0] },
    ]);
  });
});
