import { WorkKind } from 'hickoryrelay-contract/ClassOfWork';
import { CallCounter, Endpoint, EndpointState } from 'hickoryrelay-endpoint/Endpoint';
import { Engine } from 'hickoryrelay-endpoint/Engine';
import { SupplyState } from 'hickoryrelay-platform/EndpointSupply';

import { AvailabilityZone } from './AvailabilityZone.js';
import type { EndpointKind } from 'hickoryrelay-contract/EndpointKind';
import type { SuppliedEndpoint } from 'hickoryrelay-platform/EndpointSupply';

/** All zones and endpoints that this instance knows. */
export class Fleet {
  private readonly zonesByName = new Map<string, AvailabilityZone>();

  private readonly callCounter = new CallCounter();

  private currentVersion = 0;

  private hasBeenUpdated = false;

  /** Increases with each change of the endpoints or their states. */
  get version(): number {
    return this.currentVersion;
  }

  /** Calls that this instance has in flight on all endpoints, including removed ones. */
  get callsInFlight(): number {
    return this.callCounter.count;
  }

  /** True once the platform's list of endpoints has been applied. */
  get isLoaded(): boolean {
    return this.hasBeenUpdated;
  }

  get zones(): IterableIterator<AvailabilityZone> {
    return this.zonesByName.values();
  }

  *endpoints(): Generator<Endpoint, void, void> {
    for (const zone of this.zonesByName.values()) {
      yield* zone.endpoints;
    }
  }

  /** Finds an endpoint of any zone by its identifier. */
  find(identifier: string): Endpoint | undefined {
    for (const zone of this.zonesByName.values()) {
      const endpoint = zone.find(identifier);
      if (endpoint !== undefined) {
        return endpoint;
      }
    }
    return undefined;
  }

  zone(name: string): AvailabilityZone {
    let zone = this.zonesByName.get(name);
    if (zone === undefined) {
      zone = new AvailabilityZone(name);
      this.zonesByName.set(name, zone);
    }
    return zone;
  }

  /** Applies the platform's list. Returns the endpoints that are no longer listed. */
  update(
    supplied: readonly SuppliedEndpoint[],
    kinds: ReadonlyMap<string, EndpointKind>,
  ): Endpoint[] {
    this.hasBeenUpdated = true;
    const listedIdentifiers = new Set(supplied.map((each) => each.identifier));
    for (const each of supplied) {
      this.updateEndpoint(each, kinds.get(each.kind));
    }
    const removed = [...this.endpoints()].filter(
      (endpoint) => !listedIdentifiers.has(endpoint.identifier),
    );
    for (const endpoint of removed) {
      endpoint.transitionTo(EndpointState.Gone);
      this.zone(endpoint.location.zone).remove(endpoint.identifier);
      this.currentVersion += 1;
    }
    return removed;
  }

  private updateEndpoint(supplied: SuppliedEndpoint, kind: EndpointKind | undefined): void {
    const zone = this.zone(supplied.zone);
    const known = zone.find(supplied.identifier);
    if (supplied.state === SupplyState.Starting || kind === undefined) {
      return;
    }
    const endpoint = known ?? this.create(supplied, kind);
    if (known === undefined) {
      zone.add(endpoint);
      this.currentVersion += 1;
    }
    if (supplied.state === SupplyState.Leaving && endpoint.acceptsCalls) {
      endpoint.transitionTo(EndpointState.Leaving);
      this.currentVersion += 1;
    }
  }

  private create(supplied: SuppliedEndpoint, kind: EndpointKind): Endpoint {
    const { identifier, zone, url } = supplied;
    return kind.serves === WorkKind.Model
      ? new Engine({ identifier, zone, url }, kind, this.callCounter)
      : new Endpoint({ identifier, zone, url }, kind, this.callCounter);
  }
}
