/** Plays what crosses between two VMs and the store, for builds to compare. */

import { buildAnnouncedServer } from "@limpetford/core/fakes/announced_server";
import { EVIDENCE } from "@limpetford/core/placement/gray_failure_estimator";
import { FakeClock } from "@limpetford/core/time/fake_clock";
import type { FleetConfiguration } from "@limpetford/domain/fleet_configuration";
import { type ServiceId, type TeamId, toId } from "@limpetford/domain/ids";
import { makeOk } from "@limpetford/domain/result";
import { ROUTE_ACCESS } from "@limpetford/domain/route";
import { SERVER_STATE } from "@limpetford/domain/service";
import type {
  ServerTokenRequest,
  SyncMessage,
} from "@limpetford/peer/fleet_sync";
import { encodeStoreEra } from "@limpetford/platform/store/store_era_codec";
import { encodeSuspicion } from "@limpetford/platform/store/suspicion_codec";
import { encodeVmRecord } from "@limpetford/platform/store/vm_record_codec";

import { buildForwardingHeader } from "../dialect/forwarding_headers.ts";
import { buildEmptyConfiguration } from "./empty_configuration.ts";
import { buildExchangeVm, ExchangeSide } from "./exchange_side.ts";
import { buildPlacementRequest } from "./placement_request.ts";

const PEER_PORT = 8_090;
const ERA = 1;
const STARTED_AT_MS = 1;
/** Wall-clock time of what is recorded, in milliseconds. */
const WALL_MS = 1_000_000;
const SERVICE = toId<ServiceId>("s");
const TEAM = toId<TeamId>("dance");
const SERVER = buildAnnouncedServer("i-1");

/** What a build sends and writes, as parsed JSON. */
export interface RecordedExchange {
  /** Messages by name, in the order in which they were sent. */
  readonly messages: Readonly<Record<string, unknown>>;
  /** Values of records on the store. */
  readonly records: Readonly<Record<string, unknown>>;
  /** Values of headers of forwarded requests; empty if none are forwarded. */
  readonly headers: readonly string[];
}

// A route, a service, a team and a key.
function buildConfiguration(): FleetConfiguration {
  return {
    ...buildEmptyConfiguration(3),
    routes: [ROUTE_ACCESS.open, ROUTE_ACCESS.team].map((access) => ({
      id: toId(`r-${access}`),
      service: SERVICE,
      method: "GET",
      pathPrefix: `/${access}`,
      access,
      isIdempotent: true,
      deadlineMs: 1_000,
      bodyLimitBytes: 10,
      derivedKeyWindowMs: 0,
      host: "example.org",
      targets: [{ service: SERVICE, weight: 1 }],
      maxAttempts: 3,
      targetLatencyMs: 500,
      priority: 1,
    })),
    services: [{ id: SERVICE, healthPath: "/health", connections: 4 }],
    teams: [{
      id: TEAM,
      ratePerSecond: 5,
      burst: 10,
      weight: 1,
      priority: 2,
    }],
    keys: [{ hash: toId("00ff"), team: TEAM }],
  };
}

function recordCrash(side: ExchangeSide, name: string, atMs: number): void {
  side.crashes.registry.recordCrash(SERVER.id, [{
    fingerprint: name,
    id: `run of ${name} at ${atMs}`,
    sentAtMs: atMs - 60,
    endedAtMs: atMs,
    wasServerRunning: true,
    wasGivenUp: true,
  }], atMs);
  side.crashes.suspicions.recordCrash(SERVER.id);
}

// The VM that leads its zone and knows all that can be told.
function prepareLeader(leader: ExchangeSide, clock: FakeClock): void {
  const { state, peers, limits } = leader;
  const nowMs = clock.readMonotonicMs();
  state.observeStoreEra(ERA);
  state.applyConfiguration({
    configuration: buildConfiguration(),
    position: { era: ERA, offset: 7 },
  });
  state.recordConfigurationFreshness(nowMs);
  const leaving = { state: SERVER_STATE.leaving };
  const servers = [
    SERVER,
    buildAnnouncedServer("i-2", leaving),
    buildAnnouncedServer("i-3"),
  ];
  servers.forEach((server, offset) => {
    state.servers.applyAnnouncement(server, { era: ERA, offset });
  });
  const removal = { era: ERA, offset: servers.length };
  state.servers.applyRemoval(toId("i-3"), removal, nowMs + 900);
  state.servers.markRead({ era: ERA, offset: servers.length + 1 });
  state.recordServersFreshness(nowMs);
  state.applyVm(createVm("c", 3));
  peers.ownLeaderSinceMs = 10;
  peers.ownRequestsPerSecond = 20;
  peers.reach.record(toId("c"), {
    lostServices: [SERVICE],
    reachedAtMs: nowMs - 10,
    knownAtMs: nowMs,
  });
  limits.tracker.recordNamed(SERVER, 50);
  leader.crashes.registry.recordServerCrash("i-3", nowMs - 5);
  recordCrash(leader, "f", nowMs - 5);
  Object.assign(leader.balancers, { listLoads: () => [["i-1", 2]] });
  Object.assign(leader.limiter, { listDemand: () => [["dance", 1.5]] });
}

