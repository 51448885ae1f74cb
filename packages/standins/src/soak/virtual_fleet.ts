/**
 * Simulated fleet: several VMs with the production ownership and claim code, in
 * virtual time.
 */

import { findTeamShard } from "@limpetford/core/sharding/shard_hash";
import { FakeClock } from "@limpetford/core/time/fake_clock";
import type {
  RegionId,
  RequestId,
  RouteId,
  ServiceId,
  ShardId,
  TeamId,
  VmId,
  ZoneId,
} from "@limpetford/domain/ids";
import { toId } from "@limpetford/domain/ids";
import {
  formatAddress,
  formatIncarnation,
  type Vm,
} from "@limpetford/domain/vm";
import { ClaimLedger } from "@limpetford/entry/components/claims/claim_ledger";
import { OwnershipComponent } from "@limpetford/entry/components/ownership/ownership_component";
import type { OwnershipSettings } from "@limpetford/entry/components/ownership/ownership_settings";
import type {
  ClaimRequest,
  ClaimVerdict,
} from "@limpetford/entry/ports/idempotency_ledger";
import { FakeLogService } from "@limpetford/platform/fakes/fake_log_service";
import { MemoryLogStore } from "@limpetford/platform/fakes/memory_log_store";

import { type VirtualEndpoint, VirtualLinks } from "./virtual_links.ts";
import {
  ScheduledLog,
  VirtualFactBus,
  VirtualFleetView,
  type VirtualVmList,
} from "./virtual_platform.ts";
import { VirtualScheduler } from "./virtual_scheduler.ts";

const ZONES = 3;
const CALLER_PORT = 80;
const PEER_PORT = 81;
const SERVER_RESPONSE_MS = 800;
const DEADLINE_MS = 2_000;

/** One virtual VM. */
export interface VirtualVm {
  /** Record of the VM in the platform's VM list. */
  readonly vm: Vm;
  readonly name: string;
  /** Runs, pauses and kills the VM. */
  readonly scheduler: VirtualScheduler;
  readonly log: FakeLogService;
  readonly ownership: OwnershipComponent;
  readonly ledger: ClaimLedger;
}

/** Response to a caller. */
export interface VirtualResponse {
  readonly key: string;
  /** `ran` if the request ran now; `lost` if it was forwarded to a dead VM. */
  readonly verdict: ClaimVerdict["kind"] | "ran" | "lost";
}

/** Violation of an invariant. */
export interface InvariantViolation {
  readonly kind: "ran-twice" | "two-holders" | "untrue-not-run";
  /** Idempotency key, or the shard and its holders. */
  readonly detail: string;
}

/**
 * Runs VMs, callers and faults on one virtual clock and checks the invariants.
 */
export class VirtualFleet {
  readonly clock = new FakeClock();
  readonly store = new MemoryLogStore();
  readonly links = new VirtualLinks(this.clock);
  readonly list: VirtualVmList = {
    vms: [],
    dropped: new Set(),
    leaving: new Set(),
  };
  readonly vms: VirtualVm[] = [];
  readonly responses: VirtualResponse[] = [];
  readonly violations: InvariantViolation[] = [];
  readonly #facts = new VirtualFactBus();
  readonly #runs = new Map<string, number>();
  readonly #settings: Partial<OwnershipSettings>;
  #requests = 0;

  /**
   * Creates an empty fleet.
   *
   * @param settings - ownership settings that differ from the defaults
   */
  constructor(settings: Partial<OwnershipSettings>) {
    this.#settings = settings;
  }

