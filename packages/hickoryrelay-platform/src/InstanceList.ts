import { HTTP_PROTOCOLS, isName, isUrl, PEER_PROTOCOLS } from './ListEntryUtils.js';

/** Lifecycle state of an entry instance. Only a live instance accepts new work. */
export const InstanceState = { Live: 'live', Leaving: 'leaving' } as const;

export type InstanceState = (typeof InstanceState)[keyof typeof InstanceState];

/** An entry instance in the list of the platform. */
export interface ListedInstance {
  readonly name: string;
  readonly zone: string;
  readonly state: InstanceState;
  /** Base URL of the caller API. */
  readonly callersUrl: string;
  /** URL of the peer interface (`ws:`). */
  readonly peersUrl: string;
}

const STATES: ReadonlySet<unknown> = new Set(Object.values(InstanceState));

/** True if an entry of the platform's list can be used. */
export function isListedInstance(value: unknown): value is ListedInstance {
  const entry = (value ?? {}) as Partial<Record<keyof ListedInstance, unknown>>;
  return (
    isName(entry.name) &&
    isName(entry.zone) &&
    STATES.has(entry.state) &&
    isUrl(entry.callersUrl, HTTP_PROTOCOLS) &&
    isUrl(entry.peersUrl, PEER_PROTOCOLS)
  );
}

/** The platform's list of entry instances. It may be out of date. */
export abstract class InstanceList {
  abstract list(): Promise<readonly ListedInstance[]>;

  /** Registers an instance or updates its entry. */
  abstract register(instance: ListedInstance): Promise<void>;
}
