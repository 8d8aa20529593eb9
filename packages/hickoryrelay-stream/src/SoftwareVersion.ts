import { hashString } from 'hickoryrelay/RendezvousUtils';

/** Version of an engine's software. Undefined if the engine states none, which equals only itself. */
export type SoftwareVersion = string | undefined;

/**
 * Stands for the version of a run whose engine has not stated which incarnation it is. It differs from the versions
 * of all engines, so that none of them continues what the run has begun.
 */
export function unconfirmedVersion(run: string): SoftwareVersion {
  return `unconfirmed:${hashString(run).toString(16)}`;
}
