// Guards against VMs that divide for good into groups which never hear of each
// other: each group would grant the whole limit of a team.

import { makeError, type Result } from "@limpetford/domain/result";
import { formatAddress, type SocketAddress } from "@limpetford/domain/vm";
import { generateLoopbackHost } from "@limpetford/peer/fakes/loopback_host";
import {
  FleetCallClient,
  type FleetCallOptions,
} from "@limpetford/peer/fleet_calls";
import type { SyncMessage } from "@limpetford/peer/fleet_sync";
import type { PeerError } from "@limpetford/peer/peer_error";

import { CollectedExceptions } from "../fakes/collected_exceptions.ts";
import { buildEmptyConfiguration } from "../fakes/empty_configuration.ts";
import { ExchangeSide } from "../fakes/exchange_side.ts";
import { InputLimiter } from "../http/input_limiter.ts";
import { EventLoopMonitor } from "../vm/event_loop_monitor.ts";
import { resolvePort } from "../vm/free_port.ts";
import { SystemClock } from "../vm/system_clock.ts";
import { FleetExchange } from "./fleet_exchange.ts";
import { FleetState } from "./fleet_state.ts";
import { ServiceBalancers } from "./service_balancers.ts";

const CUT_MS = 1_500;
/** Time after the cut within which all VMs must know the same leaders. */
const MEET_MS = 3_000;
const POLL_MS = 50;
const FAULTS = 4;
const ZONES = ["a", "b"];

// Loses all calls to the addresses of another group.
class CuttableCallClient extends FleetCallClient {
  #unreachable: ReadonlySet<string> = new Set();

  setUnreachable(addresses: readonly SocketAddress[]): void {
    this.#unreachable = new Set(addresses.map(formatAddress));
  }

  override async sendExchange(
    message: SyncMessage,
    options: FleetCallOptions,
  ): Promise<Result<SyncMessage, PeerError>> {
    return this.#unreachable.has(formatAddress(options.to))
      ? makeError({ kind: "peer-reply-lost", cause: "cut" })
      : await super.sendExchange(message, options);
  }
}

interface Node {
  readonly side: ExchangeSide;
  readonly exchange: FleetExchange;
  readonly client: CuttableCallClient;
  readonly group: number;
  readonly exceptions: CollectedExceptions;
}

function buildNode(
  index: number,
  seeds: readonly SocketAddress[],
  peerAddress: SocketAddress,
): Node {
  const clock = new SystemClock();
  const zone = ZONES[index % ZONES.length] ?? "";
  const side = new ExchangeSide(`vm-${index}`, clock, {
    startedAtMs: index + 1,
    zone,
    peerAddress,
  });
  side.state.applyConfiguration({
    configuration: buildEmptyConfiguration(1),
    position: { era: 0, offset: 0 },
  });
  const exceptions = new CollectedExceptions();
  const client = new CuttableCallClient();
  const exchange = new FleetExchange({
    self: side.self,
    state: side.state,
    peers: side.peers,
    balancers: side.balancers,
    limiter: side.limiter,
    log: side.log,
    suspicions: side.crashes.suspicions,
    serverLimits: side.limits.tracker,
    tokenIssuer: side.limits.issuer,
    reach: side.reach,
    handleForwarded: () => undefined,
    exceptions,
    client,
    inputs: new InputLimiter(clock),
    loop: new EventLoopMonitor(clock),
    clock,
    seeds: seeds.filter((seed) => seed !== peerAddress),
  });
  const group = index < ZONES.length ? 0 : 1;
  return { side, exchange, client, group, exceptions };
}

// Each VM lists the leader of its own zone first.
function describeLeaders({ side }: Node): string {
  return side.peers.listLeaders().map(({ incarnation }) => incarnation.vm)
    .sort().join();
}

async function waitMs(durationMs: number): Promise<void> {
  await new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });
}

describe("FleetExchange", () => {
  let nodes: readonly Node[] = [];
  afterEach(async () => {
    for (const { exchange, client } of nodes) {
      exchange.stop();
      await client.close();
    }
  });

  async function startFleet(count: number, seedCount: number): Promise<void> {
    const addresses = await Promise.all(
      Array.from(
        { length: count },
        () => resolvePort({ host: generateLoopbackHost(), port: 0 }),
      ),
    );
    const seeds = addresses.slice(0, seedCount);
    nodes = addresses.map((address, index) => buildNode(index, seeds, address));
    for (const node of nodes) {
      node.client.setUnreachable(
        nodes.filter(({ group }) => group !== node.group)
          .map(({ side }) => side.self.peerAddress),
      );
    }
    await Promise.all(nodes.map(({ exchange }) => exchange.start()));
  }

  // Waits for one leader a zone, the same at all VMs.
  async function waitForOneGroup(): Promise<readonly string[]> {
    const deadlineMs = Date.now() + MEET_MS;
    let views: readonly string[] = [];
    do {
      await waitMs(POLL_MS);
      views = [...new Set(nodes.map(describeLeaders))];
    } while (views.length > 1 && Date.now() < deadlineMs);
    return views;
  }

  it.each([
    { what: "know each other from the list", isListed: true, seeds: 2 },
    { what: "know the seeds alone", isListed: false, seeds: 2 },
    { what: "have seeds in both groups", isListed: false, seeds: 3 },
  ])("joins groups that $what", async ({ isListed, seeds }) => {
    await startFleet(6, seeds);
    if (isListed) {
      for (const { side } of nodes) {
        for (const other of nodes) {
          side.state.applyVm(other.side.self);
        }
      }
    }
    await waitMs(CUT_MS);
    for (const { client } of nodes) {
      client.setUnreachable([]);
    }
    const views = await waitForOneGroup();
    expect({ views, isOne: views.length === 1 }).toEqual({
      views,
      isOne: true,
    });
  });

  it("joins after ticks, messages and replies that throw", async () => {
    const applyVm = jest.spyOn(FleetState.prototype, "applyVm");
    const takeEvidence = jest.spyOn(
      ServiceBalancers.prototype,
      "takeEvidence",
    );
    await startFleet(2, 1);
    for (const fault of [applyVm, takeEvidence]) {
      for (let count = 0; count < FAULTS; count += 1) {
        fault.mockImplementationOnce(() => {
          throw new Error("fault of the exchange");
        });
      }
    }
    await waitMs(CUT_MS);
    const views = await waitForOneGroup();
    jest.restoreAllMocks();
    expect(views).toEqual(["vm-0,vm-1"]);
    const sources = nodes.flatMap(({ exceptions }) => exceptions.sources);
    expect(sources).toEqual(Array(2 * FAULTS).fill("peer"));
  });
});
