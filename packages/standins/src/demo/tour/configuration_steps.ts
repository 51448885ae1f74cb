/** Steps on configuration changes and how they reach the VMs. */

import { createHash } from "node:crypto";
import { setTimeout as wait } from "node:timers/promises";

import { readSheet } from "@limpetford/ctl/sheet/sheet_file";
import type { ConfigurationChange } from "@limpetford/domain/configuration_record";
import type { KeyHash, TeamId } from "@limpetford/domain/ids";
import { toId } from "@limpetford/domain/ids";

import type { DemoRequest } from "../demo_caller.ts";
import { DemoCaller, formatResponse, sendOnce } from "../demo_caller.ts";
import type { DemoFleet } from "../demo_fleet.ts";
import { buildDemoKey } from "../demo_profile.ts";
import type { TourObservation } from "./tour_step.ts";
import { TourStep, waitUntil } from "./tour_step.ts";

const PROPAGATION_TIMEOUT_MS = 5_000;
const LEAVING_PROPAGATION_MS = 3_000;

/** Withdraws a key that is in use on open connections. */
export class WithdrawnKeyStep extends TourStep {
  override readonly guarantee =
    "every VM refuses a withdrawn key within 5 s, also on open connections";

  override async run(fleet: DemoFleet): Promise<TourObservation> {
    const key = `demo-key-issued-${Date.now()}`;
    const hash = hashKey(key);
    const path = fleet.profile.readPath;
    const callers = [...fleet.vms.values()].map((vm) =>
      new DemoCaller(vm.callerAddress)
    );
    const team = toId<TeamId>(fleet.profile.largeTeam);
    await publishChanges(fleet, [{ kind: "put-key", key: { hash, team } }]);
    const acceptedMs = await waitUntil(
      PROPAGATION_TIMEOUT_MS,
      () => checkAllResponses(callers, { path, key }, "200"),
    );
    const withdrawn = await fleet.createPublisher("demo").withdrawKey(hash);
    const refusals = await Promise.all(
      callers.map((caller) => waitForRefusal(caller, { path, key })),
    );
    await Promise.all(callers.map((caller) => caller.close()));
    const onOpen = refusals.filter((refusal) => refusal?.isOnOpenConnection);
    const tookMs = refusals.map((refusal) => refusal?.tookMs ?? Infinity);
    return {
      summary: `accepted by all VMs after ${acceptedMs ?? "?"} ms, refused ` +
        `by all after ${Math.max(...tookMs)} ms, at ${onOpen.length} of ` +
        `${callers.length} VMs on the connection used before`,
      isSatisfied: withdrawn.ok && acceptedMs !== undefined &&
        onOpen.length === callers.length,
    };
  }
}

/** Publishes two conflicting changes based on the same version. */
export class ConcurrentPublishStep extends TourStep {
  override readonly guarantee =
    "of two concurrent changes to one version, one is applied, one is rejected";

  override async run(fleet: DemoFleet): Promise<TourObservation> {
    const { configuration } = await fleet.readState();
    const publish = async (name: string, burst: number) => {
      const team = configuration.teams.find((t) =>
        t.id === toId<TeamId>(fleet.profile.smallTeam)
      );
      const changes: ConfigurationChange[] = team === undefined
        ? []
        : [{ kind: "put-team", team: { ...team, burst } }];
      return await fleet.createPublisher(name).publish({
        basedOn: configuration.version,
        changes,
      });
    };
    const results = await Promise.all([publish("ana", 25), publish("luz", 26)]);
    const outcomes = results.map((result) => {
      if (result.ok) {
        return "accepted";
      }
      return result.error.kind;
    }).sort();
    const after = (await fleet.readState()).configuration.version;
    return {
      summary: `${
        outcomes.join(", ")
      }; version ${configuration.version} → ${after}`,
      isSatisfied: outcomes.join() === "accepted,lost-race" &&
        after === configuration.version + 1,
    };
  }
}

/** Reads a sheet with several errors. */
export class InvalidSheetStep extends TourStep {
  override readonly guarantee =
    "every error in a sheet is reported, and nothing of it is published";

  override async run(fleet: DemoFleet): Promise<TourObservation> {
    const before = (await fleet.readState()).configuration;
    const text = "kind,name,rate-per-second,burst\n" +
      "team,costa,1.500,10\nteam,del ta,2,0\n";
    const sheet = readSheet(new TextEncoder().encode(text), before.version);
    const locations = sheet.ok
      ? []
      : sheet.error.map((fault) => `row ${fault.row} ${fault.column}`);
    const after = (await fleet.readState()).configuration.version;
    return {
      summary: `${locations.join(", ")}; version still ${after}`,
      isSatisfied: after === before.version &&
        locations.join() === "row 2 rate-per-second,row 3 burst,row 3 name",
    };
  }
}

