/** Simulated network links that delay, drop and count messages. */

import type { Vm } from "@limpetford/domain/vm";

import type { VirtualTime } from "./virtual_time.ts";

/** One-way delay within an availability zone, in milliseconds. */
const SAME_ZONE_DELAY_MS = 0.3;
/** One-way delay between availability zones, in milliseconds. */
const OTHER_ZONE_DELAY_MS = 1;
/**
 * Bytes per message in addition to its payload: 60 for gRPC and HTTP/2, 40 for
 * TCP and IP headers, 40 for the acknowledgement.
 */
export const MESSAGE_OVERHEAD_BYTES = 140;

/** Messages and bytes sent by a VM, lost ones and overhead included. */
export interface TrafficCount {
  messages: number;
  bytes: number;
}

/** A message to send. */
export interface Transmission {
  readonly from: Vm;
  readonly to: Vm;
  /** Size of the payload. */
  readonly bytes: number;
  /** Called at the receiver when the message arrives. */
  readonly deliver: () => void;
}

/**
 * Delivers messages between all pairs of VMs and counts those that each sends.
 */
export class MeteredLinks {
  readonly #time: VirtualTime;
  readonly #traffic = new Map<string, TrafficCount>();
  /**
   * Decides for each message whether it is lost; may be replaced.
   *
   * @returns true if the message from the first to the second VM is lost
   */
  isCut: (from: Vm, to: Vm) => boolean = () => false;

  /**
   * Creates links on which every message arrives.
   *
   * @param time - schedules the arrival of messages
   */
  constructor(time: VirtualTime) {
    this.#time = time;
  }

  /**
   * Sends a message. A lost message is counted as well.
   *
   * @param transmission - sender, receiver and size of the message
   */
  send(transmission: Transmission): void {
    const { from, to, bytes, deliver } = transmission;
    const count = this.readTraffic(from);
    count.messages += 1;
    count.bytes += bytes + MESSAGE_OVERHEAD_BYTES;
    if (this.isCut(from, to)) {
      return;
    }
    const delayMs = from.zone === to.zone
      ? SAME_ZONE_DELAY_MS
      : OTHER_ZONE_DELAY_MS;
    this.#time.schedule(delayMs, deliver);
  }

  /**
   * Reads the traffic of a VM since the last reset.
   *
   * @param vm - VM whose sent messages are counted
   * @returns its counters, which later messages update in place
   */
  readTraffic(vm: Vm): TrafficCount {
    const known = this.#traffic.get(vm.incarnation.vm);
    if (known !== undefined) {
      return known;
    }
    const created = { messages: 0, bytes: 0 };
    this.#traffic.set(vm.incarnation.vm, created);
    return created;
  }

  /** Sets all counters to 0. */
  resetTraffic(): void {
    this.#traffic.clear();
  }
}
