import { FailureKind } from 'hickoryrelay/Failure';
import { failureOf } from 'hickoryrelay/RelayError';
import { CheckOutcome, makeCheckReport } from 'hickoryrelay-configuration-check/CheckReport';
import { findingsOfProblems } from 'hickoryrelay-configuration-check/Finding';

import { changeLines } from './ChangeLines.js';
import { ExitCode } from './Command.js';

import type { CheckedFile } from './CheckedFile.js';
import type { FileCheckFlags } from './FileCheckFlags.js';
import type { CheckReport } from 'hickoryrelay-configuration-check/CheckReport';

/** Checks files of one kind and writes the reports. */
export class FileCheck<Content> {
  private readonly kind: CheckedFile<Content>;

  private readonly flags: FileCheckFlags;

  private readonly writeLine: (line: string) => void;

  constructor(
    kind: CheckedFile<Content>,
    flags: FileCheckFlags,
    writeLine: (line: string) => void,
  ) {
    this.kind = kind;
    this.flags = flags;
    this.writeLine = writeLine;
  }

  /**
   * Checks a file. `readInForce` returns the version in force where it is not in a file. Throws
   * `invalid-file` if the file cannot be decoded, unless the report is JSON and states it.
   */
  async run(file: string, readInForce?: () => Promise<Content>): Promise<ExitCode> {
    const report = await this.check(file, readInForce);
    this.write(report);
    return this.exitCodeOf(report);
  }

  private async check(file: string, readInForce?: () => Promise<Content>): Promise<CheckReport> {
    let content: Content;
    try {
      content = await this.kind.read(file);
    } catch (error) {
      const failure = failureOf(error);
      if (failure.kind !== FailureKind.InvalidFile || !this.flags.json) {
        throw error;
      }
      return makeCheckReport(file, findingsOfProblems(failure.problems), undefined);
    }
    const { against } = this.flags;
    const inForce = against === undefined ? await readInForce?.() : await this.kind.read(against);
    const differences = inForce === undefined ? undefined : this.kind.compare(content, inForce);
    return makeCheckReport(file, this.kind.find(content, inForce), differences);
  }

  private write(report: CheckReport): void {
    if (this.flags.json) {
      this.writeLine(JSON.stringify(report, undefined, 2));
      return;
    }
    const { file, outcome, findings, differences } = report;
    for (const { severity, section, name, message } of findings) {
      this.writeLine(`${severity}: ${section} ${name}: ${message}`);
    }
    for (const line of differences === null ? [] : changeLines(differences)) {
      this.writeLine(line);
    }
    this.writeLine(outcome === CheckOutcome.Errors ? `${file} has errors.` : `${file} is valid.`);
  }

  private exitCodeOf({ outcome, differences }: CheckReport): ExitCode {
    if (outcome === CheckOutcome.Errors) {
      return ExitCode.InvalidInput;
    }
    const hasWarnings = this.flags.strict && outcome === CheckOutcome.Warnings;
    const isChanged = this.flags.expectUnchanged && (differences ?? []).length > 0;
    return hasWarnings || isChanged ? ExitCode.Failure : ExitCode.Success;
  }
}
