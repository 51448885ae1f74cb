/** Result type for operations that return errors instead of throwing. */

/**
 * The value of a successful operation or the error of a failed one,
 * distinguished by `ok`.
 */
export type Result<T, E> =
  | { readonly ok: true; readonly value: T }
  | { readonly ok: false; readonly error: E };

/**
 * Builds a successful result.
 *
 * @param value - value of the successful operation
 * @returns a result with `ok: true`
 */
export function makeOk<T>(value: T): Result<T, never> {
  return { ok: true, value };
}

/**
 * Builds a failed result.
 *
 * @param error - error of the failed operation
 * @returns a result with `ok: false`
 */
export function makeError<E>(error: E): Result<never, E> {
  return { ok: false, error };
}
