/** A configuration source that tests and benchmarks set directly. */

import type { Configuration } from "@limpetford/domain/configuration";
import type {
  KeyHash,
  RouteId,
  ServerId,
  TeamId,
} from "@limpetford/domain/ids";
import type { Route } from "@limpetford/domain/route";
import { SERVER_STATE } from "@limpetford/domain/service";
import type { Team } from "@limpetford/domain/team";

import { ConfigurationSource } from "../ports/configuration_source.ts";

/**
 * Keeps a configuration in memory, without a log or other VMs.
 */
export class FixedConfiguration extends ConfigurationSource {
  readonly #listeners: (() => void)[] = [];
  readonly #withdrawn = new Set<KeyHash>();
  #configuration: Configuration | undefined;

  /**
   * Creates the source.
   *
   * @param configuration - the configuration in force; undefined for none
   */
  constructor(configuration?: Configuration) {
    super();
    this.#configuration = configuration;
  }

  /**
   * Replaces the configuration and notifies the listeners.
   *
   * @param configuration - the new configuration in force
   */
  setConfiguration(configuration: Configuration): void {
    this.#configuration = configuration;
    this.#listeners.forEach((listener) => {
      listener();
    });
  }

  /**
   * Withdraws an API key, so that it belongs to no team.
   *
   * @param key - hash of the key
   */
  withdrawKey(key: KeyHash): void {
    this.#withdrawn.add(key);
  }

  override readConfiguration(): Configuration | undefined {
    return this.#configuration;
  }

  override findTeamOfKey(key: KeyHash): TeamId | undefined {
    if (this.#withdrawn.has(key)) {
      return undefined;
    }
    return this.#configuration?.keys.find((known) => known.hash === key)?.team;
  }

  override findTeam(team: TeamId): Team | undefined {
    return this.#configuration?.teams.find((known) => known.id === team);
  }

  override findRoute(method: string, path: string): Route | undefined {
    let best: Route | undefined;
    for (const route of this.#configuration?.routes ?? []) {
      const isLonger = best === undefined ||
        route.pathPrefix.length > best.pathPrefix.length;
      if (isLonger && isMatch(route, method, path)) {
        best = route;
      }
    }
    return best;
  }

  override findRouteById(id: RouteId): Route | undefined {
    return this.#configuration?.routes.find((route) => route.id === id);
  }

  override isServerLeaving(id: ServerId): boolean {
    const server = this.#configuration?.servers.find((known) =>
      known.id === id
    );
    return server?.state === SERVER_STATE.leaving;
  }

  override isInForce(): boolean {
    return this.#configuration !== undefined;
  }

  override subscribe(listener: () => void): void {
    this.#listeners.push(listener);
  }
}

function isMatch(route: Route, method: string, path: string): boolean {
  if (route.method !== "*" && route.method !== method) {
    return false;
  }
  const prefix = route.pathPrefix.endsWith("/")
    ? route.pathPrefix.slice(0, -1)
    : route.pathPrefix;
  return path === prefix || path.startsWith(`${prefix}/`);
}
