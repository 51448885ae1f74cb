/** An in-process fleet of VMs on real sockets, for fault injection. */

import { randomUUID } from "node:crypto";
import { setTimeout as wait } from "node:timers/promises";

import { computeChanges } from "@limpetford/core/configuration/configuration_diff";
import { findTeamShard } from "@limpetford/core/sharding/shard_hash";
import { Clock } from "@limpetford/core/time/clock";
import { SeededRandomSource } from "@limpetford/core/time/random_source";
import { ConfigurationPublisher } from "@limpetford/ctl/configuration/configuration_publisher";
import type { RegionId, VmId, ZoneId } from "@limpetford/domain/ids";
import { toId } from "@limpetford/domain/ids";
import { EntryVm } from "@limpetford/entry/vm/entry_vm";
import { SystemClock } from "@limpetford/entry/vm/system_clock";
import { generateLoopbackHost } from "@limpetford/peer/fakes/loopback_host";
import { HttpLogService } from "@limpetford/platform/http/http_log_service";
import { HttpVmList } from "@limpetford/platform/http/http_vm_list";

import { BackendStandin } from "../backend/backend_standin.ts";
import { DemoLinkFaults } from "../demo/demo_link_faults.ts";
import { PlatformStandin } from "../platform/platform_standin.ts";
import { sendRequest } from "../serving/http_client.ts";
import {
  buildHarnessConfiguration,
  HARNESS_KEY,
} from "../serving/serving_harness.ts";

const DRAIN_TIMEOUT_MS = 10_000;
/** Upper limit of callers' deadlines. */
const DEADLINE_MS = 10_000;
const POLL_INTERVAL_MS = 50;
const MAX_POLLS = 600;

/** A system clock that can jump ahead, as it does after a process pause. */
export class JumpingClock extends Clock {
  readonly #clock = new SystemClock();
  #offsetMs = 0;

  /**
   * Moves the monotonic time ahead. Wall time stays.
   *
   * @param byMs - size of the jump, in milliseconds
   */
  advance(byMs: number): void {
    this.#offsetMs += byMs;
  }

  override readMonotonicMs(): number {
    return this.#clock.readMonotonicMs() + this.#offsetMs;
  }

  override readWallMs(): number {
    return this.#clock.readWallMs();
  }
}

/** One VM of the fleet, with its clock, links and platform clients. */
export interface FaultInjectionVm {
  readonly entry: EntryVm;
  readonly clock: JumpingClock;
  /** Faults of the links to other VMs. */
  readonly faults: DemoLinkFaults;
  /** Client of the log service. */
  readonly log: HttpLogService;
  /** Client of the VM list. */
  readonly list: HttpVmList;
}

/** The result that a caller got for a non-idempotent request. */
export interface RequestResult {
  /** HTTP status; undefined if the connection failed. */
  readonly status: number | undefined;
  /** Value of the header `limpetford-outcome`; undefined if there is none. */
  readonly outcome: string | undefined;
}

/**
 * Runs the platform, one backend server and several VMs in this process.
 */
export class FaultInjectionFleet {
  readonly backend = new BackendStandin();
  readonly vms: FaultInjectionVm[] = [];
  /** Stand-in for the log service and the VM list. */
  readonly platform: PlatformStandin;
  readonly #clock = new SystemClock();
  #origin = "";

