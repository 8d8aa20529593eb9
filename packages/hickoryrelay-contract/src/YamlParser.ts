import { isNode, LineCounter, parseDocument } from 'yaml';
import { FailureKind } from 'hickoryrelay/Failure';
import { RelayError } from 'hickoryrelay/RelayError';

import type { FileProblem } from 'hickoryrelay/Failure';
import type { Document } from 'yaml';
import type { z } from 'zod';

type FieldPath = readonly PropertyKey[];

/** Returns the line of the field or, if it is absent, of its nearest ancestor in the file. */
function findLine(document: Document, lineCounter: LineCounter, path: FieldPath): number {
  for (let { length } = path; length >= 0; length -= 1) {
    const node = document.getIn(path.slice(0, length), true);
    if (isNode(node) && node.range) {
      return lineCounter.linePos(node.range[0]).line;
    }
  }
  return 1;
}

function formatPath(path: FieldPath): string {
  return path.length === 0 ? '(document)' : path.map(String).join('.');
}

/** Parses YAML files and validates them against a schema. */
export class YamlParser<Schema extends z.ZodType> {
  private readonly schema: Schema;

  constructor(schema: Schema) {
    this.schema = schema;
  }

  /**
   * Parses and validates the text. Throws `invalid-file` with the file, line and field of each
   * problem. Unknown fields are problems if the schema is strict.
   */
  parse(file: string, text: string): z.output<Schema> {
    const lines = new LineCounter();
    const document = parseDocument(text, { lineCounter: lines, uniqueKeys: true });
    const syntaxProblems = document.errors.map((error) => ({
      file,
      line: lines.linePos(error.pos[0]).line,
      field: '(syntax)',
      reason: error.message.split('\n')[0] ?? error.code,
    }));
    if (syntaxProblems.length > 0) {
      throw new RelayError({ kind: FailureKind.InvalidFile, problems: syntaxProblems });
    }
    const result = this.schema.safeParse(document.toJS({ maxAliasCount: 0 }) ?? {});
    if (result.success) {
      return result.data;
    }
    const problems: FileProblem[] = result.error.issues.map((issue) => ({
      file,
      line: findLine(document, lines, issue.path),
      field: formatPath(issue.path),
      reason: issue.message,
    }));
    throw new RelayError({ kind: FailureKind.InvalidFile, problems });
  }
}
