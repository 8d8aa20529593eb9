import { FindingSeverity } from './Finding.js';

import type { Finding } from './Finding.js';
import type { EntryChange } from 'hickoryrelay-contract/DeclarationsChange';

/** Number of the layout of the machine-readable report. A field is only added under the same one. */
export const REPORT_LAYOUT = 1;

/** The outcome of a check. Values are stable codes of the machine-readable report. */
export const CheckOutcome = {
  Clean: 'clean',
  Warnings: 'warnings',
  Errors: 'errors',
} as const;

export type CheckOutcome = (typeof CheckOutcome)[keyof typeof CheckOutcome];

/** The result of a check of one file. Its fields are those of the machine-readable report. */
export interface CheckReport {
  readonly layout: typeof REPORT_LAYOUT;
  readonly file: string;
  readonly outcome: CheckOutcome;
  readonly findings: readonly Finding[];
  /** Null if the file was not compared with another version, or could not be decoded. */
  readonly differences: readonly EntryChange[] | null;
}

function outcomeOf(findings: readonly Finding[]): CheckOutcome {
  if (findings.some(({ severity }) => severity === FindingSeverity.Error)) {
    return CheckOutcome.Errors;
  }
  return findings.length === 0 ? CheckOutcome.Clean : CheckOutcome.Warnings;
}

/** Makes the report of a file. `differences` is undefined if it was not compared. */
export function makeCheckReport(
  file: string,
  findings: readonly Finding[],
  differences: readonly EntryChange[] | undefined,
): CheckReport {
  return {
    layout: REPORT_LAYOUT,
    file,
    outcome: outcomeOf(findings),
    findings,
    differences: differences ?? null,
  };
}
