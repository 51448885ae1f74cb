/** In-memory log service and VM list of the platform on one HTTP port. */

import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";

import type { Clock } from "@limpetford/core/time/clock";
import type { SocketAddress } from "@limpetford/domain/vm";
import { formatAddress } from "@limpetford/domain/vm";
import { LogFaults } from "@limpetford/platform/fakes/log_faults";
import { MemoryLogStore } from "@limpetford/platform/fakes/memory_log_store";
import { MemoryVmList } from "@limpetford/platform/fakes/memory_vm_list";

import { readBody } from "./http_body.ts";
import { LogEndpoint } from "./log_endpoint.ts";
import { VmListEndpoint } from "./vm_list_endpoint.ts";

/** Clock, address and retention of the stand-in. */
export interface PlatformStandinOptions {
  readonly clock: Clock;
  /** Listen address; default a free port of 127.0.0.1. */
  readonly address?: SocketAddress;
  /** Age at which records expire, in milliseconds; default never. */
  readonly retentionMs?: number;
}

const ANY_LOCAL_PORT: SocketAddress = { host: "127.0.0.1", port: 0 };

/**
 * Serves log streams and the VM list from memory, and injects faults on demand.
 */
export class PlatformStandin {
  readonly store: MemoryLogStore;
  readonly logFaults = new LogFaults();
  readonly vmRows = new MemoryVmList();
  /** If true, requests to the VM list have their connection closed. */
  isVmListUnavailable = false;
  readonly #clock: Clock;
  readonly #address: SocketAddress;
  readonly #server: Server;
  readonly #logEndpoint: LogEndpoint;
  readonly #vmListEndpoint: VmListEndpoint;

  /**
   * Creates a stand-in that does not listen yet.
   *
   * @param options - clock, listen address and retention
   */
  constructor(options: PlatformStandinOptions) {
    this.#clock = options.clock;
    this.#address = options.address ?? ANY_LOCAL_PORT;
    this.store = new MemoryLogStore(
      options.retentionMs === undefined
        ? {}
        : { retentionMs: options.retentionMs },
    );
    this.#logEndpoint = new LogEndpoint({
      store: this.store,
      faults: this.logFaults,
      clock: this.#clock,
    });
    this.#vmListEndpoint = new VmListEndpoint(this.vmRows, this.#clock);
    this.#server = createServer((request, response) => {
      void this.#handle(request, response);
    });
    this.#server.keepAliveTimeout = 60_000;
  }

  /**
   * Starts to listen on the address of the options.
   *
   * @returns the base URL for clients, with the bound port
   */
  async start(): Promise<string> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(this.#address.port, this.#address.host, resolve);
    });
    const { port } = this.#server.address() as AddressInfo;
    return `http://${formatAddress({ host: this.#address.host, port })}`;
  }

  /** Stops listening and closes all connections. */
  async stop(): Promise<void> {
    this.#logEndpoint.stop();
    this.#server.closeAllConnections();
    await new Promise<void>((resolve) => {
      this.#server.close(() => {
        resolve();
      });
    });
  }

  async #handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const url = new URL(request.url ?? "/", "http://platform");
    try {
      if (url.pathname === "/vms") {
        if (this.isVmListUnavailable) {
          request.socket.destroy();
          return;
        }
        this.#vmListEndpoint.handle(
          request.method ?? "",
          await readBody(request),
        )
          .writeTo(response);
        return;
      }
      const body = await readBody(request);
      const method = request.method ?? "";
      const reply = await this.#logEndpoint.handle({ method, url, body });
      if (reply === undefined) {
        request.socket.destroy();
        return;
      }
      reply.writeTo(response);
    } catch {
      request.socket.destroy();
    }
  }
}
