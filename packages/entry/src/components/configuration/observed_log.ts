/** Tracks whether the platform's log is available. */

import type { Result } from "@limpetford/domain/result";
import {
  type LogError,
  type LogPage,
  LogService,
  type ReadOptions,
} from "@limpetford/platform/log_service";

/**
 * Decorates a log: forwards calls, counts them and records whether the last one
 * got a response.
 */
export class ObservedLog extends LogService {
  readonly #log: LogService;
  #isUnavailable = false;
  #appends = 0;
  #reads = 0;

  /**
   * Creates the decorator; the log counts as available until a call fails.
   *
   * @param log - the log to which calls are forwarded
   */
  constructor(log: LogService) {
    super();
    this.#log = log;
  }

  /**
   * Checks whether the log is unavailable.
   *
   * @returns true if the last call got no response
   */
  isUnavailable(): boolean {
    return this.#isUnavailable;
  }

  /**
   * Counts the calls since this decorator was created.
   *
   * @returns number of appends and of reads, failed ones included
   */
  countCalls(): { readonly appends: number; readonly reads: number } {
    return { appends: this.#appends, reads: this.#reads };
  }

  override async append(
    stream: string,
    payloads: readonly Uint8Array[],
  ): Promise<Result<number, LogError>> {
    this.#appends += 1;
    return this.#observe(await this.#log.append(stream, payloads));
  }

  override async read(
    stream: string,
    options: ReadOptions,
  ): Promise<Result<LogPage, LogError>> {
    this.#reads += 1;
    return this.#observe(await this.#log.read(stream, options));
  }

  #observe<T>(result: Result<T, LogError>): Result<T, LogError> {
    this.#isUnavailable = !result.ok && (result.error.kind === "log-away" ||
      result.error.kind === "append-outcome-unknown");
    return result;
  }
}
