import type { Endpoint } from 'hickoryrelay-endpoint/Endpoint';

/** An availability zone and the endpoints in it that are known to this instance. */
export class AvailabilityZone {
  readonly name: string;

  private readonly endpointsByIdentifier = new Map<string, Endpoint>();

  constructor(name: string) {
    this.name = name;
  }

  get endpoints(): IterableIterator<Endpoint> {
    return this.endpointsByIdentifier.values();
  }

  find(identifier: string): Endpoint | undefined {
    return this.endpointsByIdentifier.get(identifier);
  }

  add(endpoint: Endpoint): void {
    this.endpointsByIdentifier.set(endpoint.identifier, endpoint);
  }

  remove(identifier: string): void {
    this.endpointsByIdentifier.delete(identifier);
  }
}
