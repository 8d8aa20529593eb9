const MAXIMUM_NAME_CHARACTERS = 1000;

export const HTTP_PROTOCOLS: ReadonlySet<string> = new Set(['http:', 'https:']);

export const PEER_PROTOCOLS: ReadonlySet<string> = new Set(['ws:', 'wss:']);

/** True for the name of an endpoint, an instance, a kind or a zone. */
export function isName(value: unknown): value is string {
  return typeof value === 'string' && value.length > 0 && value.length <= MAXIMUM_NAME_CHARACTERS;
}

/** True for a URL to which a connection can be opened. */
export function isUrl(value: unknown, protocols: ReadonlySet<string>): value is string {
  if (typeof value !== 'string' || !URL.canParse(value)) {
    return false;
  }
  const { protocol, port } = new URL(value);
  return protocols.has(protocol) && port !== '0';
}
