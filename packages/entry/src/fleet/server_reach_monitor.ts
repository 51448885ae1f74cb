/** Finds out whether this VM still reaches the backend servers. */

import type { TrackedServer } from "@limpetford/core/placement/tracked_server";
import type { ReachChange } from "@limpetford/core/reach/service_reach";
import type { Clock } from "@limpetford/core/time/clock";
import type { RandomSource } from "@limpetford/core/time/random_source";
import type { ServerId, ServiceId } from "@limpetford/domain/ids";
import { SERVER_STATE } from "@limpetford/domain/service";
import type { SocketAddress } from "@limpetford/domain/vm";

import type { ContainedExceptions } from "../telemetry/contained_exceptions.ts";
import type { ConnectProbe, ConnectResult } from "./connect_probe.ts";
import type { FleetLog } from "./fleet_log.ts";
import type { Balancer, ServiceBalancers } from "./service_balancers.ts";

const CHECK_INTERVAL_MS = 50;
/** Servers of a service that one round connects to. */
const SERVERS_PER_ROUND = 5;
/** Services that a check of all of them connects to at once. */
const MAX_VERIFIED_SERVICES = 20;

/** Dependencies of a {@link ServerReachMonitor}. */
export interface ServerReachMonitorOptions {
  readonly balancers: ServiceBalancers;
  readonly probe: ConnectProbe;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: FleetLog;
  /** Receives what a check throws; the next one follows. */
  readonly exceptions: ContainedExceptions;
  /** Called when the servers of a service became unreachable or reachable. */
  readonly handleChange: (
    change: Exclude<ReachChange, "none">,
    addresses: readonly SocketAddress[],
  ) => void;
}

/**
 * Connects to some servers of a service when attempts at several of them fail
 * without an answer, and goes on until servers accept connections again.
 */
export class ServerReachMonitor {
  readonly #options: ServerReachMonitorOptions;
  /** Rounds under way. */
  readonly #rounds = new Map<ServiceId, Promise<void>>();
  #timer: NodeJS.Timeout | undefined;
  #isStopped = false;

  /**
   * Creates a monitor that checks nothing yet.
   *
   * @param options - balancers, probe, clock and log
   */
  constructor(options: ServerReachMonitorOptions) {
    this.#options = options;
  }

