/** Endpoints for callers under `/.limpetford/`, served without a backend. */

import { type ServiceId, toId } from "@limpetford/domain/ids";
import { formatAddress } from "@limpetford/domain/vm";

import type { CallerExchange } from "../serving/caller_exchange.ts";
import { parseCallerKey } from "../serving/caller_key.ts";
import { refuseNotRun } from "../serving/refusal.ts";
import type { ServingPorts } from "../serving/serving_ports.ts";

const PREFIX = "/.limpetford/";
const STATUS_OK = 200;
const STATUS_UNAVAILABLE = 503;

/**
 * Serves liveness and readiness checks, and the list of entry VMs that a team
 * should use for a service.
 */
export class OwnEndpoints {
  readonly #ports: ServingPorts;

  /**
   * Creates the endpoints.
   *
   * @param ports - supplies the configuration and the list of entry VMs
   */
  constructor(ports: ServingPorts) {
    this.#ports = ports;
  }

  /**
   * Handles a request whose path is under `/.limpetford/`.
   *
   * @param exchange - the request and its response
   * @param isStopping - true once a graceful stop has begun
   * @returns false if the request has another path and was not handled
   */
  handle(exchange: CallerExchange, isStopping: boolean): boolean {
    const target = exchange.request.url ?? "";
    if (!target.startsWith(PREFIX)) {
      return false;
    }
    const url = new URL(target, "http://entry.invalid");
    if (exchange.request.method !== "GET") {
      exchange.refuse(refuseNotRun("route-unknown"));
      return true;
    }
    switch (url.pathname.slice(PREFIX.length)) {
      case "live":
        exchange.sendDocument(STATUS_OK, { status: "live" });
        break;
      case "ready":
        this.#sendReadiness(exchange, isStopping);
        break;
      case "entries":
        this.#sendEntries(exchange, url.searchParams.get("service"));
        break;
      default:
        exchange.refuse(refuseNotRun("route-unknown"));
    }
    return true;
  }

  #sendReadiness(exchange: CallerExchange, isStopping: boolean): void {
    const isReady = this.#ports.configuration.isInForce() && !isStopping;
    exchange.sendDocument(isReady ? STATUS_OK : STATUS_UNAVAILABLE, {
      status: isReady ? "ready" : "not-ready",
    });
  }

  #sendEntries(exchange: CallerExchange, service: string | null): void {
    const { configuration, entrySelector } = this.#ports;
    if (!configuration.isInForce()) {
      exchange.refuse(refuseNotRun("no-configuration"));
      return;
    }
    const key = parseCallerKey(exchange.request.headers.authorization);
    if (key === undefined) {
      exchange.refuse(refuseNotRun("key-missing"));
      return;
    }
    const team = configuration.findTeamOfKey(key.hash);
    if (team === undefined) {
      exchange.refuse(refuseNotRun("key-unknown"));
      return;
    }
    const services = configuration.readConfiguration()?.services ?? [];
    if (!services.some((known) => known.id === service)) {
      exchange.refuse(refuseNotRun("route-unknown"));
      return;
    }
    const entries = entrySelector.listEntries(
      team,
      toId<ServiceId>(service ?? ""),
    );
    exchange.sendDocument(STATUS_OK, {
      service,
      addresses: entries.addresses.map(formatAddress),
      validForMs: entries.validForMs,
    });
  }
}
