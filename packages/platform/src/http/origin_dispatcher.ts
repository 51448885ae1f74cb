/** Adapts an undici agent to a single origin. */

import type { Agent, Dispatcher } from "undici";

/**
 * Wraps an agent so that every request goes to one origin.
 *
 * @param agent - connection pool
 * @param origin - base URL, such as `http://127.0.0.9:8700`
 * @returns a dispatcher whose requests need only a path
 */
export function bindOrigin(agent: Agent, origin: string): Dispatcher {
  return agent.compose((dispatch) => (options, handler) =>
    dispatch({ ...options, origin }, handler)
  );
}
