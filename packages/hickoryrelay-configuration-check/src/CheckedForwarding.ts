import type {
  CallerLimits,
  ForwardingRoute,
  ForwardingService,
} from 'hickoryrelay-forwarding/ForwardingConfiguration';

/** A decoded route, with what its decoding leaves out. */
export interface CheckedRoute extends ForwardingRoute {
  /** True if the declared kind is one that instances know. */
  readonly hasKnownKind: boolean;
  readonly isMarkedResumable: boolean;
  /** True if the route names one service as well as shares of services, which take precedence. */
  readonly ignoresService: boolean;
}

/** A declared account. Its keys are secret and must not be written. */
export interface CheckedAccount {
  readonly name: string;
  readonly keys: readonly string[];
  readonly priority?: number;
}

/** What is checked of a configuration of the forwarding program. */
export interface CheckedForwarding {
  readonly routes: readonly CheckedRoute[];
  readonly services: readonly ForwardingService[];
  readonly limits: CallerLimits;
  /** Undefined if no accounts are declared; then no request needs a key. */
  readonly accounts: readonly CheckedAccount[] | undefined;
  /** Memory of an instance, if it is known. */
  readonly memoryBytes?: number;
}
