import type { ReceivedNotice } from './EndpointLink.js';
import type { EndpointRegistry } from './EndpointRegistry.js';
import type { EndpointState } from './EndpointState.js';
import type { ForwardingMetrics } from './ForwardingMetrics.js';
import type { ComponentLogger } from 'hickoryrelay/Logger';

/** Collaborators of the notices. */
export interface EndpointNoticesParts {
  readonly registry: EndpointRegistry;
  readonly metrics: ForwardingMetrics;
  readonly log: ComponentLogger;
}

/** Applies what endpoints state about themselves in their responses. */
export class EndpointNotices {
  private readonly parts: EndpointNoticesParts;

  private leavingCount = 0;

  constructor(parts: EndpointNoticesParts) {
    this.parts = parts;
    parts.metrics.registerCounter('endpoints_leaving_total', () => this.leavingCount);
  }

  /** Applies the notice in the response of an endpoint to a request. */
  receive(state: EndpointState, notice: ReceivedNotice, request: string | undefined): void {
    const senders = notice.isMisdirected
      ? new Set([state, ...this.parts.registry.atAddress(state.record.address)])
      : [state];
    for (const { availability, record } of senders) {
      if (availability.receive(notice)) {
        this.leavingCount += 1;
        this.parts.log.info('An endpoint announced that it is leaving.', {
          endpoint: record.identifier,
          started: record.startedMilliseconds,
          service: record.service,
          address: record.address,
          misdirected: notice.isMisdirected,
          request,
        });
      }
    }
  }
}