  /** Creates the platform without starting it. */
  constructor() {
    this.platform = new PlatformStandin({ clock: this.#clock });
  }

  /**
   * Starts the platform, the backend server and the VMs, and waits until no VM
   * has a shard of unknown ownership and the team's shard has a holder.
   *
   * @param size - number of VMs
   */
  async start(size: number): Promise<void> {
    this.#origin = await this.platform.start();
    await this.backend.start();
    await this.#publishConfiguration();
    const starts = Array.from(
      { length: size },
      (_, index) => this.startVm(index),
    );
    await Promise.all(starts);
    await this.waitUntil(() =>
      this.vms.every((vm) => vm.entry.countUnknownShards() === 0)
    );
    await this.waitUntil(() => this.findHolder() !== undefined);
  }

  /**
   * Starts a VM.
   *
   * @param index - number of the VM; determines its name and zone
   * @returns the VM, which serves but may not know its shards yet
   */
  async startVm(index: number): Promise<FaultInjectionVm> {
    const clock = new JumpingClock();
    const faults = new DemoLinkFaults();
    const log = new HttpLogService(this.#origin);
    const list = new HttpVmList(this.#origin);
    const anyPort = { host: generateLoopbackHost(), port: 0 };
    const entry = await EntryVm.create({
      self: {
        incarnation: {
          vm: toId<VmId>(`vm-${index}`),
          startedAtMs: Date.now(),
        },
        zone: toId<ZoneId>(`zone-${index % 3}`),
        region: toId<RegionId>("region"),
        callerAddress: anyPort,
        peerAddress: anyPort,
        weight: 1,
      },
      operatorAddress: anyPort,
      drainTimeoutMs: DRAIN_TIMEOUT_MS,
      callerLimits: { lingerMs: 0 },
    }, {
      log,
      vmList: list,
      clock,
      random: new SeededRandomSource(index),
      linkFaults: faults,
    });
    await entry.start();
    const vm = { entry, clock, faults, log, list };
    this.vms.push(vm);
    return vm;
  }

  /**
   * Stops a VM without draining, as a crash would, and drops it from the VM
   * list at once.
   *
   * @param vm - VM to stop
   */
  async abortVm(vm: FaultInjectionVm): Promise<void> {
    this.#removeVm(vm);
    await vm.entry.stop();
    await this.#dropFromVmList(vm);
  }

  /**
   * Drains a VM, then drops it from the VM list.
   *
   * @param vm - VM to stop
   */
  async drainVm(vm: FaultInjectionVm): Promise<void> {
    this.#removeVm(vm);
    await vm.entry.drain();
    await this.#dropFromVmList(vm);
  }

  /** Stops the VMs, then the backend server and the platform. */
  async stop(): Promise<void> {
    await Promise.all(this.vms.map((vm) => vm.entry.stop()));
    await Promise.all(this.vms.map((vm) => vm.log.close()));
    await Promise.all(this.vms.map((vm) => vm.list.close()));
    await this.backend.stop();
    await this.platform.stop();
  }

  /**
   * Finds the VM that may act as the holder of the team's shard.
   *
   * @returns the holder, or undefined if no VM may act
   */
  findHolder(): FaultInjectionVm | undefined {
    const shard = this.#findShard();
    return this.vms.find((vm) => vm.entry.parts.ownership.mayAct(shard));
  }

  /**
   * Finds the standby of the team's shard, as its holder knows it.
   *
   * @returns the standby, or undefined without a holder or standby
   */
  findStandby(): FaultInjectionVm | undefined {
    const holder = this.findHolder();
    const found = holder?.entry.parts.ownership.findOwnership(
      this.#findShard(),
    );
    const standby = found?.standby?.incarnation.vm;
    return this.vms.find((vm) =>
      vm.entry.readSelf().incarnation.vm === standby
    );
  }

  /**
   * Sends a non-idempotent request.
   *
   * @param vm - VM that the request is sent to
   * @param key - idempotency key
   * @returns status and outcome of the response
   */
  async sendNonIdempotent(
    vm: FaultInjectionVm,
    key: string,
  ): Promise<RequestResult> {
    const address = vm.entry.settings.self.callerAddress;
    const result = await sendRequest(address, "/confirm", {
      method: "POST",
      headers: {
        authorization: `Bearer ${HARNESS_KEY}`,
        "idempotency-key": key,
      },
      body: "deposit",
    });
    const outcome = result.headers["limpetford-outcome"];
    return { status: result.status, outcome: outcome?.toString() };
  }

  /**
   * Sends a non-idempotent request to one VM after another until one answers
   * 200 or reports its outcome as unknown.
   *
   * @param key - idempotency key
   * @returns the last response, also when the tries are used up
   */
  async sendUntilFinal(key: string): Promise<RequestResult> {
    let result: RequestResult = { status: undefined, outcome: undefined };
    for (let tries = 0; tries < MAX_POLLS; tries += 1) {
      const vm = this.vms[tries % this.vms.length];
      if (vm !== undefined) {
        result = await this.sendNonIdempotent(vm, key);
      }
      if (result.status === 200 || result.outcome === "unknown") {
        return result;
      }
      await wait(POLL_INTERVAL_MS);
    }
    return result;
  }

  /**
   * Polls a condition until it is met.
   *
   * @param isMet - tells whether the condition is met
   * @throws Error if it is not met within the maximum number of polls
   */
  async waitUntil(isMet: () => boolean): Promise<void> {
    for (let tries = 0; tries < MAX_POLLS; tries += 1) {
      if (isMet()) {
        return;
      }
      await wait(POLL_INTERVAL_MS);
    }
    throw new Error("the condition was not met before the last poll");
  }

  /**
   * Counts how often the backend server ran a request.
   *
   * @param key - idempotency key of the request
   * @returns number of runs
   */
  countRuns(key: string): number {
    return this.backend.runsByKey.get(key) ?? 0;
  }

  #findShard() {
    const [team] = buildHarnessConfiguration([]).teams;
    return findTeamShard(team?.id ?? toId(""));
  }

  #removeVm(vm: FaultInjectionVm): void {
    this.vms.splice(this.vms.indexOf(vm), 1);
  }

  async #dropFromVmList(vm: FaultInjectionVm): Promise<void> {
    const { vm: name } = vm.entry.readSelf().incarnation;
    this.platform.vmRows.drop(name, this.#clock.readMonotonicMs());
    await vm.log.close();
    await vm.list.close();
  }

  async #publishConfiguration(): Promise<void> {
    const log = new HttpLogService(this.#origin);
    const publisher = new ConfigurationPublisher({
      log,
      clock: this.#clock,
      proposer: "test",
      generateId: randomUUID,
      wait: async (delayMs) => {
        await wait(delayMs);
      },
    });
    const state = await publisher.readState();
    if (state.ok) {
      const current = state.value.configuration;
      const target = buildHarnessConfiguration([this.backend.address], {
        deadlineMs: DEADLINE_MS,
      });
      await publisher.publish({
        basedOn: current.version,
        changes: computeChanges(current, target),
      });
    }
    await log.close();
  }
}
