import { WorkKind } from 'hickoryrelay-contract/ClassOfWork';
import { EndpointState } from 'hickoryrelay-endpoint/Endpoint';

import { DEFAULT_SUBSET_SIZE, EndpointSubset } from './EndpointSubset.js';
import { isAble } from './SelectionPolicy.js';

import type { Fleet } from './Fleet.js';
import type { Endpoint } from 'hickoryrelay-endpoint/Endpoint';
import type { Call } from 'hickoryrelay-link/Call';

/** With fewer endpoints for a model or route, the loss of one would leave too little choice. */
const LEAST_FOR_ONE_SUBJECT = 4;

/** The endpoints of the fleet that this instance uses, kept until the fleet changes. */
export class EndpointPool {
  private readonly subset: EndpointSubset;

  private readonly fleet: Fleet;

  private version = -1;

  private chosen: readonly Endpoint[] = [];

  private readonly bySubject = new Map<string, readonly Endpoint[]>();

  constructor(subset: EndpointSubset, fleet: Fleet) {
    this.subset = subset;
    this.fleet = fleet;
  }

  /** All endpoints in use; their load reports are wanted. */
  get members(): readonly Endpoint[] {
    this.refresh();
    return [...new Set([...this.chosen, ...[...this.bySubject.values()].flat()])];
  }

  /** The endpoints in use that can run the call. */
  membersFor(call: Call): readonly Endpoint[] {
    this.refresh();
    const subject = call.kind === WorkKind.Model ? `model ${call.model}` : `route ${call.route}`;
    let members = this.bySubject.get(subject);
    if (members === undefined) {
      members = this.choose(call);
      this.bySubject.set(subject, members);
    }
    return members;
  }

  private choose(call: Call): readonly Endpoint[] {
    const able = this.chosen.filter((endpoint) => isAble(endpoint, call));
    if (able.length >= LEAST_FOR_ONE_SUBJECT) {
      return able;
    }
    return this.subset.choose(
      this.live().filter((endpoint) => isAble(endpoint, call)),
      { total: LEAST_FOR_ONE_SUBJECT, otherZones: 1 },
    );
  }

  private refresh(): void {
    if (this.version !== this.fleet.version) {
      this.version = this.fleet.version;
      this.bySubject.clear();
      this.chosen = this.subset.choose(this.live(), DEFAULT_SUBSET_SIZE);
    }
  }

  private live(): Endpoint[] {
    return [...this.fleet.endpoints()].filter(({ state }) => state === EndpointState.Live);
  }
}
