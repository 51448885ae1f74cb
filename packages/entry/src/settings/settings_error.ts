/** Errors of a settings file. */

/** A file that cannot be read, or an invalid setting. */
export type SettingsError =
  | {
    readonly kind: "unreadable";
    /** Path of the settings, certificate or key file. */
    readonly file: string;
    /** Error code of the operating system, such as `ENOENT`. */
    readonly cause: string;
  }
  | {
    readonly kind: "invalid";
    /** Line number, starting at 1. */
    readonly line: number;
    /** Path of the setting, joined by dots; empty for the whole file. */
    readonly name: string;
    readonly message: string;
  };

/**
 * Formats an error for operators.
 *
 * @param error - error to format
 * @returns a line of text without a line break
 */
export function formatSettingsError(error: SettingsError): string {
  switch (error.kind) {
    case "unreadable":
      return `${error.file}: cannot be read (${error.cause})`;
    case "invalid":
      return `line ${error.line}: ${error.name}: ${error.message}`;
  }
}
