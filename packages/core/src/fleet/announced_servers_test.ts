import type { AnnouncedServer } from "@limpetford/domain/announced_server";
import {
  type ServerId,
  type ServiceId,
  toId,
  type ZoneId,
} from "@limpetford/domain/ids";

import { AnnouncedServers } from "./announced_servers.ts";

const A = toId<ServerId>("a");

function buildServer(changes: Partial<AnnouncedServer> = {}): AnnouncedServer {
  return {
    id: A,
    service: toId<ServiceId>("s"),
    zone: toId<ZoneId>("z"),
    address: { host: "10.0.0.1", port: 80 },
    slots: 3,
    state: "active",
    warmUpLeftMs: 0,
    startedAtMs: 1_000,
    sequence: 1,
    ...changes,
  };
}

function describeAll(servers: AnnouncedServers): readonly string[] {
  return servers.listServers().map(({ id, state, startedAtMs }) =>
    `${id} ${state} ${startedAtMs}`
  );
}

describe("AnnouncedServers", () => {
  const cases: readonly {
    readonly name: string;
    readonly then: Partial<AnnouncedServer>;
    readonly expected: readonly string[];
    readonly isChanged: boolean;
  }[] = [
    {
      name: "a later announcement of the same start",
      then: { sequence: 2 },
      expected: ["a active 1000"],
      isChanged: false,
    },
    {
      name: "an earlier announcement that comes late",
      then: { sequence: 0, state: "leaving" },
      expected: ["a active 1000"],
      isChanged: false,
    },
    {
      name: "a server that begins to leave",
      then: { sequence: 2, state: "leaving" },
      expected: ["a leaving 1000"],
      isChanged: true,
    },
    {
      name: "a new start under the same identifier",
      then: { sequence: 0, startedAtMs: 2_000 },
      expected: ["a active 2000"],
      isChanged: true,
    },
  ];
  it.each(cases)("applies $name", ({ then, expected, isChanged }) => {
    const servers = new AnnouncedServers();
    servers.applyAnnouncement(buildServer(), 0);
    expect(servers.applyAnnouncement(buildServer(then), 1)).toBe(isChanged);
    expect(describeAll(servers)).toEqual(expected);
  });

  it("does not take back that a server leaves", () => {
    const servers = new AnnouncedServers();
    servers.applyAnnouncement(buildServer({ state: "leaving" }), 0);
    servers.applyAnnouncement(buildServer({ sequence: 2 }), 1);
    expect(describeAll(servers)).toEqual(["a leaving 1000"]);
  });

  it("keeps a server whose removal waits, and one that comes back", () => {
    const servers = new AnnouncedServers();
    servers.applyAnnouncement(buildServer(), 0);
    servers.applyRemoval(A, 1, 2_000);
    servers.expireRemoved(1_999);
    expect(describeAll(servers)).toEqual(["a active 1000"]);
    servers.applyAnnouncement(buildServer({ sequence: 2 }), 2);
    servers.expireRemoved(9_000);
    expect(describeAll(servers)).toEqual(["a active 1000"]);
  });

  it("removes a server that a snapshot does not list", () => {
    const servers = new AnnouncedServers();
    servers.applyAnnouncement(buildServer(), 0);
    servers.removeUnlisted(new Set(), { endOffset: 5, effectiveAtMs: 10 });
    expect(servers.expireRemoved(10)).toBe(true);
    expect(describeAll(servers)).toEqual([]);
    expect(servers.nextOffset).toBe(5);
  });

  it("hands its changes to another VM, waiting removals included", () => {
    const from = new AnnouncedServers();
    from.applyAnnouncement(buildServer(), 0);
    from.applyAnnouncement(buildServer({ id: toId<ServerId>("b") }), 1);
    from.applyRemoval(A, 2, 5_000);
    from.markRead(3);
    const to = new AnnouncedServers();
    const changes = from.listChangesSince(0, 4_000);
    expect(to.applyChanges(changes, { nextOffset: 3, nowMs: 100 })).toBe(true);
    expect(describeAll(to)).toEqual(["a active 1000", "b active 1000"]);
    to.expireRemoved(1_100);
    expect(describeAll(to)).toEqual(["b active 1000"]);
    expect(to.nextOffset).toBe(3);
  });
});