function createVm(id: string, number: number): ExchangeSide["self"] {
  const peerAddress = { host: `10.0.0.${number}`, port: PEER_PORT };
  return { ...buildExchangeVm(id, STARTED_AT_MS), peerAddress, weight: 0.5 };
}

/**
 * Plays an exchange between two VMs, one of them a leader that knows all that can
 * be told, and writes the records of the leader.
 *
 * @returns what was sent and written; equal for each play of the same build
 */
export async function recordExchange(): Promise<RecordedExchange> {
  const clock = new FakeClock();
  const messages: Record<string, unknown> = {};
  const leader = new ExchangeSide("b", clock);
  const follower = new ExchangeSide("a", clock, {
    limiter: {
      sendTokenRequest: (_vm, request) => {
        messages["tokenRequest"] = request;
        const reply = leader.limiter.handleTokenRequest(request);
        messages["tokenReply"] = reply;
        return Promise.resolve(reply);
      },
    },
    calls: {
      sendServerTokenRequest: (request: ServerTokenRequest) => {
        messages["serverTokenRequest"] = request;
        const reply = leader.limits.issuer.handleRequest(request);
        messages[`serverTokenReply ${reply.kind}`] = reply;
        return Promise.resolve(makeOk(reply));
      },
      sendServerLimitReport: (report) => {
        messages["serverLimitReport"] = report;
        return Promise.resolve(makeOk({}));
      },
    },
  });
  [follower, leader].forEach(({ self }, index) => {
    // No value is the default of a reader that misses the field.
    Object.assign(self, createVm(self.incarnation.vm, index + 1));
  });
  clock.advance(1_000);
  prepareLeader(leader, clock);
  const sendExchange = (names: readonly [string, string]): void => {
    const sentAtMs = clock.readMonotonicMs();
    const build = (from: ExchangeSide, to: ExchangeSide): SyncMessage =>
      from.messages.build(from.peers.getPeer(to.self), [
        [SERVER.id, EVIDENCE.failure, true],
        [SERVER.id, EVIDENCE.success, false],
      ]);
    const question = build(follower, leader);
    messages[names[0]] = toJson(question);
    leader.messages.apply(question, sentAtMs);
    const answer = build(leader, follower);
    messages[names[1]] = toJson(answer);
    follower.messages.apply(answer, sentAtMs);
    clock.advance(100);
  };
  sendExchange(["first", "firstReply"]);
  sendExchange(["second", "secondReply"]);
  messages["evidence"] = {
    from: leader.self.incarnation.vm,
    evidence: [[SERVER.id, EVIDENCE.failure, true]],
    ...leader.crashes.suspicions.takeNotice(),
  };
  await follower.limiter.acquire(TEAM, buildPlacementRequest("q").context);
  // The first one finds no token yet.
  await follower.limits.client.take(SERVER, 0);
  clock.advance(100);
  const verdict = await follower.limits.client.take(SERVER, 0);
  if (verdict.kind === "granted" && verdict.grant !== undefined) {
    const grant = verdict.grant;
    follower.limits.client.report(SERVER, { requestsPerSecond: 50, grant });
  }
  return toJson({
    messages,
    records: listRecords(leader, clock),
    headers: buildForwardingHeader({
      service: SERVICE,
      team: TEAM,
      attempts: 1,
      isCounted: true,
      version: 3,
      targetLeftMs: 400,
    }).slice(1),
  });
}

function listRecords(
  leader: ExchangeSide,
  clock: FakeClock,
): Readonly<Record<string, unknown>> {
  const codecClock = { nowMs: clock.readMonotonicMs(), wallMs: WALL_MS };
  const suspicions = leader.crashes.registry.list();
  const values = {
    vm: encodeVmRecord(leader.self),
    storeEra: encodeStoreEra(ERA),
    ...Object.fromEntries(
      suspicions.map((suspicion) => [
        `suspicion ${suspicion.fingerprint}`,
        encodeSuspicion(suspicion, codecClock),
      ]),
    ),
  };
  return Object.fromEntries(
    Object.entries(values).map(([name, value]) => [
      name,
      JSON.parse(value.toString()) as unknown,
    ]),
  );
}

function toJson<Value>(value: Value): Value {
  return JSON.parse(JSON.stringify(value)) as Value;
}
