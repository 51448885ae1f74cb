/** Finds the route of a request by host and longest path prefix. */

import type { HostRoute } from "@limpetford/domain/host_route";

/** Routes by host and path prefix. Prefixes begin and end with a slash. */
export class HostRouteIndex {
  readonly #byHost = new Map<string, Map<string, HostRoute>>();

  /**
   * Builds the index.
   *
   * @param routes - all routes of the configuration
   */
  constructor(routes: readonly HostRoute[]) {
    for (const route of routes) {
      const byPrefix = this.#byHost.get(route.host);
      if (byPrefix === undefined) {
        this.#byHost.set(route.host, new Map([[route.pathPrefix, route]]));
      } else {
        byPrefix.set(route.pathPrefix, route);
      }
    }
  }

  /**
   * Finds the route of a request.
   *
   * @param host - host in lower case, without a port
   * @param path - path without the query
   * @returns the route with the longest matching prefix; undefined if none does
   */
  findRoute(host: string, path: string): HostRoute | undefined {
    const byPrefix = this.#byHost.get(host);
    if (byPrefix === undefined) {
      return undefined;
    }
    let end = path.lastIndexOf("/");
    while (end >= 0) {
      const route = byPrefix.get(path.slice(0, end + 1));
      if (route !== undefined) {
        return route;
      }
      end = end === 0 ? -1 : path.lastIndexOf("/", end - 1);
    }
    return undefined;
  }
}
