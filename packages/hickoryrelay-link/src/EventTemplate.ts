/** The parts of a token event that change from one event to the next. */
export interface TokenParts {
  readonly tokenIndex: number | undefined;
  readonly text: string;
}

const INDEX_FIELD = '"token_index":';
const TEXT_FIELDS: readonly string[] = ['"content":"', '"text":"'];
const QUOTE = '"';
const ZERO = 48;
const NINE = 57;
const FIRST_NON_ASCII = 128;
const BACKSLASH = 92;

/** Position after the digits that start at the given position. */
function digitsEnd(line: string, start: number): number {
  let end = start;
  let code = line.charCodeAt(end);
  while (code >= ZERO && code <= NINE) {
    end += 1;
    code = line.charCodeAt(end);
  }
  return end;
}

/** Position of the quote that ends plain text; -1 if the text has escapes or is not ASCII. */
function plainTextEnd(line: string, start: number): number {
  const end = line.indexOf(QUOTE, start);
  for (let index = start; index < end; index += 1) {
    const code = line.charCodeAt(index);
    if (code === BACKSLASH || code >= FIRST_NON_ASCII) {
      return -1;
    }
  }
  return end;
}

/**
 * The bytes around the position and the text of a token event. An event whose other bytes are the
 * same differs in nothing else, so it need not be parsed; that saves most of the cost of a token.
 */
export class EventTemplate {
  private readonly head: string;

  private readonly middle: string;

  private readonly tail: string;

  private constructor(head: string, middle: string, tail: string) {
    this.head = head;
    this.middle = middle;
    this.tail = tail;
  }

  /**
   * Makes the template of an event that was parsed, in latin1. Returns undefined if the event does
   * not have the usual form.
   */
  static of(line: string, parts: TokenParts): EventTemplate | undefined {
    const field = TEXT_FIELDS.find((each) => line.includes(each));
    const textStart = field === undefined ? -1 : line.indexOf(field) + field.length;
    const textEnd = textStart < 0 ? -1 : plainTextEnd(line, textStart);
    const indexField = line.indexOf(INDEX_FIELD);
    const indexStart = indexField < 0 ? 0 : indexField + INDEX_FIELD.length;
    const indexEnd = indexField < 0 ? 0 : digitsEnd(line, indexStart);
    if (textEnd < 0 || indexEnd > textStart) {
      return undefined;
    }
    const template = new EventTemplate(
      line.slice(0, indexStart),
      line.slice(indexEnd, textStart),
      line.slice(textEnd),
    );
    const read = template.match(line);
    return read?.text === parts.text && read.tokenIndex === parts.tokenIndex ? template : undefined;
  }

  /** Returns what changes, or undefined if other bytes differ as well. */
  match(line: string): TokenParts | undefined {
    const { head, middle, tail } = this;
    if (!line.startsWith(head)) {
      return undefined;
    }
    const indexEnd = head === '' ? 0 : digitsEnd(line, head.length);
    if (!line.startsWith(middle, indexEnd)) {
      return undefined;
    }
    const textStart = indexEnd + middle.length;
    const textEnd = plainTextEnd(line, textStart);
    const isSame = textEnd > textStart && line.length === textEnd + tail.length;
    if (!isSame || !line.endsWith(tail) || (head !== '' && indexEnd === head.length)) {
      return undefined;
    }
    return {
      tokenIndex: head === '' ? undefined : Number(line.slice(head.length, indexEnd)),
      text: line.slice(textStart, textEnd),
    };
  }
}
