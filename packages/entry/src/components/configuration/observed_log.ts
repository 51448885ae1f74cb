/** Notices when the platform's log does not answer. */

import type { Result } from "@limpetford/domain/result";
import {
  type LogError,
  type LogPage,
  LogService,
  type ReadOptions,
} from "@limpetford/platform/log_service";

/**
 * Passes calls on to the log and keeps whether the last one was answered.
 */
export class ObservedLog extends LogService {
  readonly #log: LogService;
  #isAway = false;
  #appends = 0;
  #reads = 0;

  /**
   * Wraps a log.
   *
   * @param log - the log
   */
  constructor(log: LogService) {
    super();
    this.#log = log;
  }

  /**
   * Checks whether the last call was not answered.
   *
   * @returns true while the log seems to be away
   */
  isUnavailable(): boolean {
    return this.#isAway;
  }

  /**
   * Counts the calls so far.
   *
   * @returns appends and reads
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
    this.#isAway = !result.ok && (result.error.kind === "log-away" ||
      result.error.kind === "append-outcome-unknown");
    return result;
  }
}
