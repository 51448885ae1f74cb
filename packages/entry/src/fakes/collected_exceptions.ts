/** Keeps contained exceptions for tests. */

import {
  ContainedExceptions,
  type ExceptionSource,
} from "../telemetry/contained_exceptions.ts";

/** Keeps the source of each exception. */
export class CollectedExceptions extends ContainedExceptions {
  readonly sources: ExceptionSource[] = [];

  override report(source: ExceptionSource): void {
    this.sources.push(source);
  }
}
