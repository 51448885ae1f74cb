import type { AnnouncedServer } from "@limpetford/domain/announced_server";
import { type ServerId, toId } from "@limpetford/domain/ids";

import { buildAnnouncedServer } from "../fakes/announced_server.ts";
import { SeededRandomSource } from "../time/random_source.ts";
import { AnnouncedServers } from "./announced_servers.ts";

const A = toId<ServerId>("a");

function buildServer(changes: Partial<AnnouncedServer> = {}): AnnouncedServer {
  return buildAnnouncedServer(A, { startedAtMs: 1_000, ...changes });
}

function describeAll(servers: AnnouncedServers): readonly string[] {
  return servers.listServers().map(({ id, state, startedAtMs }) =>
    `${id} ${state} ${startedAtMs}`
  ).sort();
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
      name: "an earlier announcement that arrives late",
      then: { sequence: 0, state: "leaving" },
      expected: ["a active 1000"],
      isChanged: false,
    },
    {
      name: "an announcement that the server is leaving",
      then: { sequence: 2, state: "leaving" },
      expected: ["a leaving 1000"],
      isChanged: true,
    },
    {
      name: "a restart under the same identifier",
      then: { sequence: 0, startedAtMs: 2_000 },
      expected: ["a active 2000"],
      isChanged: true,
    },
  ];
  it.each(cases)("applies $name", ({ then, expected, isChanged }) => {
    const servers = new AnnouncedServers();
    servers.applyAnnouncement(buildServer(), { era: 0, offset: 0 });
    expect(servers.applyAnnouncement(buildServer(then), { era: 0, offset: 1 }))
      .toBe(isChanged);
    expect(describeAll(servers)).toEqual(expected);
  });

  it("keeps a server leaving until it restarts", () => {
    const servers = new AnnouncedServers();
    servers.applyAnnouncement(buildServer({ state: "leaving" }), {
      era: 0,
      offset: 0,
    });
    servers.applyAnnouncement(buildServer({ sequence: 2 }), {
      era: 0,
      offset: 1,
    });
    expect(describeAll(servers)).toEqual(["a leaving 1000"]);
  });

  it("keeps a server leaving that has said so itself, until it restarts", () => {
    const servers = new AnnouncedServers();
    servers.applyAnnouncement(buildServer(), { era: 0, offset: 0 });
    expect(servers.markLeaving(A, 999)).toBe(false);
    expect(servers.markLeaving(toId<ServerId>("b"), 1_000)).toBe(false);
    expect(servers.markLeaving(A, 1_000)).toBe(true);
    expect(servers.markLeaving(A, 1_000)).toBe(false);
    servers.applyAnnouncement(buildServer({ sequence: 2 }), {
      era: 0,
      offset: 1,
    });
    expect(describeAll(servers)).toEqual(["a leaving 1000"]);
    servers.applyAnnouncement(
      buildServer({ sequence: 0, startedAtMs: 2_000 }),
      { era: 0, offset: 2 },
    );
    expect(describeAll(servers)).toEqual(["a active 2000"]);
    expect(servers.markLeaving(A, 1_000)).toBe(false);
  });

  // Guards against VMs that go on sending to a server which has told others that
  // it leaves, whatever they have read of the store.
  it("tells all VMs that a server has said so, in any order", () => {
    for (let seed = 1; seed <= 200; seed++) {
      const random = new SeededRandomSource(seed);
      const vms = Array.from({ length: 4 }, () => new AnnouncedServers());
      const seen = new Map<string, number>();
      const exchange = (from: number, to: number): void => {
        const { changes, revision } = vms[from]?.listChangesSince(
          seen.get(`${from} ${to}`) ?? 0,
          0,
        ) ?? { changes: [], revision: 0 };
        vms[to]?.applyChanges(changes, 0);
        seen.set(`${from} ${to}`, revision);
      };
      const left = new Set<number>();
      let startedAtMs = 1;
      for (let offset = 0; offset < 60; offset++) {
        const chance = random.sampleUniform();
        startedAtMs += chance < 0.05 ? 1 : 0;
        const server = buildServer({ startedAtMs, sequence: offset });
        for (const vm of vms) {
          if (random.sampleUniform() < 0.5) {
            vm.applyAnnouncement(server, { era: 0, offset });
          }
        }
        const said = vms[random.pickIndex(vms.length)];
        if (chance > 0.95 && said?.markLeaving(A, startedAtMs) === true) {
          left.add(startedAtMs);
        }
        exchange(random.pickIndex(vms.length), random.pickIndex(vms.length));
      }
      const indexes = [...vms.keys()];
      for (const via of indexes) {
        indexes.forEach((index) => {
          exchange(index, via);
        });
        indexes.forEach((index) => {
          exchange(via, index);
        });
      }
      const state = left.has(startedAtMs) ? "leaving" : "active";
      for (const vm of vms) {
        expect({ seed, servers: describeAll(vm) }).toEqual({
          seed,
          servers: [`a ${state} ${startedAtMs}`],
        });
      }
    }
  });

  it("keeps a server until its removal is due, and if it reappears", () => {
    const servers = new AnnouncedServers();
    servers.applyAnnouncement(buildServer(), { era: 0, offset: 0 });
    servers.applyRemoval(A, { era: 0, offset: 1 }, 2_000);
    servers.expireRemoved(1_999);
    expect(describeAll(servers)).toEqual(["a active 1000"]);
    servers.applyAnnouncement(buildServer({ sequence: 2 }), {
      era: 0,
      offset: 2,
    });
    servers.expireRemoved(9_000);
    expect(describeAll(servers)).toEqual(["a active 1000"]);
  });

  // Guards against a list that grows with each server that ever was.
  it("forgets a server long after its removal, and does not take it back", () => {
    const servers = new AnnouncedServers();
    const paused = new AnnouncedServers();
    for (const vm of [servers, paused]) {
      vm.applyAnnouncement(buildServer(), { era: 0, offset: 0 });
    }
    servers.applyRemoval(A, { era: 0, offset: 1 }, 1_000);
    servers.markRead({ era: 0, offset: 2 });
    expect(servers.expireRemoved(1_000)).toBe(true);
    servers.expireRemoved(500_000);
    expect(servers.listChangesSince(0, 0).changes).toHaveLength(1);
    servers.expireRemoved(700_000);
    expect(servers.listChangesSince(0, 0).changes).toEqual([]);
    const { changes } = paused.listChangesSince(0, 0);
    expect(servers.applyChanges(changes, 700_000)).toBe(false);
    expect(describeAll(servers)).toEqual([]);
    servers.applyAnnouncement(buildServer({ startedAtMs: 2_000 }), {
      era: 0,
      offset: 2,
    });
    expect(describeAll(servers)).toEqual(["a active 2000"]);
  });

  it("removes a server that a snapshot does not list", () => {
    const servers = new AnnouncedServers();
    servers.applyAnnouncement(buildServer(), { era: 0, offset: 0 });
    servers.removeUnlisted(new Set(), { era: 0, offset: 5 }, 10);
    expect(servers.expireRemoved(10)).toBe(true);
    expect(describeAll(servers)).toEqual([]);
    expect(servers.nextPosition).toEqual({ era: 0, offset: 5 });
  });

  it("passes its changes to another VM, with pending removals", () => {
    const from = new AnnouncedServers();
    from.applyAnnouncement(buildServer(), { era: 0, offset: 0 });
    from.applyAnnouncement(buildServer({ id: toId<ServerId>("b") }), {
      era: 0,
      offset: 1,
    });
    from.applyRemoval(A, { era: 0, offset: 2 }, 5_000);
    const to = new AnnouncedServers();
    const { changes, isComplete } = from.listChangesSince(0, 4_000);
    expect(isComplete).toBe(true);
    expect(to.applyChanges(changes, 100)).toBe(true);
    expect(describeAll(to)).toEqual(["a active 1000", "b active 1000"]);
    to.expireRemoved(1_100);
    expect(describeAll(to)).toEqual(["b active 1000"]);
    expect(from.listChangesSince(undefined, 4_000).isComplete).toBe(false);
  });

  // Guards against a VM that comes back and uses a server that all others dropped.
  it("ends its deferral of a removal if another VM knows of none", () => {
    const [late, other] = [new AnnouncedServers(), new AnnouncedServers()];
    for (const [servers, removeAtMs] of [[late, 2_300], [other, 0]] as const) {
      servers.applyAnnouncement(buildServer(), { era: 0, offset: 0 });
      servers.applyRemoval(A, { era: 0, offset: 1 }, removeAtMs);
      servers.expireRemoved(0);
    }
    expect(describeAll(late)).toEqual(["a active 1000"]);
    late.applyChanges(other.listChangesSince(0, 0).changes, 0);
    expect(describeAll(late)).toEqual([]);
  });

  // Each case: a server that drained at sequence 5 and was removed at offset 90
  // of the first era, and what a copy of the store or another VM says of it.
  describe("after a return of the store from a copy", () => {
    const LOST = { era: 0, offset: 90 };
    let servers: AnnouncedServers;
    beforeEach(() => {
      servers = new AnnouncedServers();
      servers.applyAnnouncement(buildServer(), { era: 0, offset: 10 });
      servers.applyAnnouncement(
        buildServer({ sequence: 5, state: "leaving" }),
        {
          era: 0,
          offset: 80,
        },
      );
      servers.applyRemoval(A, LOST, 0);
      servers.expireRemoved(0);
    });

    it("does not bring back a server that has gone", () => {
      servers.applyAnnouncement(buildServer({ sequence: 4 }), {
        era: 1,
        offset: 60,
      });
      expect(describeAll(servers)).toEqual([]);
    });

    it("does not take another VM's word for it that read only the copy", () => {
      const fresh = new AnnouncedServers();
      fresh.applyAnnouncement(buildServer({ sequence: 4 }), {
        era: 1,
        offset: 60,
      });
      servers.applyChanges(fresh.listChangesSince(0, 0).changes, 0);
      expect(describeAll(servers)).toEqual([]);
      fresh.applyChanges(servers.listChangesSince(0, 0).changes, 0);
      expect(describeAll(fresh)).toEqual([]);
    });

    it("lists the server once it has started again", () => {
      servers.applyAnnouncement(
        buildServer({ sequence: 1, startedAtMs: 5_000 }),
        { era: 1, offset: 70 },
      );
      expect(describeAll(servers)).toEqual(["a active 5000"]);
    });

    it("takes a removal that was recorded after its own snapshot", () => {
      const other = new AnnouncedServers();
      const b = buildServer({ id: toId<ServerId>("b"), sequence: 40 });
      servers.applyAnnouncement(b, { era: 0, offset: 70 });
      servers.removeUnlisted(new Set(["b"]), { era: 1, offset: 60 }, 0);
      other.applyAnnouncement({ ...b, sequence: 30 }, { era: 1, offset: 20 });
      other.applyRemoval(b.id, { era: 1, offset: 75 }, 0);
      other.expireRemoved(0);
      servers.applyChanges(other.listChangesSince(0, 0).changes, 0);
      expect(describeAll(servers)).toEqual([]);
    });

    it("keeps a server that the copy does not know until removals are due", () => {
      const b = buildServer({ id: toId<ServerId>("b") });
      servers.applyAnnouncement(b, { era: 0, offset: 95 });
      servers.removeUnlisted(new Set(), { era: 1, offset: 60 }, 2_300);
      servers.expireRemoved(2_299);
      expect(describeAll(servers)).toEqual(["b active 1000"]);
      servers.applyAnnouncement({ ...b, sequence: 2 }, { era: 1, offset: 61 });
      servers.expireRemoved(9_000);
      expect(describeAll(servers)).toEqual(["b active 1000"]);
    });
  });
});
