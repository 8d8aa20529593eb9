import type { FileProblem } from 'hickoryrelay/Failure';

/** How serious a finding is. */
export const FindingSeverity = {
  /** No instance can do what the entry states. */
  Error: 'error',
  /** The entry has no effect, or is likely to be a mistake. */
  Warning: 'warning',
} as const;

export type FindingSeverity = (typeof FindingSeverity)[keyof typeof FindingSeverity];

/** What is wrong with an entry. Values are stable codes of the machine-readable report. */
export const FindingKind = {
  /** The file or a value in it is not valid. */
  Invalid: 'invalid',
  /** No request can match the entry, or no endpoint can serve it. */
  Unreachable: 'unreachable',
  /** Nothing refers to the entry, or a value has no effect. */
  Unused: 'unused',
  /** Two limits contradict each other. */
  Contradiction: 'contradiction',
} as const;

export type FindingKind = (typeof FindingKind)[keyof typeof FindingKind];

/** One problem of a configuration. */
export interface Finding {
  readonly severity: FindingSeverity;
  readonly kind: FindingKind;
  /** Kind of the entry, for example `class` or `route`. */
  readonly section: string;
  /** Name of the entry within its section. */
  readonly name: string;
  readonly message: string;
}

/** The entry that a check looks at. Makes the findings about it. */
export class CheckedEntry {
  private readonly section: string;

  private readonly name: string;

  constructor(section: string, name: string) {
    this.section = section;
    this.name = name;
  }

  error(kind: FindingKind, message: string): Finding {
    return this.find(FindingSeverity.Error, kind, message);
  }

  warning(kind: FindingKind, message: string): Finding {
    return this.find(FindingSeverity.Warning, kind, message);
  }

  private find(severity: FindingSeverity, kind: FindingKind, message: string): Finding {
    return { severity, kind, section: this.section, name: this.name, message };
  }
}

/** The findings for a file that could not be decoded. */
export function findingsOfProblems(problems: readonly FileProblem[]): Finding[] {
  return problems.map(({ file, line, field, reason }) =>
    new CheckedEntry('file', `${file}:${line}`).error(FindingKind.Invalid, `${field}: ${reason}`),
  );
}
