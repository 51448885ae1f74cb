/**
 * Guards against wrong outcome reports when appends or responses are lost, and
 * against two concurrent proposals both taking effect on the same version.
 */

import { buildCheckpoint } from "@limpetford/core/configuration/configuration_fold";
import { FakeClock } from "@limpetford/core/time/fake_clock";
import { encodeConfigurationRecord } from "@limpetford/domain/configuration_codec";
import type { ConfigurationChange } from "@limpetford/domain/configuration_record";
import { CONFIGURATION_STREAM } from "@limpetford/domain/configuration_record";
import type {
  ConfigurationVersion,
  KeyHash,
  TeamId,
} from "@limpetford/domain/ids";
import { toId } from "@limpetford/domain/ids";
import type { Result } from "@limpetford/domain/result";
import { makeError } from "@limpetford/domain/result";
import { FakeLogService } from "@limpetford/platform/fakes/fake_log_service";
import type { LogFaults } from "@limpetford/platform/fakes/log_faults";
import { MemoryLogStore } from "@limpetford/platform/fakes/memory_log_store";
import type {
  LogError,
  LogPage,
  ReadOptions,
} from "@limpetford/platform/log_service";
import { LogService } from "@limpetford/platform/log_service";
import fc from "fast-check";

import { ConfigurationPublisher } from "./configuration_publisher.ts";

const SEED = 4_711;
const VERSION_0 = toId<ConfigurationVersion>(0);

function putTeam(name: string, burst = 1): ConfigurationChange {
  const id = toId<TeamId>(name);
  return {
    kind: "put-team",
    team: { id, ratePerSecond: 1, burst, weight: 1 },
  };
}

function makePublisher(log: LogService, clock: FakeClock, name = "ana") {
  let count = 0;
  return new ConfigurationPublisher({
    log,
    clock,
    proposer: name,
    generateId: () => `${name}-${count++}`,
    wait: () => Promise.resolve(),
  });
}

function makeHarness() {
  const clock = new FakeClock();
  const log = new FakeLogService({ clock });
  const publisher = makePublisher(log, clock);
  const run = async <T>(call: Promise<T>): Promise<T> => {
    await clock.advanceAndSettle(60_000);
    return await call;
  };
  return { clock, log, publisher, run };
}

describe("ConfigurationPublisher", () => {
  it("publishes changes based on the version in force", async () => {
    const { publisher, run } = makeHarness();
    const changes = [putTeam("costa")];
    expect(await run(publisher.publish({ basedOn: VERSION_0, changes })))
      .toEqual({ ok: true, value: 1 });
    const state = await publisher.readState();
    expect(state.ok && state.value.configuration.teams.map((t) => t.id))
      .toEqual(["costa"]);
  });

  it.each([
    {
      fault: "one lost response",
      set: (faults: LogFaults) => {
        faults.appendResponsesToLose = 1;
      },
      result: { ok: true, value: 1 },
    },
    {
      fault: "one lost append",
      set: (faults: LogFaults) => {
        faults.appendsToLose = 1;
      },
      result: { ok: true, value: 1 },
    },
    {
      fault: "an append that takes effect after the timeout",
      set: (faults: LogFaults) => {
        faults.delayBeforeEffectMs = 3_000;
      },
      result: { ok: true, value: 1 },
    },
    {
      fault: "every append lost",
      set: (faults: LogFaults) => {
        faults.appendsToLose = 1_000;
      },
      result: {
        ok: false,
        error: { kind: "outcome-unknown", proposalId: "ana-0" },
      },
    },
    {
      fault: "the log unavailable",
      set: (faults: LogFaults) => {
        faults.isUnavailable = true;
      },
      result: { ok: false, error: { kind: "log-away" } },
    },
    {
      fault: "the log busy",
      set: (faults: LogFaults) => {
        faults.busyRetryAfterMs = 700;
      },
      result: { ok: false, error: { kind: "log-busy", retryAfterMs: 700 } },
    },
  ])("reports the actual outcome after $fault", async ({ set, result }) => {
    const { publisher, log, run } = makeHarness();
    set(log.faults);
    const changes = [putTeam("costa")];
    expect(await run(publisher.publish({ basedOn: VERSION_0, changes })))
      .toMatchObject(result);
    log.faults.clear();
    const state = await publisher.readState();
    expect(state.ok && state.value.configuration.version)
      .toBe(result.ok ? 1 : 0);
  });

  it("reports an unknown outcome if the log fails after the append", async () => {
    const { publisher, log, run } = makeHarness();
    log.faults.delayAfterEffectMs = 100;
    const publishing = publisher.publish({
      basedOn: VERSION_0,
      changes: [putTeam("costa")],
    });
    log.faults.readDelayMs = 1_000_000;
    expect(await run(publishing)).toMatchObject({
      ok: false,
      error: { kind: "outcome-unknown", proposalId: "ana-0" },
    });
    log.faults.clear();
    expect(await publisher.findOutcome("ana-0")).toMatchObject({
      ok: true,
      value: { kind: "accepted", version: 1 },
    });
  });

  it("reports a lost race and an invalid change to the operator", async () => {
    const { publisher, log, clock, run } = makeHarness();
    const other = makePublisher(log, clock, "berta");
    const changes = [putTeam("costa")];
    await run(publisher.publish({ basedOn: VERSION_0, changes }));
    expect(await run(other.publish({ basedOn: VERSION_0, changes })))
      .toEqual({ ok: false, error: { kind: "lost-race", inForce: 1 } });
    const key = {
      hash: toId<KeyHash>("ab".repeat(32)),
      team: toId<TeamId>("x"),
    };
    const invalid = await run(other.publish({
      basedOn: toId<ConfigurationVersion>(1),
      changes: [{ kind: "put-key", key }],
    }));
    expect(invalid).toMatchObject({ ok: false, error: { kind: "invalid" } });
  });

  it("starts from a checkpoint if old records have expired", async () => {
    const { publisher, log, clock, run } = makeHarness();
    const changes = [putTeam("costa")];
    await run(publisher.publish({ basedOn: VERSION_0, changes }));
    const state = await publisher.readState();
    expect(state.ok).toBe(true);
    const late = makePublisher(log, clock, "berta");
    log.store.expireBefore(CONFIGURATION_STREAM, 1);
    expect(await late.readState())
      .toEqual({ ok: false, error: { kind: "no-checkpoint" } });
    if (state.ok) {
      const record = encodeConfigurationRecord(buildCheckpoint(state.value));
      await log.append(CONFIGURATION_STREAM, [record]);
    }
    expect(await late.readState())
      .toMatchObject({ ok: true, value: { configuration: { version: 1 } } });
  });

  it("withdraws a key independently of the version", async () => {
    const { publisher, log, run } = makeHarness();
    log.faults.appendResponsesToLose = 1;
    const key = toId<KeyHash>("cd".repeat(32));
    expect(await run(publisher.withdrawKey(key)))
      .toEqual({ ok: true, value: undefined });
    const state = await publisher.readState();
    expect(state.ok && [...state.value.withdrawnKeys]).toEqual([key]);
  });
});

