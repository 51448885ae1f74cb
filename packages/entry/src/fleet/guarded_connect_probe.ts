/** Keeps what a probe throws away from those who wait for its result. */

import type { SocketAddress } from "@limpetford/domain/vm";

import {
  type ContainedExceptions,
  EXCEPTION_SOURCE,
} from "../telemetry/contained_exceptions.ts";
import { ConnectProbe, type ConnectResult } from "./connect_probe.ts";

/** Reports what another probe throws, and takes it for no answer. */
export class GuardedConnectProbe extends ConnectProbe {
  readonly #probe: ConnectProbe;
  readonly #exceptions: ContainedExceptions;

  /**
   * Wraps a probe.
   *
   * @param probe - connects to servers
   * @param exceptions - receives what it throws
   */
  constructor(probe: ConnectProbe, exceptions: ContainedExceptions) {
    super();
    this.#probe = probe;
    this.#exceptions = exceptions;
  }

  override async probe(address: SocketAddress): Promise<ConnectResult> {
    try {
      return await this.#probe.probe(address);
    } catch (error) {
      this.#exceptions.report(EXCEPTION_SOURCE.server, error);
      return "unanswered";
    }
  }
}