  /** Starts to check, until no attempt is running and all is reachable. */
  schedule(): void {
    if (this.#timer !== undefined || this.#isStopped) {
      return;
    }
    this.#timer = setTimeout(() => {
      this.#timer = undefined;
      if (this.#mayNeedMore()) {
        this.schedule();
      }
    }, CHECK_INTERVAL_MS);
  }

  /** Ends all checks. */
  stop(): void {
    this.#isStopped = true;
    clearTimeout(this.#timer);
  }

  /**
   * Finds out whether the links of this VM are sound, after one to a server
   * failed.
   *
   * @param server - the server
   * @returns false if no server of its service can be reached
   */
  async verifyLinks(server: ServerId): Promise<boolean> {
    const service = this.#options.balancers.findServiceOf(server);
    return service === undefined || await this.verifyService(service);
  }

  /**
   * Waits for the result of connects to servers of a service if there is a
   * suspicion.
   *
   * @param service - the service
   * @returns false if none of its servers can be reached
   */
  async verifyService(service: ServiceId): Promise<boolean> {
    const balancer = this.#options.balancers.findService(service);
    if (balancer === undefined) {
      return true;
    }
    const { reach } = balancer;
    if (reach.isInDoubt && !reach.isUnreachable) {
      await this.#runRound(service, balancer);
    }
    return !reach.isUnreachable;
  }

  /**
   * Connects to servers of all services, whatever is known of them.
   *
   * @returns resolves once the results are known
   */
  async verify(): Promise<void> {
    const services = this.#options.balancers.listByService()
      .slice(0, MAX_VERIFIED_SERVICES);
    await Promise.all(services.map(async ([service, balancer]) => {
      await this.#runRound(service, balancer);
    }));
  }

  #mayNeedMore(): boolean {
    try {
      return this.#checkAll();
    } catch (error) {
      this.#options.exceptions.report("timer", error);
      return true;
    }
  }

  #checkAll(): boolean {
    const nowMs = this.#options.clock.readMonotonicMs();
    let isNeeded = false;
    for (const [service, balancer] of this.#options.balancers.listByService()) {
      const { reach } = balancer;
      const servers = listActive(balancer);
      const overdue = servers.filter((server) => server.hasOverdue(nowMs))
        .map(({ announced }) => announced.id);
      reach.recordOverdue(overdue, nowMs);
      if (reach.shouldProbe(servers.length, nowMs)) {
        void this.#options.exceptions.wait(
          "timer",
          this.#runRound(service, balancer),
        );
      }
      const isOpen = reach.isUnreachable || reach.isInDoubt;
      isNeeded ||= (isOpen && servers.length > 0) ||
        servers.some(({ ownLoad }) => ownLoad > 0);
    }
    return isNeeded;
  }

  async #runRound(service: ServiceId, balancer: Balancer): Promise<void> {
    const running = this.#rounds.get(service) ??
      this.#connect(service, balancer);
    this.#rounds.set(service, running);
    try {
      await running;
    } finally {
      this.#rounds.delete(service);
    }
  }

  async #connect(service: ServiceId, balancer: Balancer): Promise<void> {
    const { clock, log } = this.#options;
    const { reach } = balancer;
    const startedAtMs = clock.readMonotonicMs();
    reach.beginRound(startedAtMs);
    const silentMs = Math.round(
      Math.min(startedAtMs - reach.reachedAtMs, startedAtMs),
    );
    const results = await this.#connectToSome(balancer);
    const accepted = countResults(results, "accepted");
    if (!reach.isUnreachable) {
      log.record("servers-suspected", {
        service,
        silentMs,
        accepted,
        refused: countResults(results, "refused"),
        unanswered: countResults(results, "unanswered"),
      });
    }
    const { lostAtMs } = reach;
    const nowMs = clock.readMonotonicMs();
    const change = reach.recordRound({
      accepted,
      failed: results.length - accepted,
    }, nowMs);
    if (change === "none") {
      return;
    }
    this.#logChange(service, change, {
      silentMs,
      lostMs: Math.round(nowMs - (lostAtMs ?? nowMs)),
    });
    this.schedule();
    this.#options.handleChange(
      change,
      balancer.listServers().map(({ announced }) => announced.address),
    );
  }

  // Resolves with the first connection that is accepted, or with all results.
  #connectToSome(balancer: Balancer): Promise<readonly ConnectResult[]> {
    const { probe } = this.#options;
    const servers = this.#pickServers(balancer);
    const results: ConnectResult[] = [];
    return new Promise((resolve) => {
      if (servers.length === 0) {
        resolve([]);
      }
      for (const { announced } of servers) {
        void probe.probe(announced.address).then((result) => {
          results.push(result);
          if (result === "accepted" || results.length === servers.length) {
            resolve([...results]);
          }
        });
      }
    });
  }

  #logChange(
    service: ServiceId,
    change: Exclude<ReachChange, "none">,
    times: { readonly silentMs: number; readonly lostMs: number },
  ): void {
    const { log } = this.#options;
    if (change === "lost") {
      const { silentMs } = times;
      log.record("servers-unreachable", { service, silentMs });
    } else {
      log.record("servers-reachable", { service, lostMs: times.lostMs });
    }
  }

  // Servers that raised the suspicion come last: they may be down.
  #pickServers(balancer: Balancer): readonly TrackedServer[] {
    const { random } = this.#options;
    const { reach } = balancer;
    return listActive(balancer)
      .map((server) => ({
        server,
        rank: random.sampleUniform() +
          Number(reach.isSuspected(server.announced.id)),
      }))
      .sort((a, b) => a.rank - b.rank)
      .slice(0, SERVERS_PER_ROUND)
      .map(({ server }) => server);
  }
}

function listActive(balancer: Balancer): readonly TrackedServer[] {
  return balancer.listServers().filter(({ announced }) =>
    announced.state === SERVER_STATE.active
  );
}

function countResults(
  results: readonly ConnectResult[],
  result: ConnectResult,
): number {
  return results.filter((other) => other === result).length;
}
