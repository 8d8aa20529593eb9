import { FailureKind } from 'hickoryrelay/Failure';
import { RelayError } from 'hickoryrelay/RelayError';

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

/** Matches an access key anywhere in a text. Keys must not be passed on to endpoints. */
const ACCESS_KEY_PATTERN = /hrk_[0-9a-f]{12}_[0-9a-f]{48}/u;
const ACCESS_KEY_PREFIX = 'hrk_';

/** More deeply nested bodies could overflow the stack when they are encoded again. */
const MAXIMUM_NESTING_DEPTH = 64;

function invalidRequest(field: string, reason: string): RelayError {
  return new RelayError({ kind: FailureKind.InvalidRequest, field, reason });
}

/** Throws `invalid-request` if the text contains an access key. */
export function assertNoAccessKey(field: string, text: string): void {
  if (text.includes(ACCESS_KEY_PREFIX) && ACCESS_KEY_PATTERN.test(text)) {
    throw invalidRequest(field, 'access keys are accepted only in the Authorization header');
  }
}

/**
 * Returns the bearer token of the Authorization header, or undefined if no credential was sent.
 * Throws `invalid-request` if the header is malformed or is not the only credential header.
 */
export function readKeyText(request: IncomingMessage): string | undefined {
  const credentials: [string, string][] = [];
  // Node drops duplicates of some headers from `headers`, so the raw headers are read.
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
    throw invalidRequest(
      second?.[0] ?? first[0],
      'send one Authorization header and no other credential',
    );
  }
  const match = /^Bearer ([\x21-\x7e]+)$/u.exec(first[1]);
  if (match?.[1] === undefined) {
    throw invalidRequest('authorization', 'expected the form "Bearer <key>"');
  }
  return match[1];
}

/** Splits the request target into path and query. Throws if it contains a credential. */
export function readTarget(request: IncomingMessage): { path: string; query: string } {
  const target = request.url ?? '/';
  const queryStart = target.indexOf('?');
  const path = queryStart < 0 ? target : target.slice(0, queryStart);
  const query = queryStart < 0 ? '' : target.slice(queryStart);
  for (const [name, value] of new URLSearchParams(query)) {
    if (CREDENTIAL_FIELDS.has(name.toLowerCase())) {
      throw invalidRequest(
        `query.${name}`,
        'credentials are accepted only in the Authorization header',
      );
    }
    assertNoAccessKey(`query.${name}`, value);
  }
  assertNoAccessKey('path', path);
  return { path, query };
}

/** Returns the content type, or undefined. Throws if it contains an access key. */
export function readContentType(request: IncomingMessage): string | undefined {
  const contentType = request.headers['content-type'];
  assertNoAccessKey('content-type', contentType ?? '');
  return contentType;
}

function assertNestingDepth(value: unknown, depth: number): void {
  if (typeof value !== 'object' || value === null) {
    return;
  }
  if (depth > MAXIMUM_NESTING_DEPTH) {
    throw invalidRequest('body', `nested deeper than ${MAXIMUM_NESTING_DEPTH} levels`);
  }
  for (const inner of Object.values(value)) {
    assertNestingDepth(inner, depth + 1);
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
    throw invalidRequest('body', 'malformed JSON');
  }
  if (typeof decoded !== 'object' || decoded === null || Array.isArray(decoded)) {
    throw invalidRequest('body', 'expected a JSON object');
  }
  for (const name of Object.keys(decoded)) {
    if (CREDENTIAL_FIELDS.has(name.toLowerCase())) {
      throw invalidRequest(
        `body.${name}`,
        'credentials are accepted only in the Authorization header',
      );
    }
  }
  assertNestingDepth(decoded, 1);
  return decoded as Record<string, unknown>;
}
