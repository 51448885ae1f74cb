/** HTTP client of the VM list; see docs/platform_protocol.md. */

import type { Result } from "@limpetford/domain/result";
import { makeError, makeOk } from "@limpetford/domain/result";
import { Agent, type Dispatcher } from "undici";

import type { VmListEntry, VmListError } from "../vm_list.ts";
import { VmList } from "../vm_list.ts";
import { sendJson } from "./json_call.ts";
import { bindOrigin } from "./origin_dispatcher.ts";
import { vmListSchema } from "./vm_list_schema.ts";

/** Settings of {@link HttpVmList}. */
export interface HttpVmListOptions {
  /** Timeout of a call, in milliseconds; default 2,000. */
  readonly timeoutMs?: number;
}

const DEFAULT_TIMEOUT_MS = 2_000;
const CONNECTIONS = 2;
const STATUS_OK = 200;

/**
 * Reads and updates the platform's list of VMs over HTTP.
 */
export class HttpVmList extends VmList {
  readonly #agent: Agent;
  readonly #dispatcher: Dispatcher;
  readonly #timeoutMs: number;

  /**
   * Creates a client; it connects on its first call.
   *
   * @param origin - base URL of the service
   * @param options - timeout of the calls
   */
  constructor(origin: string, options: HttpVmListOptions = {}) {
    super();
    this.#timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;
    this.#agent = new Agent({
      connections: CONNECTIONS,
      connect: { timeout: this.#timeoutMs },
    });
    this.#dispatcher = bindOrigin(this.#agent, origin);
  }

  override async read(): Promise<Result<readonly VmListEntry[], VmListError>> {
    const sent = await sendJson(this.#dispatcher, {
      method: "GET",
      path: "/vms",
      timeoutMs: this.#timeoutMs,
    });
    if (!sent.ok) {
      return makeError({ kind: "list-away", cause: sent.error.cause });
    }
    const list = vmListSchema.safeParse(sent.value.body);
    if (sent.value.status === STATUS_OK && list.success) {
      return makeOk(list.data);
    }
    const cause = `unexpected response with status ${sent.value.status}`;
    return makeError({ kind: "list-away", cause });
  }

  override async register(
    entry: VmListEntry,
  ): Promise<Result<undefined, VmListError>> {
    const sent = await sendJson(this.#dispatcher, {
      method: "PUT",
      path: "/vms",
      body: entry,
      timeoutMs: this.#timeoutMs,
    });
    if (sent.ok && sent.value.status === STATUS_OK) {
      return makeOk(undefined);
    }
    const cause = sent.ok
      ? `unexpected response with status ${sent.value.status}`
      : sent.error.cause;
    return makeError({ kind: "list-away", cause });
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }
}
