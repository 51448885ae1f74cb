/** Formats JSON values as single-line text. */

/**
 * Formats a value of unknown structure on one line.
 *
 * @param value - value parsed from JSON
 * @returns `name=value` pairs for objects, bracketed lists for arrays, and
 * unquoted text for other values
 */
export function formatValue(value: unknown): string {
  if (Array.isArray(value)) {
    return `[${value.map(formatValue).join(", ")}]`;
  }
  if (typeof value === "object" && value !== null) {
    return Object.entries(value)
      .map(([name, inner]) => `${name}=${formatInner(inner)}`)
      .join(" ");
  }
  return String(value);
}

function formatInner(value: unknown): string {
  const isGroup = typeof value === "object" && value !== null &&
    !Array.isArray(value);
  return isGroup ? `(${formatValue(value)})` : formatValue(value);
}
