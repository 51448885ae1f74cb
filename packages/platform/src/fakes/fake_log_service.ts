/** In-memory log service with injectable faults, under virtual time. */

import type { FakeClock } from "@limpetford/core/time/fake_clock";
import type { Result } from "@limpetford/domain/result";
import { makeError, makeOk } from "@limpetford/domain/result";

import { keepContiguousRecords } from "../log_page_check.ts";
import type { LogError, LogPage, ReadOptions } from "../log_service.ts";
import { LogService } from "../log_service.ts";
import { LogFaults } from "./log_faults.ts";
import { MemoryLogStore } from "./memory_log_store.ts";

const DEFAULT_TIMEOUT_MS = 2_000;
const DEFAULT_READ_LIMIT = 1_000;

/** Dependencies of {@link FakeLogService}. */
export interface FakeLogServiceOptions {
  readonly clock: FakeClock;
  /** Streams; may be shared by several fakes. Default: a new, empty store. */
  readonly store?: MemoryLogStore;
  /** Faults between this caller and the service; default none. */
  readonly faults?: LogFaults;
  /** Timeout of a call, in milliseconds; default 2,000. */
  readonly timeoutMs?: number;
}

/**
 * A log service as one caller sees it: shared records, own faults.
 */
export class FakeLogService extends LogService {
  readonly store: MemoryLogStore;
  readonly faults: LogFaults;
  readonly #clock: FakeClock;
  readonly #timeoutMs: number;

  /**
   * Creates a fake.
   *
   * @param options - clock, store, faults and timeout
   */
  constructor(options: FakeLogServiceOptions) {
    super();
    this.#clock = options.clock;
    this.store = options.store ?? new MemoryLogStore();
    this.faults = options.faults ?? new LogFaults();
    this.#timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;
  }

  override async append(
    stream: string,
    payloads: readonly Uint8Array[],
  ): Promise<Result<number, LogError>> {
    const refusal = this.#findRefusal();
    if (refusal !== undefined) {
      return makeError(refusal);
    }
    const copies = payloads.map((payload) => Uint8Array.from(payload));
    const isRequestLost = this.faults.takeLostAppend();
    const isResponseLost = this.faults.takeLostResponse();
    return await this.#runWithTimeout(
      async () => {
        if (isRequestLost) {
          return await waitForever();
        }
        await this.#wait(this.faults.delayBeforeEffectMs);
        const now = this.#clock.readMonotonicMs();
        const offset = this.store.append(stream, copies, now);
        await this.#wait(this.faults.delayAfterEffectMs);
        return isResponseLost ? await waitForever() : makeOk(offset);
      },
      this.#timeoutMs,
      { kind: "append-outcome-unknown", cause: "timed out" },
    );
  }

  override async read(
    stream: string,
    options: ReadOptions,
  ): Promise<Result<LogPage, LogError>> {
    const refusal = this.#findRefusal();
    if (refusal !== undefined) {
      return makeError(refusal);
    }
    const waitMs = options.waitMs ?? 0;
    return await this.#runWithTimeout(
      async () => {
        await this.#wait(this.faults.readDelayMs);
        await this.#waitForRecords(stream, options);
        return this.#readNow(stream, options);
      },
      this.#timeoutMs + waitMs,
      { kind: "log-away", cause: "timed out" },
    );
  }

  #readNow(stream: string, options: ReadOptions): Result<LogPage, LogError> {
    const refusal = this.#findRefusal();
    if (refusal !== undefined) {
      return makeError(refusal);
    }
    const page = this.faults.applyToPage(this.#readStore(stream, options));
    if (options.fromOffset < page.oldestOffset) {
      const { oldestOffset } = page;
      return makeError({ kind: "records-expired", oldestOffset });
    }
    const checked = keepContiguousRecords(options.fromOffset, page.records);
    if (checked.records.length === 0 && checked.missingOffset !== undefined) {
      return makeError({
        kind: "log-away",
        cause: "first record missing from the response",
      });
    }
    return makeOk({
      ...page,
      records: checked.records,
      nextOffset: options.fromOffset + checked.records.length,
    });
  }

  #readStore(stream: string, options: ReadOptions): LogPage {
    return this.store.read(stream, {
      fromOffset: options.fromOffset,
      limit: options.limit ?? DEFAULT_READ_LIMIT,
      nowMs: this.#clock.readMonotonicMs(),
    });
  }

  async #waitForRecords(stream: string, options: ReadOptions): Promise<void> {
    const untilMs = this.#clock.readMonotonicMs() + (options.waitMs ?? 0);
    while (this.#readStore(stream, options).records.length === 0) {
      const remainingMs = untilMs - this.#clock.readMonotonicMs();
      if (remainingMs <= 0) {
        return;
      }
      await new Promise<void>((resolve) => {
        const unsubscribe = this.store.subscribeOnce(resolve);
        this.#clock.schedule(remainingMs, () => {
          unsubscribe();
          resolve();
        });
      });
    }
  }

  async #wait(delayMs: number): Promise<void> {
    if (delayMs > 0) {
      await this.#clock.wait(delayMs);
    }
  }

  #findRefusal(): LogError | undefined {
    if (this.faults.isUnavailable) {
      return { kind: "log-away", cause: "connection refused" };
    }
    const retryAfterMs = this.faults.busyRetryAfterMs;
    return retryAfterMs === undefined
      ? undefined
      : { kind: "log-busy", retryAfterMs };
  }

  async #runWithTimeout<T>(
    run: () => Promise<Result<T, LogError>>,
    timeoutMs: number,
    timeoutError: LogError,
  ): Promise<Result<T, LogError>> {
    return await new Promise((resolve, reject) => {
      const cancel = this.#clock.schedule(timeoutMs, () => {
        resolve(makeError(timeoutError));
      });
      run().then((result) => {
        cancel();
        resolve(result);
      }, reject);
    });
  }
}

async function waitForever(): Promise<never> {
  return await new Promise<never>(() => undefined);
}