  /**
   * Starts a VM.
   *
   * @param index - index of the VM, from which its name and zone derive
   * @returns the VM, with its components started
   */
  async startVm(index: number): Promise<VirtualVm> {
    const vm = buildVm(index, this.clock.readWallMs());
    const scheduler = new VirtualScheduler(this.clock);
    const log = new FakeLogService({ clock: this.clock, store: this.store });
    const findHandlers = () => created.ownership.handlers;
    const name = `vm-${index}`;
    const endpoint: VirtualEndpoint = {
      name,
      peerAddress: vm.peerAddress,
      scheduler,
      findHandlers,
    };
    const calls = this.links.buildCalls(endpoint);
    const fleet = new VirtualFleetView(vm, this.list);
    const parts = { clock: this.clock, timers: scheduler, fleet, calls };
    const ownership = new OwnershipComponent({
      ...parts,
      facts: this.#facts,
      log: new ScheduledLog(log, scheduler),
      settings: this.#settings,
    });
    const ledger = new ClaimLedger({ ...parts, ownership });
    const created: VirtualVm = {
      vm,
      name,
      scheduler: scheduler,
      log,
      ownership,
      ledger,
    };
    this.links.add(endpoint);
    this.list.vms.push(vm);
    this.vms.push(created);
    await ownership.start();
    await ledger.start();
    return created;
  }

  /**
   * Finds the live VM with an index.
   *
   * @param index - index of the VM
   * @returns the VM; undefined if it was never started or has been killed
   */
  findVm(index: number): VirtualVm | undefined {
    return this.vms.find((vm) =>
      vm.name === `vm-${index}` && !vm.scheduler.isDead()
    );
  }

  /**
   * Kills a VM; the platform's VM list removes it later.
   *
   * @param vm - VM to kill
   * @param listLagMs - time until the VM list removes it, in virtual milliseconds
   */
  abortVm(vm: VirtualVm, listLagMs: number): void {
    vm.scheduler.abort();
    this.clock.schedule(listLagMs, () => {
      this.list.dropped.add(formatIncarnation(vm.vm.incarnation));
    });
  }

  /**
   * Drains a VM, then stops it and removes it from the VM list.
   *
   * @param vm - VM to drain
   */
  drainVm(vm: VirtualVm): void {
    this.list.leaving.add(formatIncarnation(vm.vm.incarnation));
    void vm.ownership.drain().then(() => {
      this.abortVm(vm, 0);
    });
  }

  /**
   * Advances the clock and checks every 10 ms that no shard has two holders.
   *
   * @param byMs - virtual milliseconds to advance
   */
  async advance(byMs: number): Promise<void> {
    for (let passed = 0; passed < byMs; passed += 10) {
      await this.clock.advanceAndSettle(Math.min(10, byMs - passed));
      this.#checkHolders();
    }
  }

  /**
   * Sends a non-idempotent request; does nothing if the VM is not alive.
   *
   * @param index - index of the VM that receives the request
   * @param team - team of the caller
   * @param key - idempotency key of the request
   */
  sendRequest(index: number, team: string, key: string): void {
    const vm = this.findVm(index);
    if (vm === undefined) {
      return;
    }
    this.#requests += 1;
    const request = this.#buildRequest(team, key, false);
    vm.scheduler.execute(() => {
      void this.#serve(vm, request);
    });
  }

  /**
   * Counts how often the request with a key ran at a backend server.
   *
   * @param key - idempotency key
   * @returns number of runs; more than 1 violates at-most-once
   */
  countRuns(key: string): number {
    return this.#runs.get(key) ?? 0;
  }

