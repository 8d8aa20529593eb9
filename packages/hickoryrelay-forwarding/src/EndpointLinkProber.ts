import { EndpointProber } from 'hickoryrelay-relay/ReachProbeTask';

import type { EndpointLink } from './EndpointLink.js';
import type { EndpointRegistry } from './EndpointRegistry.js';
import type { DueProbe } from 'hickoryrelay-relay/EndpointReach';

/** Tries connections over the link of the requests, which reports the outcomes. */
export class EndpointLinkProber extends EndpointProber {
  private readonly registry: EndpointRegistry;

  private readonly link: EndpointLink;

  constructor(registry: EndpointRegistry, link: EndpointLink) {
    super();
    this.registry = registry;
    this.link = link;
  }

  override async probe({ endpoint }: DueProbe, signal: AbortSignal): Promise<boolean> {
    const state = this.registry.findByIdentifier(endpoint);
    return state !== undefined && this.link.tryConnection(state.record, signal);
  }
}
