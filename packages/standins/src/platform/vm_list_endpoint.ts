/** HTTP endpoint of the platform stand-in's VM list. */

import type { Clock } from "@limpetford/core/time/clock";
import type { MemoryVmList } from "@limpetford/platform/fakes/memory_vm_list";
import { vmListEntrySchema } from "@limpetford/platform/http/vm_list_schema";

import { JsonReply } from "./http_body.ts";

/**
 * Serves `GET /vms` (read the list) and `PUT /vms` (register or renew a VM).
 */
export class VmListEndpoint {
  readonly #rows: MemoryVmList;
  readonly #clock: Clock;

  /**
   * Creates the endpoint.
   *
   * @param rows - list to serve
   * @param clock - time source for renewals and the propagation delay
   */
  constructor(rows: MemoryVmList, clock: Clock) {
    this.#rows = rows;
    this.#clock = clock;
  }

  /**
   * Handles one request.
   *
   * @param method - HTTP method
   * @param body - request body: a JSON entry for PUT, ignored for GET
   * @returns the response to send
   * @throws SyntaxError if the body of a PUT is not JSON
   */
  handle(method: string, body: string): JsonReply {
    const nowMs = this.#clock.readMonotonicMs();
    switch (method) {
      case "GET":
        return new JsonReply(200, this.#rows.read(nowMs));
      case "PUT": {
        const entry = vmListEntrySchema.safeParse(JSON.parse(body));
        if (!entry.success) {
          return new JsonReply(400, { error: "not a row of the list" });
        }
        this.#rows.put(entry.data, nowMs);
        return new JsonReply(200, {});
      }
      default:
        return new JsonReply(405, { error: "GET or PUT" });
    }
  }
}
