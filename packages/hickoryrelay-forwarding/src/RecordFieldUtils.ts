import { isIPv4 } from 'node:net';

/** Bounds the messages in which instances exchange records. */
const MAXIMUM_NAME_CHARACTERS = 200;

const MAXIMUM_PORT = 65_535;
const PORT_PATTERN = /^[1-9]\d{0,4}$/u;

/** True for the name of a service, a zone or an instance. */
export function isName(value: unknown): boolean {
  return typeof value === 'string' && value.length > 0 && value.length <= MAXIMUM_NAME_CHARACTERS;
}

/** True for a port that a socket can connect or send to. Node throws synchronously for others. */
export function isPort(value: unknown): value is number {
  return Number.isInteger(value) && Number(value) > 0 && Number(value) <= MAXIMUM_PORT;
}

/** True for `host:port` with an IPv4 address and a decimal port. */
export function isSocketAddress(text: string): boolean {
  const colon = text.indexOf(':');
  const port = text.slice(colon + 1);
  return (
    isIPv4(text.slice(0, Math.max(0, colon))) && PORT_PATTERN.test(port) && isPort(Number(port))
  );
}
