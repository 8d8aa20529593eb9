import { isNode, LineCounter, parseDocument } from 'yaml';
import { FailureKind } from 'hickoryrelay/Failure';
import { RelayError } from 'hickoryrelay/RelayError';

import type { FileProblem } from 'hickoryrelay/Failure';
import type { Document } from 'yaml';
import type { z } from 'zod';

type Path = readonly PropertyKey[];

/** Finds the line of the field, or of the nearest parent that is present in the file. */
function lineOf(document: Document, lines: LineCounter, path: Path): number {
  for (let { length } = path; length >= 0; length -= 1) {
    const node = document.getIn(path.slice(0, length), true);
    if (isNode(node) && node.range) {
      return lines.linePos(node.range[0]).line;
    }
  }
  return 1;
}

function fieldName(path: Path): string {
  return path.length === 0 ? '(document)' : path.map(String).join('.');
}

/** A syntax or schema check of a YAML text. */
export class YamlFile<Schema extends z.ZodType> {
  private readonly schema: Schema;

  constructor(schema: Schema) {
    this.schema = schema;
  }

  /**
   * Parses and checks the text. Throws `invalid-file` with file, line and field of every problem;
   * unknown fields are problems.
   */
  read(file: string, text: string): z.output<Schema> {
    const lines = new LineCounter();
    const document = parseDocument(text, { lineCounter: lines, uniqueKeys: true });
    const syntax = document.errors.map((error) => ({
      file,
      line: lines.linePos(error.pos[0]).line,
      field: '(syntax)',
      reason: error.message.split('\n')[0] ?? error.code,
    }));
    if (syntax.length > 0) {
      throw new RelayError({ kind: FailureKind.InvalidFile, problems: syntax });
    }
    const result = this.schema.safeParse(document.toJS({ maxAliasCount: 0 }) ?? {});
    if (result.success) {
      return result.data;
    }
    const problems: FileProblem[] = result.error.issues.map((issue) => ({
      file,
      line: lineOf(document, lines, issue.path),
      field: fieldName(issue.path),
      reason: issue.message,
    }));
    throw new RelayError({ kind: FailureKind.InvalidFile, problems });
  }
}
