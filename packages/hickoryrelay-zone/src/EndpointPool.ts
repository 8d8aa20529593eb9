import { WorkKind } from 'hickoryrelay-contract/ClassOfWork';
import { EndpointState } from 'hickoryrelay-endpoint/Endpoint';

import { DEFAULT_SUBSET_SIZE, EndpointSubset } from './EndpointSubset.js';
import { supportsCall } from './SelectionPolicy.js';

import type { Fleet } from './Fleet.js';
import type { Endpoint } from 'hickoryrelay-endpoint/Endpoint';
import type { Call } from 'hickoryrelay-link/Call';

/** With fewer endpoints for a model or route, the loss of one leaves too few to select from. */
const MINIMUM_ENDPOINTS_PER_DESTINATION = 4;

/** The subset of the fleet that this instance sends calls to. Recomputed when the fleet changes. */
export class EndpointPool {
  private readonly subset: EndpointSubset;

  private readonly fleet: Fleet;

  private version = -1;

  private subsetMembers: readonly Endpoint[] = [];

  private readonly membersByDestination = new Map<string, readonly Endpoint[]>();

  constructor(subset: EndpointSubset, fleet: Fleet) {
    this.subset = subset;
    this.fleet = fleet;
  }

  /** All endpoints in use, whose load reports this instance needs. */
  get members(): readonly Endpoint[] {
    this.refreshIfStale();
    return [...new Set([...this.subsetMembers, ...[...this.membersByDestination.values()].flat()])];
  }

  /** The endpoints in use that can run the call. */
  membersFor(call: Call): readonly Endpoint[] {
    this.refreshIfStale();
    const destination =
      call.kind === WorkKind.Model ? `model ${call.model}` : `route ${call.route}`;
    let members = this.membersByDestination.get(destination);
    if (members === undefined) {
      members = this.choose(call);
      this.membersByDestination.set(destination, members);
    }
    return members;
  }

  private choose(call: Call): readonly Endpoint[] {
    const compatible = this.subsetMembers.filter((endpoint) => supportsCall(endpoint, call));
    if (compatible.length >= MINIMUM_ENDPOINTS_PER_DESTINATION) {
      return compatible;
    }
    return this.subset.choose(
      this.live().filter((endpoint) => supportsCall(endpoint, call)),
      { total: MINIMUM_ENDPOINTS_PER_DESTINATION, remoteEndpoints: 1 },
    );
  }

  private refreshIfStale(): void {
    if (this.version !== this.fleet.version) {
      this.version = this.fleet.version;
      this.membersByDestination.clear();
      this.subsetMembers = this.subset.choose(this.live(), DEFAULT_SUBSET_SIZE);
    }
  }

  private live(): Endpoint[] {
    return [...this.fleet.endpoints()].filter(({ state }) => state === EndpointState.Live);
  }
}
