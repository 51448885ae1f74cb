/** A few VMs with the real ownership and claims, under virtual time. */

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

import { VirtualGate } from "./virtual_gate.ts";
import { type VirtualEnd, VirtualLinks } from "./virtual_links.ts";
import {
  GatedLog,
  VirtualFactBoard,
  VirtualFleetView,
  type VirtualList,
} from "./virtual_platform.ts";

const ZONES = 3;
const CALLER_PORT = 80;
const PEER_PORT = 81;
const SERVICE_TIME_MS = 800;
const DEADLINE_MS = 2_000;

/** One virtual VM. */
export interface VirtualVm {
  readonly vm: Vm;
  readonly name: string;
  readonly scheduler: VirtualGate;
  readonly log: FakeLogService;
  readonly ownership: OwnershipComponent;
  readonly ledger: ClaimLedger;
}

/** What a caller was told. */
export interface VirtualAnswer {
  readonly key: string;
  readonly verdict: ClaimVerdict["kind"] | "ran" | "lost";
}

/** A breach of what must always hold. */
export interface Breach {
  readonly kind: "ran-twice" | "two-holders" | "untrue-not-run";
  readonly detail: string;
}

/**
 * Runs VMs, callers and faults under one clock, and watches what must hold.
 */
export class VirtualFleet {
  readonly clock = new FakeClock();
  readonly store = new MemoryLogStore();
  readonly links = new VirtualLinks(this.clock);
  readonly list: VirtualList = {
    vms: [],
    dropped: new Set(),
    leaving: new Set(),
  };
  readonly vms: VirtualVm[] = [];
  readonly responses: VirtualAnswer[] = [];
  readonly violations: Breach[] = [];
  readonly #facts = new VirtualFactBoard();
  readonly #runs = new Map<string, number>();
  readonly #settings: Partial<OwnershipSettings>;
  #requests = 0;

  /**
   * Creates an empty fleet.
   *
   * @param settings - differences from the default settings
   */
  constructor(settings: Partial<OwnershipSettings>) {
    this.#settings = settings;
  }

  /**
   * Starts a VM.
   *
   * @param index - number of the VM, which gives its name and zone
   * @returns the VM
   */
  async startVm(index: number): Promise<VirtualVm> {
    const vm = buildVm(index, this.clock.readWallMs());
    const gate = new VirtualGate(this.clock);
    const log = new FakeLogService({ clock: this.clock, store: this.store });
    const findHandlers = () => created.ownership.handlers;
    const name = `vm-${index}`;
    const end: VirtualEnd = {
      name,
      peerAddress: vm.peerAddress,
      gate,
      findHandlers,
    };
    const calls = this.links.buildCalls(end);
    const fleet = new VirtualFleetView(vm, this.list);
    const parts = { clock: this.clock, timers: gate, fleet, calls };
    const ownership = new OwnershipComponent({
      ...parts,
      facts: this.#facts,
      log: new GatedLog(log, gate),
      settings: this.#settings,
    });
    const ledger = new ClaimLedger({ ...parts, ownership });
    const created: VirtualVm = {
      vm,
      name,
      scheduler: gate,
      log,
      ownership,
      ledger,
    };
    this.links.add(end);
    this.list.vms.push(vm);
    this.vms.push(created);
    await ownership.start();
    await ledger.start();
    return created;
  }

  /**
   * Finds the running VM of a number.
   *
   * @param index - number of the VM
   * @returns the VM, or undefined if it has been killed
   */
  findVm(index: number): VirtualVm | undefined {
    return this.vms.find((vm) =>
      vm.name === `vm-${index}` && !vm.scheduler.isDead()
    );
  }

  /**
   * Kills a VM; the list drops it later.
   *
   * @param vm - the VM
   * @param listLagMs - time until the list drops it
   */
  abortVm(vm: VirtualVm, listLagMs: number): void {
    vm.scheduler.abort();
    this.clock.schedule(listLagMs, () => {
      this.list.dropped.add(formatIncarnation(vm.vm.incarnation));
    });
  }

  /**
   * Stops a VM as planned.
   *
   * @param vm - the VM
   */
  drainVm(vm: VirtualVm): void {
    this.list.leaving.add(formatIncarnation(vm.vm.incarnation));
    void vm.ownership.drain().then(() => {
      this.abortVm(vm, 0);
    });
  }

  /**
   * Lets time pass and checks that no shard has two holders.
   *
   * @param byMs - virtual milliseconds
   */
  async advance(byMs: number): Promise<void> {
    for (let passed = 0; passed < byMs; passed += 10) {
      await this.clock.advanceAndSettle(Math.min(10, byMs - passed));
      this.#checkHolders();
    }
  }

  /**
   * Sends a request that may run at most once.
   *
   * @param index - number of the VM that the caller asks
   * @param team - the team
   * @param key - idempotency key
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
   * Counts how often the request with a key ran.
   *
   * @param key - idempotency key
   * @returns the number of runs at a backend server
   */
  countRuns(key: string): number {
    return this.#runs.get(key) ?? 0;
  }

  /**
   * Counts how often any request ran.
   *
   * @returns the number of runs
   */
  countAllRuns(): number {
    return [...this.#runs.values()].reduce((sum, runs) => sum + runs, 0);
  }

  /**
   * Lists requests that ran although their only answer says that they did not.
   *
   * @returns the breaches
   */
  listUntrueRefusals(): readonly Breach[] {
    return this.responses
      .filter(({ key, verdict }) =>
        key.startsWith("once-") && verdict === "refused" &&
        this.countRuns(key) > 0
      )
      .map(({ key }) => ({ kind: "untrue-not-run", detail: key }));
  }

  /**
   * Lists the VMs that may act for a team's shard now.
   *
   * @param team - the team
   * @returns names of the VMs
   */
  listHolders(team: string): readonly string[] {
    const shard = findTeamShard(
      toId<TeamId>(team),
      this.#settings.shardCount,
    );
    return this.#listActing(shard);
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
    await vm.scheduler.pass(this.clock.wait(SERVICE_TIME_MS));
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
    const passedOn = {
      ...request,
      context: { ...request.context, isPassedOn: true },
    };
    to.scheduler.execute(() => {
      void this.#serve(to, passedOn);
    });
  }

  #dispatch(key: string): void {
    const runs = this.countRuns(key) + 1;
    this.#runs.set(key, runs);
    if (runs > 1) {
      this.violations.push({ kind: "ran-twice", detail: key });
    }
  }

  #record(key: string, verdict: VirtualAnswer["verdict"]): void {
    this.responses.push({ key, verdict });
  }

  #checkHolders(): void {
    const count = this.#settings.shardCount ?? 1;
    for (let shard = 0; shard < count; shard += 1) {
      const acting = this.#listActing(toId<ShardId>(shard));
      if (acting.length > 1) {
        const detail = `shard ${shard}: ${acting.join(", ")}`;
        this.violations.push({ kind: "two-holders", detail });
      }
    }
  }

  #listActing(shard: ShardId): readonly string[] {
    return this.vms
      .filter((vm) => vm.scheduler.isOpen() && vm.ownership.mayAct(shard))
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
