/** Callers of a fleet of processes, and what they sent and got. */

import type { RandomSource } from "@limpetford/core/time/random_source";

import type { FleetProcesses } from "../fleet/fleet_processes.ts";
import type { VmProcessHandle } from "../fleet/vm_process_handle.ts";
import { PROTOCOL_HEADER } from "../platform/protocol_names.ts";
import type { RequestRun, SentRequest } from "./soak_checks.ts";
import { waitMs } from "./wait_ms.ts";

/** Time between two requests. */
const REQUEST_INTERVAL_MS = 15;
/** Header that tells backend servers which VM a request was sent to. */
export const VM_HEADER = "x-sent-to";
const STATUS_OK = 200;
const KEY = "key-of-dance";
const KEY_OF_LIMITED_TEAM = "key-of-small";
const TIME_LEFT_MS = 2_000;
/** Time after which a caller gives up on a VM that does not respond. */
const CALLER_TIMEOUT_MS = TIME_LEFT_MS + 500;
/** Time between two sendings of the request that crashes servers. */
const CRASHING_INTERVAL_MS = 350;
/** Time between two requests of the team with a rate limit. */
const LIMITED_INTERVAL_MS = 33;
/** Consecutive successful requests that prove recovery. */
const RECOVERY_SUCCESSES = 20;
/** Share of the idempotent requests that are equal to each other. */
const POPULAR_SHARE = 0.4;
const ZONES = ["zone-0", "zone-1"];

/** Fleet, source of random numbers, and a request that crashes servers. */
export interface SoakCallersOptions {
  readonly fleet: FleetProcesses;
  readonly random: RandomSource;
  /** Target of the request that crashes each server which runs it. */
  readonly crashingTarget: string;
}

/** A request with its times, and the VM that it went to. */
export interface ObservedRequest extends SentRequest {
  /** Wall-clock time at which it was sent, in milliseconds. */
  readonly sentAtMs: number;
  /** Wall-clock time of the end of the exchange; undefined until then. */
  readonly endedAtMs: number | undefined;
  /** Identifier of the VM; undefined if no directory named one. */
  readonly vm: string | undefined;
  /** True if the caller closed the connection, having waited long enough. */
  readonly hasGivenUp: boolean;
}

interface Sending {
  readonly target: string;
  readonly key: string;
  readonly findVm: () => Promise<VmProcessHandle | undefined>;
}

/** Sends requests to the VMs that directories name, and records their ends. */
export class SoakCallers {
  readonly sent: ObservedRequest[] = [];
  readonly #options: SoakCallersOptions;
  #isStopped = false;

  /**
   * Creates callers that send nothing yet.
   *
   * @param options - fleet, random numbers and crashing request
   */
  constructor(options: SoakCallersOptions) {
    this.#options = options;
  }

  /** Ends the sending of requests before its time. */
  stop(): void {
    this.#isStopped = true;
  }

