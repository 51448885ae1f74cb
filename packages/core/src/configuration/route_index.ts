/** Finds the route of a request by method and path prefix. */

import type { Route } from "@limpetford/domain/route";

/** Wildcard that matches every method. */
const ANY_METHOD = "*";

/**
 * Index of routes by path prefix. Prefixes match whole path segments.
 */
export class RouteIndex {
  readonly #routesOfPrefix = new Map<string, Route[]>();
  #longestPrefixLength = 0;

  /**
   * Builds the index.
   *
   * @param routes - all routes of the configuration
   */
  constructor(routes: readonly Route[]) {
    for (const route of routes) {
      this.#addRoute(route);
    }
  }

  /**
   * Finds the route of a request: the longest matching path prefix wins, and
   * for equal prefixes the exact method wins over the wildcard.
   *
   * @param method - HTTP method in upper case
   * @param path - path without query
   * @returns the route; undefined if none matches
   */
  findRoute(method: string, path: string): Route | undefined {
    let prefix = this.#selectLongest(path);
    while (prefix !== "") {
      const route = chooseByMethod(this.#routesOfPrefix.get(prefix), method);
      if (route !== undefined) {
        return route;
      }
      prefix = prefix.slice(0, prefix.lastIndexOf("/"));
    }
    return chooseByMethod(this.#routesOfPrefix.get(""), method);
  }

  #addRoute(route: Route): void {
    const prefix = removeTrailingSlash(route.pathPrefix);
    const existing = this.#routesOfPrefix.get(prefix);
    if (existing === undefined) {
      this.#routesOfPrefix.set(prefix, [route]);
    } else {
      existing.push(route);
    }
    this.#longestPrefixLength = Math.max(
      this.#longestPrefixLength,
      prefix.length,
    );
  }

  // Shortens a path that is longer than every prefix, so that the number of
  // look-ups is bounded by the prefixes and not by the path.
  #selectLongest(path: string): string {
    const trimmed = removeTrailingSlash(path);
    if (trimmed.length <= this.#longestPrefixLength) {
      return trimmed;
    }
    const truncated = trimmed.slice(0, this.#longestPrefixLength + 1);
    return truncated.slice(0, truncated.lastIndexOf("/"));
  }
}

function removeTrailingSlash(path: string): string {
  return path.endsWith("/") ? path.slice(0, -1) : path;
}

function chooseByMethod(
  routes: readonly Route[] | undefined,
  method: string,
): Route | undefined {
  return routes?.find((route) => route.method === method) ??
    routes?.find((route) => route.method === ANY_METHOD);
}
