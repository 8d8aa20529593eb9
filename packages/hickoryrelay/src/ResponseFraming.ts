import { ConnectionCloseReason, resetConnectionOf } from './ConnectionClosing.js';

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

/** Bytes that are collected for responses. */
const collectedBytes = new WeakMap<ServerResponse, number>();

/** Bytes of a response that are collected until it is complete. */
export function collectedBytesOf(response: ServerResponse): number {
  return collectedBytes.get(response) ?? 0;
}

/**
 * Collects a response of unknown length, for a caller that takes no chunks, and sends it with its
 * length once it is complete. Resets the connection if the response exceeds the limit.
 */
class CollectedFraming extends StreamedFraming {
  private head: { readonly status: number; readonly headers: FramedHeaders } | undefined;

  private readonly chunks: Buffer[] = [];

  private collectedBytes = 0;

  override get hasStarted(): boolean {
    return this.head !== undefined || super.hasStarted;
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
    if (this.collectedBytes > MAXIMUM_COLLECTED_BYTES) {
      resetConnectionOf(this.response, ConnectionCloseReason.ResponseSize);
      return false;
    }
    this.chunks.push(chunk);
    collectedBytes.set(this.response, this.collectedBytes);
    return true;
  }

  override end(): void {
    if (this.head !== undefined) {
      const { status, headers } = this.head;
      this.response.writeHead(status, withLength(headers, this.collectedBytes));
    }
    collectedBytes.delete(this.response);
    this.response.end(Buffer.concat(this.chunks));
  }
}

/** The framing for the caller of a response. Callers that speak HTTP/1.0 take no chunks. */
export function framingFor(response: ServerResponse): ResponseFraming {
  return response.useChunkedEncodingByDefault
    ? new StreamedFraming(response)
    : new CollectedFraming(response);
}