  /**
   * Counts the runs of all requests.
   *
   * @returns number of runs at backend servers
   */
  countAllRuns(): number {
    return [...this.#runs.values()].reduce((sum, runs) => sum + runs, 0);
  }

  /**
   * Lists requests that ran although their only response says that they did
   * not. Only keys that begin with `once-` are checked, as each is sent once.
   *
   * @returns one violation for each such request
   */
  listFalseRefusals(): readonly InvariantViolation[] {
    return this.responses
      .filter(({ key, verdict }) =>
        key.startsWith("once-") && verdict === "refused" &&
        this.countRuns(key) > 0
      )
      .map(({ key }) => ({ kind: "untrue-not-run", detail: key }));
  }

  /**
   * Lists the VMs that may act as holder of a team's shard now.
   *
   * @param team - team whose shard it is
   * @returns names of the VMs; more than one violates exclusive ownership
   */
  listHolders(team: string): readonly string[] {
    const shard = findTeamShard(
      toId<TeamId>(team),
      this.#settings.shardCount,
    );
    return this.#listActingVms(shard);
  }

  async #serve(vm: VirtualVm, request: ClaimRequest): Promise<void> {
    const verdict = await vm.ledger.claim(request);
    if (verdict.kind === "pass-on") {
      this.#forward(verdict, request);
      return;
    }
    if (verdict.kind !== "run") {
      this.#record(request.idempotencyKey, verdict.kind);
      return;
    }
    if (!vm.ledger.mayDispatch(verdict.claim)) {
      await vm.ledger.settle(verdict.claim, { kind: "not-run" });
      this.#record(request.idempotencyKey, "refused");
      return;
    }
    this.#dispatch(request.idempotencyKey);
    await vm.scheduler.pass(this.clock.wait(SERVER_RESPONSE_MS));
    await vm.ledger.settle(verdict.claim, {
      kind: "answered",
      answer: { status: 201, headers: [], body: new Uint8Array([1]) },
    });
    this.#record(request.idempotencyKey, "ran");
  }

  #forward(
    verdict: Extract<ClaimVerdict, { kind: "pass-on" }>,
    request: ClaimRequest,
  ): void {
    const to = this.vms.find((vm) =>
      !vm.scheduler.isDead() &&
      formatAddress(vm.vm.callerAddress) === formatAddress(verdict.to)
    );
    if (to === undefined) {
      this.#record(request.idempotencyKey, "lost");
      return;
    }
    const forwarded = {
      ...request,
      context: { ...request.context, isPassedOn: true },
    };
    to.scheduler.execute(() => {
      void this.#serve(to, forwarded);
    });
  }

  #dispatch(key: string): void {
    const runs = this.countRuns(key) + 1;
    this.#runs.set(key, runs);
    if (runs > 1) {
      this.violations.push({ kind: "ran-twice", detail: key });
    }
  }

  #record(key: string, verdict: VirtualResponse["verdict"]): void {
    this.responses.push({ key, verdict });
  }

  #checkHolders(): void {
    const count = this.#settings.shardCount ?? 1;
    for (let shard = 0; shard < count; shard += 1) {
      const acting = this.#listActingVms(toId<ShardId>(shard));
      if (acting.length > 1) {
        const detail = `shard ${shard}: ${acting.join(", ")}`;
        this.violations.push({ kind: "two-holders", detail });
      }
    }
  }

  #listActingVms(shard: ShardId): readonly string[] {
    return this.vms
      .filter((vm) => vm.scheduler.isRunning() && vm.ownership.mayAct(shard))
      .map((vm) => vm.name);
  }

  #buildRequest(
    team: string,
    key: string,
    isPassedOn: boolean,
  ): ClaimRequest {
    const nowMs = this.clock.readMonotonicMs();
    const teamId = toId<TeamId>(team);
    return {
      team: teamId,
      idempotencyKey: key,
      fingerprint: key,
      context: {
        id: toId<RequestId>(`request-${this.#requests}`),
        team: teamId,
        method: "POST",
        target: "/",
        receivedAtMs: nowMs,
        deadlineAtMs: nowMs + DEADLINE_MS,
        isPassedOn,
        route: {
          id: toId<RouteId>("book"),
          service: toId<ServiceId>("booking"),
          method: "POST",
          pathPrefix: "/",
          access: "team",
          isIdempotent: false,
          deadlineMs: DEADLINE_MS,
          bodyLimitBytes: 1_000,
          derivedKeyWindowMs: 0,
        },
      },
    };
  }
}

function buildVm(index: number, startedAtMs: number): Vm {
  const host = `127.0.0.${index + 1}`;
  return {
    incarnation: { vm: toId<VmId>(`vm-${index}`), startedAtMs },
    zone: toId<ZoneId>(`zone-${index % ZONES}`),
    region: toId<RegionId>("region"),
    callerAddress: { host, port: CALLER_PORT },
    peerAddress: { host, port: PEER_PORT },
    weight: 1,
  };
}
