/** Branded (nominal) types for identifiers that are strings or numbers. */

declare const BRAND: unique symbol;

/**
 * A T that plain values of type T cannot be assigned to. Distinct names make
 * distinct types; the brand does not exist at run time.
 */
export type Brand<T, Name extends string> = T & { readonly [BRAND]: Name };
