/** Calls VMs that do not take part in this VM's regular exchange. */

import { ContactSchedule } from "@limpetford/core/fleet/contact_schedule";
import type { Clock } from "@limpetford/core/time/clock";
import {
  formatAddress,
  type SocketAddress,
  type Vm,
} from "@limpetford/domain/vm";
import {
  CALL_COMPRESSION,
  type FleetCallClient,
} from "@limpetford/peer/fleet_calls";

import type { ContainedExceptions } from "../telemetry/contained_exceptions.ts";
import type { FleetPeers, PeerState } from "./fleet_peers.ts";
import type { FleetState } from "./fleet_state.ts";
import type { SyncMessages } from "./sync_messages.ts";

const CALL_TIMEOUT_MS = 250;
/** Time between calls to the seeds while no other VM is known. */
const SEED_INTERVAL_MS = 250;
/** Time between checks whether a silent VM has to be called. */
const CHECK_INTERVAL_MS = 200;
/**
 * Time without a message after which a VM counts as silent. VMs of this zone
 * call its first leader more often.
 */
const SILENT_AFTER_MS = 1_000;

/** Dependencies of {@link FleetContacts}. */
export interface FleetContactsOptions {
  readonly self: Vm;
  readonly state: FleetState;
  readonly peers: FleetPeers;
  readonly messages: SyncMessages;
  readonly client: Pick<FleetCallClient, "sendExchange">;
  readonly clock: Clock;
  readonly exceptions: ContainedExceptions;
  /** Addresses of VMs that are asked first at a start; they may be gone. */
  readonly seeds: readonly SocketAddress[];
}

interface SilentVm {
  readonly address: SocketAddress;
  /** State of the VM; undefined if only its address is known. */
  readonly peer: PeerState | undefined;
}

/**
 * Calls the seeds until another VM is known. Leaders call the VMs that they
 * should hear from but do not, since these may follow another leader. One reply
 * is enough for two groups of VMs to learn of each other.
 */
export class FleetContacts {
  readonly #options: FleetContactsOptions;
  readonly #schedule = new ContactSchedule();
  #seedIndex = 0;
  #nextSeedAtMs = 0;
  #isCallingSeed = false;
  #nextCheckAtMs = 0;

  /**
   * Creates the contacts; nobody is called yet.
   *
   * @param options - view of the other VMs, and the seeds
   */
  constructor(options: FleetContactsOptions) {
    this.#options = options;
  }

  /** Calls the next seed unless one was called a moment ago. */
  pollSeed(): void {
    const { seeds, clock } = this.#options;
    const nowMs = clock.readMonotonicMs();
    const seed = seeds[this.#seedIndex % Math.max(1, seeds.length)];
    if (
      seed === undefined || this.#isCallingSeed || nowMs < this.#nextSeedAtMs
    ) {
      return;
    }
    this.#seedIndex += 1;
    this.#nextSeedAtMs = nowMs + SEED_INTERVAL_MS;
    this.#isCallingSeed = true;
    const call = this.#sendExchange({ address: seed, peer: undefined });
    void this.#options.exceptions.wait("peer", call).then(() => {
      this.#isCallingSeed = false;
    });
  }

  /**
   * Calls a seed that this VM has never heard from, or a silent VM of its zone,
   * if such a call is due.
   *
   * @param isFirstLeader - true if the VMs of the zone should call this one
   */
  pollSilent(isFirstLeader: boolean): void {
    const nowMs = this.#options.clock.readMonotonicMs();
    if (nowMs < this.#nextCheckAtMs) {
      return;
    }
    this.#nextCheckAtMs = nowMs + CHECK_INTERVAL_MS;
    const silent = new Map(
      [
        ...this.#listSilentSeeds(),
        ...isFirstLeader ? this.#listSilentVms() : [],
      ]
        .map((vm) => [formatAddress(vm.address), vm]),
    );
    const due = this.#schedule.pickDue([...silent.keys()], nowMs);
    const vm = due === undefined ? undefined : silent.get(due);
    if (vm !== undefined) {
      void this.#options.exceptions.wait("peer", this.#sendExchange(vm));
    }
  }

  /**
   * Calls a VM that this one has news for.
   *
   * @param vm - the VM
   */
  async notifyVm(vm: Vm): Promise<void> {
    const peer = this.#options.peers.getPeer(vm);
    await this.#sendExchange({ address: vm.peerAddress, peer });
  }

  #listSilentSeeds(): readonly SilentVm[] {
    const { state, peers, seeds } = this.#options;
    const heard = new Set(
      state.listVms()
        .filter((vm) => Number.isFinite(peers.getPeer(vm).heardAtMs))
        .map(({ peerAddress }) => formatAddress(peerAddress)),
    );
    return seeds.filter((seed) => !heard.has(formatAddress(seed)))
      .map((address) => ({ address, peer: undefined }));
  }

  #listSilentVms(): readonly SilentVm[] {
    const { self, state, peers, clock } = this.#options;
    const nowMs = clock.readMonotonicMs();
    return state.listVms().flatMap((vm) => {
      const isSelf = vm.incarnation.vm === self.incarnation.vm;
      if (isSelf || vm.zone !== self.zone) {
        return [];
      }
      const peer = peers.getPeer(vm);
      const lastAtMs = Math.max(peer.heardAtMs, peer.knownSinceMs);
      return nowMs - lastAtMs > SILENT_AFTER_MS
        ? [{ address: vm.peerAddress, peer }]
        : [];
    });
  }

  // A VM that does not answer is not suspected: it is likely to be gone, and
  // nothing depends on it.
  async #sendExchange({ address, peer }: SilentVm): Promise<void> {
    const { messages, client, clock } = this.#options;
    const sentAtMs = clock.readMonotonicMs();
    const reply = await client.sendExchange(messages.build(peer, []), {
      to: address,
      timeoutMs: CALL_TIMEOUT_MS,
      compression: CALL_COMPRESSION.reply,
    });
    if (reply.ok) {
      messages.apply(reply.value, sentAtMs);
    }
  }
}
