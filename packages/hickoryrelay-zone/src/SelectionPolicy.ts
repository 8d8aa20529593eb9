import { WorkKind } from 'hickoryrelay-contract/ClassOfWork';
import { Engine } from 'hickoryrelay-endpoint/Engine';

import type { Fleet } from './Fleet.js';
import type { Endpoint } from 'hickoryrelay-endpoint/Endpoint';
import type { Call } from 'hickoryrelay-link/Call';

/** Returns whether the endpoint serves the call's model or route. */
export function supportsCall(endpoint: Endpoint, call: Call): boolean {
  if (call.kind === WorkKind.Model) {
    return endpoint instanceof Engine && endpoint.servesModel(call.model);
  }
  return endpoint.kind.routes.includes(call.route);
}

/** Returns whether the endpoint serves the call and currently accepts calls. */
export function canAcceptCall(endpoint: Endpoint, call: Call): boolean {
  return endpoint.acceptsCalls && supportsCall(endpoint, call);
}

/** Selects endpoints for calls. An override yields each endpoint at most once, best first. */
export abstract class SelectionPolicy {
  abstract candidates(call: Call, fleet: Fleet): Generator<Endpoint, void, void>;
}

/** Yields the endpoints of the local zone first, and within each group those with the fewest calls. */
export class LeastOutstandingSelection extends SelectionPolicy {
  private readonly localZone: string;

  constructor(localZone: string) {
    super();
    this.localZone = localZone;
  }

  override *candidates(call: Call, fleet: Fleet): Generator<Endpoint, void, void> {
    const eligible = [...fleet.endpoints()].filter((endpoint) => canAcceptCall(endpoint, call));
    const byLoad = eligible.toSorted((left, right) => left.callsInFlight - right.callsInFlight);
    yield* byLoad.filter((endpoint) => endpoint.location.zone === this.localZone);
    yield* byLoad.filter((endpoint) => endpoint.location.zone !== this.localZone);
  }
}
