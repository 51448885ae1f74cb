/** What describes a kind of log event. */

/** Severity of a log event. */
export type LogLevel = "error" | "warn" | "info" | "debug";

/** Value types of fields, by the name that the reference page shows. */
export interface FieldTypes {
  readonly "text": string;
  readonly "number": number;
  readonly "yes or no": boolean;
}

/** Severity, meaning and fields of one kind of event. */
export interface LogEventDescription {
  readonly level: LogLevel;
  /** Explanation for operators. */
  readonly meaning: string;
  /** Type of each field; ages and durations are in milliseconds. */
  readonly fields: Readonly<Record<string, keyof FieldTypes>>;
}
