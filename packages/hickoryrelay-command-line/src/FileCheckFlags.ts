/** How a check of a file compares and reports. */
export interface FileCheckFlags {
  /** Whether the report is written as JSON. */
  readonly json: boolean;
  /** File with the version in force. */
  readonly against: string | undefined;
  /** Whether warnings change the exit code. */
  readonly strict: boolean;
  /** Whether differences change the exit code. */
  readonly expectUnchanged: boolean;
}
