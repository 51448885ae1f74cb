/** Simulated network between virtual VMs, with a delay and partitions. */

import type { FakeClock } from "@limpetford/core/time/fake_clock";
import { makeError, makeOk, type Result } from "@limpetford/domain/result";
import { formatAddress, type SocketAddress } from "@limpetford/domain/vm";
import type {
  OwnershipCalls,
  OwnershipHandlers,
  PeerCall,
} from "@limpetford/peer/ownership_handlers";
import type { PeerError } from "@limpetford/peer/peer_error";

import type { VirtualScheduler } from "./virtual_scheduler.ts";

const LINK_DELAY_MS = 1;
const REPLY_LOST: Result<never, PeerError> = makeError({
  kind: "peer-reply-lost",
  cause: "deadline exceeded",
});

/** A VM as an endpoint of the network. */
export interface VirtualEndpoint {
  readonly name: string;
  readonly peerAddress: SocketAddress;
  readonly scheduler: VirtualScheduler;
  /** Called at each delivery, as the handlers are created after the endpoint. */
  readonly findHandlers: () => OwnershipHandlers;
}

/**
 * Links between all virtual VMs; each direction can be cut separately.
 */
export class VirtualLinks {
  readonly #timers: FakeClock;
  readonly #endpoints = new Map<string, VirtualEndpoint>();
  readonly #cuts = new Set<string>();
  readonly #delaysMs = new Map<string, number>();

  /**
   * Creates links that are all intact.
   *
   * @param timers - timers in virtual time
   */
  constructor(timers: FakeClock) {
    this.#timers = timers;
  }

  /**
   * Connects a VM to all others. It replaces an earlier one at its address.
   *
   * @param endpoint - endpoint of the VM
   */
  add(endpoint: VirtualEndpoint): void {
    this.#endpoints.set(formatAddress(endpoint.peerAddress), endpoint);
  }

  /**
   * Cuts or restores one direction of the link between two VMs.
   *
   * @param from - name of the sender
   * @param to - name of the receiver
   * @param isCut - true to cut it, false to restore it
   */
  setCut(from: string, to: string, isCut: boolean): void {
    if (isCut) {
      this.#cuts.add(`${from}>${to}`);
    } else {
      this.#cuts.delete(`${from}>${to}`);
    }
  }

  /**
   * Changes the delay of one direction of the link between two VMs.
   *
   * @param from - name of the sender
   * @param to - name of the receiver
   * @param delayMs - delay of messages sent from now on, in virtual milliseconds
   */
  setDelay(from: string, to: string, delayMs: number): void {
    this.#delaysMs.set(`${from}>${to}`, delayMs);
  }

  /** Restores all links. */
  clear(): void {
    this.#cuts.clear();
  }

  /**
   * Builds the client of one VM for calls to other VMs.
   *
   * @param from - endpoint of the calling VM
   * @returns calls that fail at their timeout if no reply arrives
   */
  buildCalls(from: VirtualEndpoint): OwnershipCalls {
    return {
      sendPromise: this.#bind(
        from,
        (handlers, request) => handlers.handlePromise(request),
      ),
      sendRecordClaims: this.#bind(
        from,
        (handlers, request) => handlers.handleRecordClaims(request),
      ),
      sendResign: this.#bind(
        from,
        (handlers, request) => handlers.handleResign(request),
      ),
    };
  }

  #bind<Request, Reply>(
    from: VirtualEndpoint,
    handle: (
      handlers: OwnershipHandlers,
      request: Request,
    ) => Reply | Promise<Reply>,
  ): PeerCall<Request, Reply> {
    return async (request, { to, timeoutMs }) => {
      const endpoint = this.#endpoints.get(formatAddress(to));
      const call = new Promise<Result<Reply, PeerError>>((resolve) => {
        this.#timers.schedule(timeoutMs, () => {
          resolve(REPLY_LOST);
        });
        if (endpoint !== undefined) {
          this.#deliver(from, endpoint, async () => {
            const reply = await handle(endpoint.findHandlers(), request);
            this.#deliver(endpoint, from, () => {
              resolve(makeOk(reply));
            });
          });
        }
      });
      return await from.scheduler.pass(call);
    };
  }

  #deliver(
    from: VirtualEndpoint,
    to: VirtualEndpoint,
    run: () => void | Promise<void>,
  ): void {
    if (this.#cuts.has(`${from.name}>${to.name}`)) {
      return;
    }
    const delayMs = this.#delaysMs.get(`${from.name}>${to.name}`);
    this.#timers.schedule(delayMs ?? LINK_DELAY_MS, () => {
      to.scheduler.execute(() => {
        void run();
      });
    });
  }
}
