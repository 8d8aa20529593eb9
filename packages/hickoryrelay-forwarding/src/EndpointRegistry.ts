import { EndpointPhase } from './EndpointRecord.js';
import { EndpointState } from './EndpointState.js';

import type { EndpointRecord } from './EndpointRecord.js';
import type { PeerLoads } from './PeerLoads.js';
import type { EndpointLoad } from './PeerMessage.js';

/**
 * Distinguishes the incarnations of an endpoint, which may reuse its identifier after a restart.
 */
function incarnationKey(record: EndpointRecord): string {
  return `${record.identifier}/${record.startedMilliseconds}/${record.address}`;
}

/** The endpoints of all services, with their observed load and health. */
export class EndpointRegistry {
  private states = new Map<string, EndpointState>();

  private byService = new Map<string, EndpointState[]>();

  private readonly peers: PeerLoads;

  constructor(peers: PeerLoads) {
    this.peers = peers;
  }

  /** The load that this instance puts on each endpoint it uses. */
  *ownLoads(): Generator<EndpointLoad, void, void> {
    for (const { ownLoad } of this.states.values()) {
      if (ownLoad.running > 0) {
        yield ownLoad;
      }
    }
  }

  /** Replaces the list of endpoints. Keeps the states of known incarnations. */
  replace(records: readonly EndpointRecord[]): void {
    const states = new Map<string, EndpointState>();
    const byService = new Map<string, EndpointState[]>();
    for (const record of records) {
      const key = incarnationKey(record);
      const state = this.states.get(key) ?? new EndpointState(record, this.peers);
      state.record = record;
      states.set(key, state);
      byService.set(record.service, [...(byService.get(record.service) ?? []), state]);
    }
    this.states = states;
    this.byService = byService;
  }

  /**
   * Endpoints of a service that accept new requests. Unconfirmed endpoints may have left, so they
   * are included only while they outnumber the ready ones, which would otherwise be overloaded.
   */
  readyEndpoints(service: string): EndpointState[] {
    const states = this.byService.get(service) ?? [];
    const inPhase = (phase: EndpointPhase) => states.filter(({ record }) => record.phase === phase);
    const ready = inPhase(EndpointPhase.Ready);
    const unconfirmed = inPhase(EndpointPhase.Unconfirmed);
    return unconfirmed.length > ready.length ? [...ready, ...unconfirmed] : ready;
  }
}