type AppendFault = "kept" | "answer-lost" | "lost" | "away";

/** Delivers calls in the order chosen by a scheduler and injects faults. */
class ScheduledLogService extends LogService {
  readonly #inner: FakeLogService;
  readonly #scheduler: fc.Scheduler;
  readonly #faults: AppendFault[];

  constructor(
    store: MemoryLogStore,
    scheduler: fc.Scheduler,
    faults: readonly AppendFault[],
  ) {
    super();
    this.#inner = new FakeLogService({ clock: new FakeClock(), store });
    this.#scheduler = scheduler;
    this.#faults = [...faults];
  }

  override async append(
    stream: string,
    payloads: readonly Uint8Array[],
  ): Promise<Result<number, LogError>> {
    const fault = this.#faults.shift() ?? "kept";
    await this.#scheduler.schedule(Promise.resolve());
    switch (fault) {
      case "away":
        return makeError({ kind: "log-away", cause: "test" });
      case "lost":
        return makeError({ kind: "append-outcome-unknown", cause: "test" });
      case "answer-lost":
        await this.#inner.append(stream, payloads);
        return makeError({ kind: "append-outcome-unknown", cause: "test" });
      case "kept":
        return await this.#inner.append(stream, payloads);
    }
  }

  override async read(
    stream: string,
    options: ReadOptions,
  ): Promise<Result<LogPage, LogError>> {
    await this.#scheduler.schedule(Promise.resolve());
    return await this.#inner.read(stream, options);
  }
}

describe("concurrent operators", () => {
  const faults = fc.array(
    fc.constantFrom<AppendFault>("kept", "answer-lost", "lost", "away"),
    { maxLength: 4 },
  );

  it("agree on the winner for any interleaving and lost messages", async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.scheduler(),
        fc.array(faults, { minLength: 2, maxLength: 4 }),
        async (scheduler, faultsOfOperators) => {
          const store = new MemoryLogStore();
          const publishing = faultsOfOperators.map(async (list, index) => {
            const log = new ScheduledLogService(store, scheduler, list);
            const name = `operator-${index}`;
            const publisher = makePublisher(log, new FakeClock(), name);
            const changes = [putTeam("shared", index + 1), putTeam(name)];
            return await publisher.publish({ basedOn: VERSION_0, changes });
          });
          const outcomes = await scheduler.waitFor(Promise.all(publishing));
          const reader = makePublisher(
            new FakeLogService({ clock: new FakeClock(), store }),
            new FakeClock(),
          );
          const state = await reader.readState();
          const teams = state.ok
            ? state.value.configuration.teams.map((team) => String(team.id))
            : [];
          outcomes.forEach((outcome, index) => {
            const isInForce = teams.includes(`operator-${index}`);
            if (outcome.ok) {
              expect(isInForce).toBe(true);
            } else {
              expect(["lost-race", "log-away", "outcome-unknown"])
                .toContain(outcome.error.kind);
              if (outcome.error.kind !== "outcome-unknown") {
                expect(isInForce).toBe(false);
              }
            }
          });
          expect(outcomes.filter((outcome) => outcome.ok).length)
            .toBeLessThanOrEqual(1);
          expect(teams.length).toBeLessThanOrEqual(2);
        },
      ),
      { seed: SEED, numRuns: 500 },
    );
  });
});
