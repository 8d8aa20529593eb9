import type { OutgoingHttpHeaders, ServerResponse } from 'node:http';

/** Bounds the memory of a response that is collected because its caller takes no chunks. */
export const MAXIMUM_COLLECTED_BYTES = 1_048_576;

/** Names and values in turn, or a record of them. */
export type FramedHeaders = OutgoingHttpHeaders | readonly string[];

const STATUSES_WITHOUT_BODY: ReadonlySet<number> = new Set([204, 304]);

/** False if a response of the status to a request of the method ends with its head. */
export function mayHaveBody(method: string | undefined, status: number): boolean {
  return method !== 'HEAD' && !STATUSES_WITHOUT_BODY.has(status);
}

function withLength(headers: FramedHeaders, length: number): OutgoingHttpHeaders | string[] {
  return Array.isArray(headers)
    ? [...(headers as readonly string[]), 'Content-Length', String(length)]
    : { ...(headers as OutgoingHttpHeaders), 'content-length': length };
}

/** Sends a response whose body is known, with its length. */
export function sendWhole(
  response: ServerResponse,
  status: number,
  headers: FramedHeaders,
  text: string,
): void {
  const body = Buffer.from(text);
  response.writeHead(status, withLength(headers, body.length));
  response.end(body);
}

/** What is collected of a response until it is complete. */
interface Collection {
  readonly heldBytes: number;
  /** True if it is too long, or has been dropped. */
  readonly mustDiscard: boolean;
  drop(): void;
}

const collections = new WeakMap<ServerResponse, Collection>();

/** Bytes of a response that are collected until it is complete. */
export function collectedBytesOf(response: ServerResponse): number {
  return collections.get(response)?.heldBytes ?? 0;
}

/** Releases what is collected of a response, which has to be discarded. */
export function dropCollected(response: ServerResponse): void {
  collections.get(response)?.drop();
}

/**
 * Writes the response to one request so that a length or a last chunk marks its end. The operating
 * system closes the connections of a killed process normally, so that a response which only the
 * close delimits would look complete.
 */
export abstract class ResponseFraming {
  protected readonly response: ServerResponse;

  constructor(response: ServerResponse) {
    this.response = response;
  }

  abstract get hasStarted(): boolean;

  /** True once a part of the response has been passed on, so that no other can take its place. */
  get hasSent(): boolean {
    return this.response.headersSent;
  }

  /** True if the response can't be collected, as it is too long or memory is short. It has to be discarded. */
  get isOverLimit(): boolean {
    return collections.get(this.response)?.mustDiscard === true;
  }

  /** Forgets a response of which nothing has been sent. */
  discard(): void {}

  /** Starts the response. `length` is that of the body in bytes, if it is known. */
  abstract start(status: number, headers: FramedHeaders, length?: number): void;

  /** Adds a chunk of the body. Returns false if the caller has to read before the next one. */
  abstract write(chunk: Buffer): boolean;

  /** Marks the response as complete. */
  abstract end(): void;
}

/** Passes each chunk on at once, in chunked encoding if the length is not known. */
class StreamedFraming extends ResponseFraming {
  override get hasStarted(): boolean {
    return this.response.headersSent;
  }

  override start(status: number, headers: FramedHeaders, length?: number): void {
    const list = length === undefined ? (headers as string[]) : withLength(headers, length);
    this.response.writeHead(status, list);
  }

  override write(chunk: Buffer): boolean {
    return this.response.write(chunk);
  }

  override end(): void {
    this.response.end();
  }
}

/**
 * Collects a response of unknown length, for a caller that takes no chunks, and sends it with its
 * length once it is complete.
 */
class CollectedFraming extends StreamedFraming implements Collection {
  private head: { readonly status: number; readonly headers: FramedHeaders } | undefined;

  private chunks: Buffer[] = [];

  private collectedBytes = 0;

  private isDropped = false;

  /** Bytes that are collected. */
  get heldBytes(): number {
    return this.isDropped ? 0 : this.collectedBytes;
  }

  get mustDiscard(): boolean {
    return this.isDropped || this.collectedBytes > MAXIMUM_COLLECTED_BYTES;
  }

  override get hasStarted(): boolean {
    return this.head !== undefined || super.hasStarted;
  }

  override discard(): void {
    this.head = undefined;
    this.chunks = [];
    this.collectedBytes = 0;
    this.isDropped = false;
    collections.delete(this.response);
  }

  /** Releases what is collected. The response is over its limit. */
  drop(): void {
    this.isDropped = true;
    this.chunks = [];
  }

  override start(status: number, headers: FramedHeaders, length?: number): void {
    if (length === undefined && mayHaveBody(this.response.req.method, status)) {
      this.head = { status, headers };
    } else {
      super.start(status, headers, length);
    }
  }

  override write(chunk: Buffer): boolean {
    if (this.head === undefined) {
      return super.write(chunk);
    }
    this.collectedBytes += chunk.length;
    collections.set(this.response, this);
    if (this.isOverLimit) {
      return false;
    }
    this.chunks.push(chunk);
    return true;
  }

  override end(): void {
    if (this.head !== undefined) {
      const { status, headers } = this.head;
      this.response.writeHead(status, withLength(headers, this.collectedBytes));
    }
    collections.delete(this.response);
    this.response.end(Buffer.concat(this.chunks));
  }
}

/** The framing for the caller of a response. Callers that speak HTTP/1.0 take no chunks. */
export function framingFor(response: ServerResponse): ResponseFraming {
  return response.useChunkedEncodingByDefault
    ? new StreamedFraming(response)
    : new CollectedFraming(response);
}
