import { WorkKind } from 'hickoryrelay-contract/ClassOfWork';
import { OpenAiEngineLink } from 'hickoryrelay-link/OpenAiEngineLink';
import { ServiceLink } from 'hickoryrelay-link/ServiceLink';

import type { Endpoint } from 'hickoryrelay-endpoint/Endpoint';
import type { EndpointLink } from 'hickoryrelay-link/EndpointLink';

/** Owns the links of this instance: one per endpoint, opened on first use. */
export class EndpointLinks {
  private readonly linksByIdentifier = new Map<string, EndpointLink>();

  linkTo(endpoint: Endpoint): EndpointLink {
    let link = this.linksByIdentifier.get(endpoint.identifier);
    if (link === undefined) {
      link =
        endpoint.kind.serves === WorkKind.Model
          ? new OpenAiEngineLink(endpoint.location)
          : new ServiceLink(endpoint.location);
      this.linksByIdentifier.set(endpoint.identifier, link);
    }
    return link;
  }

  /** Closes the link to an endpoint that was removed. */
  async closeLink(endpoint: Endpoint): Promise<void> {
    const link = this.linksByIdentifier.get(endpoint.identifier);
    this.linksByIdentifier.delete(endpoint.identifier);
    await link?.close();
  }

  async close(): Promise<void> {
    const links = [...this.linksByIdentifier.values()];
    this.linksByIdentifier.clear();
    await Promise.all(links.map((link) => link.close()));
  }
}