/** Marks a backend server as leaving while it receives requests. */
export class LeavingServerStep extends TourStep {
  override readonly guarantee =
    "a leaving backend server receives no new requests after 3 s";

  override async run(fleet: DemoFleet): Promise<TourObservation> {
    const { service, readPath, largeTeam } = fleet.profile;
    const { configuration } = await fleet.readState();
    const server = configuration.servers.find((s) =>
      String(s.service) === service
    );
    const standin = fleet.servers.get(server?.id ?? "");
    if (server === undefined || standin === undefined) {
      return {
        summary: "the service has no backend server",
        isSatisfied: false,
      };
    }
    const leaving = { ...server, state: "leaving" } as const;
    await publishChanges(fleet, [{ kind: "put-server", server: leaving }]);
    await wait(LEAVING_PROPAGATION_MS);
    const before = { own: standin.runCount, all: fleet.countRuns() };
    const key = buildDemoKey(largeTeam);
    for (let round = 0; round < 20; round++) {
      await Promise.all(
        [...fleet.vms.values()].map((vm) =>
          sendOnce(vm.callerAddress, { path: readPath, key })
        ),
      );
      await wait(100);
    }
    const own = standin.runCount - before.own;
    const all = fleet.countRuns() - before.all;
    await publishChanges(fleet, [{ kind: "put-server", server }]);
    return {
      summary: `${own} of ${all} requests went to the leaving server`,
      isSatisfied: own === 0 && all > 50,
    };
  }
}

/** Publishes a new team and waits until all VMs accept its key. */
export class SheetPropagationStep extends TourStep {
  override readonly guarantee =
    "an accepted change takes effect at all VMs within 5 s";

  override async run(fleet: DemoFleet): Promise<TourObservation> {
    const { configuration } = await fleet.readState();
    const team = toId<TeamId>(`new-team-${configuration.version}`);
    const key = `demo-key-${team}`;
    await publishChanges(fleet, [
      {
        kind: "put-team",
        team: { id: team, ratePerSecond: 50, burst: 50, weight: 1 },
      },
      { kind: "put-key", key: { hash: hashKey(key), team } },
    ]);
    const path = fleet.profile.readPath;
    let last = "";
    const tookMs = await waitUntil(PROPAGATION_TIMEOUT_MS, async () => {
      const responses = await Promise.all(
        [...fleet.vms.values()].map((vm) =>
          sendOnce(vm.callerAddress, { path, key })
        ),
      );
      last = responses.map(formatResponse).join(", ");
      return responses.every((response) => formatResponse(response) === "200");
    });
    return {
      summary: tookMs === undefined
        ? `not in effect within ${PROPAGATION_TIMEOUT_MS} ms: ${last}`
        : `at all ${fleet.vms.size} VMs after ${tookMs} ms`,
      isSatisfied: tookMs !== undefined,
    };
  }
}

/** First refusal of a key that was accepted before. */
interface FirstRefusal {
  /** Time until the refusal, in milliseconds. */
  readonly tookMs: number;
  /** True if the refusal came without a new connection. */
  readonly isOnOpenConnection: boolean;
}

async function checkAllResponses(
  callers: readonly DemoCaller[],
  request: DemoRequest,
  expected: string,
): Promise<boolean> {
  const responses = await Promise.all(
    callers.map((caller) => caller.send(request)),
  );
  return responses.every((response) => formatResponse(response) === expected);
}

async function waitForRefusal(
  caller: DemoCaller,
  request: DemoRequest,
): Promise<FirstRefusal | undefined> {
  const before = caller.connectionCount;
  const tookMs = await waitUntil(
    PROPAGATION_TIMEOUT_MS,
    async () => formatResponse(await caller.send(request)) === "401 not-run",
  );
  const isOnOpenConnection = caller.connectionCount === before;
  return tookMs === undefined ? undefined : { tookMs, isOnOpenConnection };
}

async function publishChanges(
  fleet: DemoFleet,
  changes: readonly ConfigurationChange[],
): Promise<void> {
  const { configuration } = await fleet.readState();
  const result = await fleet.createPublisher("demo").publish({
    basedOn: configuration.version,
    changes,
  });
  if (!result.ok) {
    throw new Error(
      `configuration change was not published: ${result.error.kind}`,
    );
  }
}

function hashKey(key: string): KeyHash {
  return toId<KeyHash>(createHash("sha256").update(key).digest("hex"));
}
