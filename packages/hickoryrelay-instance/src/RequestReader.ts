import { FailureKind } from 'hickoryrelay/Failure';
import { RelayError } from 'hickoryrelay/RelayError';

import type { IncomingMessage } from 'node:http';

const AUTHORIZATION_HEADERS: ReadonlySet<string> = new Set([
  'authorization',
  'api-key',
  'x-api-key',
  'proxy-authorization',
]);

const SECRET_FIELDS: ReadonlySet<string> = new Set([
  'authorization',
  'api_key',
  'apikey',
  'api-key',
  'access_token',
  'key',
]);

function invalid(field: string, reason: string): RelayError {
  return new RelayError({ kind: FailureKind.InvalidRequest, field, reason });
}

/** Returns the presented key text, or undefined. Throws if a key stands in more than one place. */
export function readKeyText(request: IncomingMessage): string | undefined {
  const values: [string, string][] = [];
  for (let index = 0; index + 1 < request.rawHeaders.length; index += 2) {
    const name = (request.rawHeaders[index] ?? '').toLowerCase();
    if (AUTHORIZATION_HEADERS.has(name)) {
      values.push([name, request.rawHeaders[index + 1] ?? '']);
    }
  }
  const [first, second] = values;
  if (first === undefined) {
    return undefined;
  }
  if (second !== undefined || first[0] !== 'authorization') {
    throw invalid(second?.[0] ?? first[0], 'send one Authorization header and no other credential');
  }
  const match = /^Bearer ([\x21-\x7e]+)$/u.exec(first[1]);
  if (match?.[1] === undefined) {
    throw invalid('authorization', 'expected the form "Bearer <key>"');
  }
  return match[1];
}

/** Splits the request target. Throws if the query carries a credential. */
export function readTarget(request: IncomingMessage): { path: string; query: string } {
  const target = request.url ?? '/';
  const mark = target.indexOf('?');
  const path = mark < 0 ? target : target.slice(0, mark);
  const query = mark < 0 ? '' : target.slice(mark);
  for (const [name] of new URLSearchParams(query)) {
    if (SECRET_FIELDS.has(name.toLowerCase())) {
      throw invalid(`query.${name}`, 'credentials belong into the Authorization header');
    }
  }
  return { path, query };
}

/** Reads the whole body. Throws `request-too-large` or `request-timeout`. */
export async function readBody(
  request: IncomingMessage,
  limitBytes: number,
  limitMilliseconds: number,
): Promise<Buffer> {
  const tooLarge = () =>
    new RelayError({ kind: FailureKind.RequestTooLarge, part: 'body', limitBytes });
  if (Number(request.headers['content-length'] ?? 0) > limitBytes) {
    throw tooLarge();
  }
  const chunks: Buffer[] = [];
  let size = 0;
  const timer = setTimeout(() => {
    request.destroy(new RelayError({ kind: FailureKind.RequestTimeout, limitMilliseconds }));
  }, limitMilliseconds);
  try {
    for await (const chunk of request as AsyncIterable<Buffer>) {
      size += chunk.length;
      if (size > limitBytes) {
        throw tooLarge();
      }
      chunks.push(chunk);
    }
  } finally {
    clearTimeout(timer);
  }
  return Buffer.concat(chunks);
}

/** Decodes a JSON object. Throws `unsupported-media-type` or `invalid-request`. */
export function decodeJsonObject(
  contentType: string | undefined,
  body: Buffer,
): Record<string, unknown> {
  const mediaType = (contentType ?? '').split(';')[0]?.trim().toLowerCase() ?? '';
  if (mediaType !== 'application/json') {
    throw new RelayError({ kind: FailureKind.UnsupportedMediaType, received: mediaType });
  }
  let decoded: unknown;
  try {
    decoded = JSON.parse(body.toString('utf8'));
  } catch (error) {
    throw invalid('body', error instanceof Error ? 'malformed JSON' : String(error));
  }
  if (typeof decoded !== 'object' || decoded === null || Array.isArray(decoded)) {
    throw invalid('body', 'expected a JSON object');
  }
  for (const name of Object.keys(decoded)) {
    if (SECRET_FIELDS.has(name.toLowerCase())) {
      throw invalid(`body.${name}`, 'credentials belong into the Authorization header');
    }
  }
  return decoded as Record<string, unknown>;
}
