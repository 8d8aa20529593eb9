import { WorkKind } from 'hickoryrelay-contract/ClassOfWork';
import { Engine } from 'hickoryrelay-endpoint/Engine';

import type { Fleet } from './Fleet.js';
import type { Endpoint } from 'hickoryrelay-endpoint/Endpoint';
import type { Call } from 'hickoryrelay-link/Call';

/** Tells whether the endpoint is of a kind that can run the call. */
export function isAble(endpoint: Endpoint, call: Call): boolean {
  if (call.kind === WorkKind.Model) {
    return endpoint instanceof Engine && endpoint.servesModel(call.model);
  }
  return endpoint.kind.routes.includes(call.route);
}

/** Tells whether the endpoint can run the call now. */
export function canRun(endpoint: Endpoint, call: Call): boolean {
  return endpoint.acceptsCalls && isAble(endpoint, call);
}

/** Chooses endpoints for calls. An override yields each endpoint at most once, the best first. */
export abstract class SelectionPolicy {
  abstract candidates(call: Call, fleet: Fleet): Generator<Endpoint, void, void>;
}

/** Endpoints of the own zone first, each group by fewest calls in flight. */
export class LeastOutstandingSelection extends SelectionPolicy {
  private readonly ownZone: string;

  constructor(ownZone: string) {
    super();
    this.ownZone = ownZone;
  }

  override *candidates(call: Call, fleet: Fleet): Generator<Endpoint, void, void> {
    const able = [...fleet.endpoints()].filter((endpoint) => canRun(endpoint, call));
    const byLoad = able.toSorted((left, right) => left.callsInFlight - right.callsInFlight);
    yield* byLoad.filter((endpoint) => endpoint.location.zone === this.ownZone);
    yield* byLoad.filter((endpoint) => endpoint.location.zone !== this.ownZone);
  }
}
