/** Sends counters and timers to a StatsD server. */

import type { SocketAddress } from "@limpetford/domain/vm";
import { StatsD } from "hot-shots";

import { ServingMetrics } from "./serving_metrics.ts";

const MAX_PACKET_BYTES = 1_400;

/** Address of the server and tags of every metric. */
export interface StatsdOptions {
  readonly server: SocketAddress;
  readonly vm: string;
  readonly zone: string;
}

/**
 * Buffers counters and timers and sends them over UDP.
 */
export class StatsdMetrics extends ServingMetrics {
  readonly #client: StatsD;

  /**
   * Opens the socket.
   *
   * @param options - address of the server and tags
   */
  constructor(options: StatsdOptions) {
    super();
    this.#client = new StatsD({
      host: options.server.host,
      port: options.server.port,
      prefix: "limpetford.",
      globalTags: { vm: options.vm, zone: options.zone },
      maxBufferSize: MAX_PACKET_BYTES,
      // Errors are ignored: lost metrics must not affect requests.
      errorHandler: () => undefined,
    });
  }

  override count(name: string, tag?: string, amount = 1): void {
    this.#client.increment(name, amount, tag === undefined ? [] : [tag]);
  }

  override recordDuration(name: string, durationMs: number): void {
    this.#client.timing(name, durationMs);
  }

  override async close(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.#client.close(() => {
        resolve();
      });
    });
  }
}
