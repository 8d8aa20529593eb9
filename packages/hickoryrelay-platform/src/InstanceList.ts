/** Whether an entry instance takes new work. */
export const InstanceState = { Live: 'live', Leaving: 'leaving' } as const;

export type InstanceState = (typeof InstanceState)[keyof typeof InstanceState];

/** An entry instance as the platform lists it. */
export interface ListedInstance {
  readonly name: string;
  readonly zone: string;
  readonly state: InstanceState;
  /** Base URL of the callers' interface. */
  readonly callersUrl: string;
  /** URL of the peer interface (`ws:`). */
  readonly peersUrl: string;
}

/** The platform's list of entry instances. It lags. */
export abstract class InstanceList {
  abstract list(): Promise<readonly ListedInstance[]>;

  /** Registers this instance, or renews its entry. */
  abstract announce(instance: ListedInstance): Promise<void>;
}
