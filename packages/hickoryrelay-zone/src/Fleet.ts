import { WorkKind } from 'hickoryrelay-contract/ClassOfWork';
import { Endpoint, EndpointState } from 'hickoryrelay-endpoint/Endpoint';
import { Engine } from 'hickoryrelay-endpoint/Engine';
import { SupplyState } from 'hickoryrelay-platform/EndpointSupply';

import type { EndpointKind } from 'hickoryrelay-contract/EndpointKind';
import type { SuppliedEndpoint } from 'hickoryrelay-platform/EndpointSupply';
import { AvailabilityZone } from './AvailabilityZone.js';

/** All zones and endpoints that this instance knows. */
export class Fleet {
  private readonly zonesByName = new Map<string, AvailabilityZone>();

  private hasList = false;

  /** True once the platform's list has been read. */
  get isKnown(): boolean {
    return this.hasList;
  }

  get zones(): IterableIterator<AvailabilityZone> {
    return this.zonesByName.values();
  }

  *endpoints(): Generator<Endpoint, void, void> {
    for (const zone of this.zonesByName.values()) {
      yield* zone.endpoints;
    }
  }

  zone(name: string): AvailabilityZone {
    let zone = this.zonesByName.get(name);
    if (zone === undefined) {
      zone = new AvailabilityZone(name);
      this.zonesByName.set(name, zone);
    }
    return zone;
  }

  /** Takes over the platform's list. Returns the endpoints that are no longer in it. */
  update(
    supplied: readonly SuppliedEndpoint[],
    kinds: ReadonlyMap<string, EndpointKind>,
  ): Endpoint[] {
    this.hasList = true;
    const listed = new Set(supplied.map((each) => each.identifier));
    for (const each of supplied) {
      this.updateEndpoint(each, kinds.get(each.kind));
    }
    const gone = [...this.endpoints()].filter((endpoint) => !listed.has(endpoint.identifier));
    for (const endpoint of gone) {
      endpoint.moveTo(EndpointState.Gone);
      this.zone(endpoint.place.zone).remove(endpoint.identifier);
    }
    return gone;
  }

  private updateEndpoint(supplied: SuppliedEndpoint, kind: EndpointKind | undefined): void {
    const zone = this.zone(supplied.zone);
    const known = zone.find(supplied.identifier);
    if (supplied.state === SupplyState.Starting || kind === undefined) {
      return;
    }
    const endpoint = known ?? Fleet.create(supplied, kind);
    if (known === undefined) {
      zone.add(endpoint);
    }
    if (supplied.state === SupplyState.Leaving) {
      endpoint.moveTo(EndpointState.Leaving);
    }
  }

  private static create(supplied: SuppliedEndpoint, kind: EndpointKind): Endpoint {
    const { identifier, zone, url } = supplied;
    return kind.serves === WorkKind.Model
      ? new Engine({ identifier, zone, url }, kind)
      : new Endpoint({ identifier, zone, url }, kind);
  }
}