  /**
   * Sends requests at even intervals and waits for their ends.
   *
   * @param forMs - time during which requests are sent
   */
  async sendRequests(forMs: number): Promise<void> {
    await this.#sendRepeatedly(
      forMs,
      REQUEST_INTERVAL_MS,
      () => this.sendRequest(),
    );
  }

  /**
   * Sends the request that crashes servers again and again.
   *
   * @param forMs - time during which it is sent
   */
  async sendCrashingRequests(forMs: number): Promise<void> {
    const { crashingTarget } = this.#options;
    await this.#sendRepeatedly(
      forMs,
      CRASHING_INTERVAL_MS,
      () => this.sendRequest(crashingTarget),
    );
  }

  /**
   * Sends requests of the team with a rate limit, more than the limit allows.
   *
   * @param forMs - time during which they are sent
   */
  async sendLimitedRequests(forMs: number): Promise<void> {
    await this.#sendRepeatedly(
      forMs,
      LIMITED_INTERVAL_MS,
      () => this.sendRequest(`/read/small-${this.sent.length}`),
    );
  }

  /**
   * Sends one request to a VM that a directory names.
   *
   * @param target - target of the request; a random one by default
   * @returns true if it was answered 200
   */
  async sendRequest(target = this.#chooseTarget()): Promise<boolean> {
    const zone = ZONES[this.#options.random.pickIndex(ZONES.length)] ?? "";
    const { response } = await this.#sendOne({
      target,
      key: isOfLimitedTeam(target) ? KEY_OF_LIMITED_TEAM : KEY,
      findVm: () => this.#findVm(zone),
    });
    return response?.status === STATUS_OK;
  }

  /**
   * Sends one request to a VM, whatever directories say.
   *
   * @param vm - VM
   * @param target - target of the request
   * @param key - API key; that of the load by default
   * @returns the request with its end
   */
  async sendTo(
    vm: VmProcessHandle,
    target: string,
    key: string = KEY,
  ): Promise<ObservedRequest> {
    const findVm = (): Promise<VmProcessHandle> => Promise.resolve(vm);
    return await this.#sendOne({ target, key, findVm });
  }

  /**
   * Lists the runs of the request that crashes servers.
   *
   * @returns wall-clock times, in milliseconds
   */
  listCrashingRuns(): readonly number[] {
    return this.#options.fleet.servers.flatMap(({ received }) =>
      received.filter(({ hasRun, target }) =>
        hasRun && target === this.#options.crashingTarget
      ).map(({ receivedAtMs }) => receivedAtMs)
    );
  }

  /**
   * Lists what ran at the servers.
   *
   * @returns identifier, target and time of each run
   */
  listRuns(): readonly ObservedRun[] {
    return this.#options.fleet.servers.flatMap((server) =>
      server.received.filter(({ hasRun }) => hasRun).map((run) => ({
        id: String(run.headers[PROTOCOL_HEADER.requestId]),
        target: run.target,
        atMs: run.receivedAtMs,
        server: server.id,
      }))
    );
  }

  /**
   * Sends requests until enough in a row have been served.
   *
   * @param endAtMs - wall-clock time after which it gives up, in milliseconds
   * @returns true if they were served in time
   */
  async waitForRecovery(endAtMs: number): Promise<boolean> {
    let served = 0;
    while (served < RECOVERY_SUCCESSES) {
      if (Date.now() > endAtMs) {
        return false;
      }
      served = await this.sendRequest() ? served + 1 : 0;
      await waitMs(REQUEST_INTERVAL_MS);
    }
    return true;
  }

  async #sendOne({ target, key, findVm }: Sending): Promise<ObservedRequest> {
    const isIdempotent = target.startsWith("/read/");
    const index = this.sent.length;
    const request: ObservedRequest = {
      id: `soak-${index}`,
      target,
      isIdempotent,
      isCrashing: target === this.#options.crashingTarget,
      response: undefined,
      responseRequestId: undefined,
      sentAtMs: Date.now(),
      endedAtMs: undefined,
      vm: undefined,
      hasGivenUp: false,
    };
    this.sent.push(request);
    const vm = await findVm();
    const sentAtMs = Date.now();
    const response = vm && await this.#options.fleet.send(vm, {
      path: target,
      method: isIdempotent ? "GET" : "POST",
      key,
      id: request.id,
      timeLeftMs: TIME_LEFT_MS,
      headers: { [VM_HEADER]: vm.id },
      abortAfterMs: CALLER_TIMEOUT_MS,
      ...isIdempotent ? {} : { body: "deposit" },
    });
    const endedAtMs = Date.now();
    const responseRequestId = response?.headers[PROTOCOL_HEADER.requestId];
    const ended = {
      ...request,
      response,
      responseRequestId: typeof responseRequestId === "string"
        ? responseRequestId
        : undefined,
      sentAtMs,
      endedAtMs,
      vm: vm?.id,
      hasGivenUp: endedAtMs - sentAtMs >= CALLER_TIMEOUT_MS,
    };
    this.sent[index] = ended;
    return ended;
  }

  async #sendRepeatedly(
    forMs: number,
    intervalMs: number,
    send: () => Promise<unknown>,
  ): Promise<void> {
    const endAtMs = Date.now() + forMs;
    const running: Promise<unknown>[] = [];
    while (Date.now() < endAtMs && !this.#isStopped) {
      running.push(send());
      await waitMs(intervalMs);
    }
    await Promise.all(running);
  }

  #chooseTarget(): string {
    const { random } = this.#options;
    if (random.sampleUniform() < 0.5) {
      return `/book/${this.sent.length}`;
    }
    return random.sampleUniform() < POPULAR_SHARE
      ? "/read/popular"
      : `/read/${this.sent.length}`;
  }

  // Callers ask the directories of their zone's VMs in turn, from a random one
  // on, until one names a VM.
  async #findVm(zone: string): Promise<VmProcessHandle | undefined> {
    const { fleet, random } = this.#options;
    const ofZone = fleet.vms.filter((vm) => vm.zone === zone);
    const first = random.pickIndex(ofZone.length);
    for (let step = 0; step < ofZone.length; step++) {
      const directoryVm = ofZone[(first + step) % ofZone.length];
      const found = directoryVm &&
        await fleet.resolveLeader(directoryVm, zone);
      if (found !== undefined) {
        return found;
      }
    }
    return undefined;
  }
}

/** A run with its time and server. */
export interface ObservedRun extends RequestRun {
  /** Wall-clock time, in milliseconds. */
  readonly atMs: number;
  /** Identifier of the server. */
  readonly server: string;
}

/**
 * Whether a request is one of the team with a rate limit.
 *
 * @param target - target of the request
 * @returns true if it is
 */
export function isOfLimitedTeam(target: string): boolean {
  return target.startsWith("/read/small-");
}
