import { FailureKind } from 'hickoryrelay/Failure';
import { RelayError } from 'hickoryrelay/RelayError';

import type { Clock } from 'hickoryrelay/Clock';
import type { IncomingMessage } from 'node:http';

const CREDENTIAL_HEADERS: ReadonlySet<string> = new Set([
  'authorization',
  'api-key',
  'x-api-key',
  'proxy-authorization',
]);

const CREDENTIAL_FIELDS: ReadonlySet<string> = new Set([
  'authorization',
  'api_key',
  'apikey',
  'api-key',
  'access_token',
  'key',
]);

/** Matches the text of an access key anywhere; no endpoint may see one. */
const KEY_TEXT = /hrk_[0-9a-f]{12}_[0-9a-f]{48}/u;
const KEY_TEXT_START = 'hrk_';

/** Deeper bodies could exhaust the stack when they are encoded again. */
const DEEPEST_NESTING = 64;

/** Limits of one request. */
export interface RequestLimits {
  readonly bodyBytes: number;
  /** Time for the whole body to arrive, in milliseconds. */
  readonly bodyMilliseconds: number;
}

function invalid(field: string, reason: string): RelayError {
  return new RelayError({ kind: FailureKind.InvalidRequest, field, reason });
}

/** Throws if the text carries an access key. */
export function assertNoKey(field: string, text: string): void {
  if (text.includes(KEY_TEXT_START) && KEY_TEXT.test(text)) {
    throw invalid(field, 'an access key belongs only into the Authorization header');
  }
}

/** Returns the presented key text, or undefined. Throws if a key stands in more than one place. */
export function readKeyText(request: IncomingMessage): string | undefined {
  const credentials: [string, string][] = [];
  // `headers` drops repeats of some headers, so the raw list is read.
  for (let index = 0; index + 1 < request.rawHeaders.length; index += 2) {
    const name = (request.rawHeaders[index] ?? '').toLowerCase();
    if (CREDENTIAL_HEADERS.has(name)) {
      credentials.push([name, request.rawHeaders[index + 1] ?? '']);
    }
  }
  const [first, second] = credentials;
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

/** Splits the request target. Throws if it carries a credential. */
export function readTarget(request: IncomingMessage): { path: string; query: string } {
  const target = request.url ?? '/';
  const mark = target.indexOf('?');
  const path = mark < 0 ? target : target.slice(0, mark);
  const query = mark < 0 ? '' : target.slice(mark);
  for (const [name, value] of new URLSearchParams(query)) {
    if (CREDENTIAL_FIELDS.has(name.toLowerCase())) {
      throw invalid(`query.${name}`, 'credentials belong into the Authorization header');
    }
    assertNoKey(`query.${name}`, value);
  }
  assertNoKey('path', path);
  return { path, query };
}

/** Returns the content type, or undefined. Throws if it carries a credential. */
export function readContentType(request: IncomingMessage): string | undefined {
  const contentType = request.headers['content-type'];
  assertNoKey('content-type', contentType ?? '');
  return contentType;
}

/** Reads the whole body. Throws `request-too-large` or `request-timeout`. */
export async function readBody(
  request: IncomingMessage,
  limits: RequestLimits,
  clock: Clock,
): Promise<Buffer> {
  const { bodyBytes, bodyMilliseconds } = limits;
  const tooLarge = () =>
    new RelayError({ kind: FailureKind.RequestTooLarge, part: 'body', limitBytes: bodyBytes });
  if (Number(request.headers['content-length'] ?? 0) > bodyBytes) {
    throw tooLarge();
  }
  const settled = new AbortController();
  const expiry = clock.sleep(bodyMilliseconds, settled.signal).then(() => {
    throw new RelayError({
      kind: FailureKind.RequestTimeout,
      limitMilliseconds: bodyMilliseconds,
    });
  });
  // The wait is aborted when the body is complete; only the race below sees its other end.
  expiry.catch(() => {});
  const chunks: Buffer[] = [];
  let size = 0;
  // The connection must outlive a refusal, so that the caller can read it.
  const iterator = request.iterator({ destroyOnReturn: false });
  try {
    for (;;) {
      const next = await Promise.race([iterator.next(), expiry]);
      if (next.done === true) {
        return Buffer.concat(chunks, size);
      }
      const chunk = next.value as Buffer;
      size += chunk.length;
      if (size > bodyBytes) {
        throw tooLarge();
      }
      chunks.push(chunk);
    }
  } finally {
    settled.abort();
  }
}

function assertShallow(value: unknown, depth: number): void {
  if (typeof value !== 'object' || value === null) {
    return;
  }
  if (depth > DEEPEST_NESTING) {
    throw invalid('body', `nested deeper than ${DEEPEST_NESTING} levels`);
  }
  for (const inner of Object.values(value)) {
    assertShallow(inner, depth + 1);
  }
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
  } catch {
    throw invalid('body', 'malformed JSON');
  }
  if (typeof decoded !== 'object' || decoded === null || Array.isArray(decoded)) {
    throw invalid('body', 'expected a JSON object');
  }
  for (const name of Object.keys(decoded)) {
    if (CREDENTIAL_FIELDS.has(name.toLowerCase())) {
      throw invalid(`body.${name}`, 'credentials belong into the Authorization header');
    }
  }
  assertShallow(decoded, 1);
  return decoded as Record<string, unknown>;
}
