/** Formats configuration changes as table rows. */

import type { ConfigurationChange } from "@limpetford/domain/configuration_record";
import { formatAddress } from "@limpetford/domain/vm";

/**
 * Formats a change as a row of a table.
 *
 * @param change - change to format
 * @returns three cells: operation, kind and id of the record, and new value
 */
export function formatChange(change: ConfigurationChange): readonly string[] {
  switch (change.kind) {
    case "put-service": {
      const { id, floor, falseEjectionsPerServerDay } = change.service;
      const value = `floor ${floor}, ${falseEjectionsPerServerDay} false ` +
        "ejections per server and day";
      return ["put", `service ${id}`, value];
    }
    case "put-server": {
      const { id, service, address, slots, state } = change.server;
      const value = `${service} at ${formatAddress(address)}, ` +
        `${slots} slots, ${state}`;
      return ["put", `server ${id}`, value];
    }
    case "put-route": {
      const { id, method, pathPrefix, isIdempotent, deadlineMs } = change.route;
      const repeatable = isIdempotent ? "repeatable" : "runs at most once";
      const value = `${method} ${pathPrefix}, ${repeatable}, ${deadlineMs} ms`;
      return ["put", `route ${id}`, value];
    }
    case "put-team": {
      const { id, ratePerSecond, burst, weight } = change.team;
      const value = `${ratePerSecond}/s, burst ${burst}, weight ${weight}`;
      return ["put", `team ${id}`, value];
    }
    case "put-key":
      return ["put", `key ${change.key.hash}`, `team ${change.key.team}`];
    case "remove-service":
      return ["remove", `service ${change.id}`, ""];
    case "remove-server":
      return ["remove", `server ${change.id}`, ""];
    case "remove-route":
      return ["remove", `route ${change.id}`, ""];
    case "remove-team":
      return ["remove", `team ${change.id}`, ""];
    case "remove-key":
      return ["remove", `key ${change.hash}`, ""];
  }
}
