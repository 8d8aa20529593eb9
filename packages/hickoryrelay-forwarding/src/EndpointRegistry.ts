import { EndpointPhase } from './EndpointRecord.js';
import { EndpointState } from './EndpointState.js';

import type { EndpointRecord } from './EndpointRecord.js';
import type { PeerLoads } from './PeerLoads.js';
import type { EndpointLoad } from './PeerMessage.js';

/** An incarnation of an endpoint: the identifier may be used again after a restart. */
function incarnationOf(record: EndpointRecord): string {
  return `${record.identifier}/${record.startedMilliseconds}/${record.address}`;
}

/** The endpoints of all services with what this instance has seen of them. */
export class EndpointRegistry {
  private states = new Map<string, EndpointState>();

  private byService = new Map<string, EndpointState[]>();

  private readonly peers: PeerLoads;

  constructor(peers: PeerLoads) {
    this.peers = peers;
  }

  /** What this instance has under way, at each endpoint that it uses. */
  *ownLoads(): Generator<EndpointLoad, void, void> {
    for (const { ownLoad } of this.states.values()) {
      if (ownLoad.running > 0) {
        yield ownLoad;
      }
    }
  }

  /** Replaces the list of endpoints. States of known incarnations are kept. */
  replace(records: readonly EndpointRecord[]): void {
    const states = new Map<string, EndpointState>();
    const byService = new Map<string, EndpointState[]>();
    for (const record of records) {
      const key = incarnationOf(record);
      const state = this.states.get(key) ?? new EndpointState(record, this.peers);
      state.record = record;
      states.set(key, state);
      byService.set(record.service, [...(byService.get(record.service) ?? []), state]);
    }
    this.states = states;
    this.byService = byService;
  }

  /**
   * Endpoints of a service that take new requests. Unconfirmed ones are among them only while they are
   * the most, since those that come back would be overloaded and the others have left.
   */
  readyOf(service: string): EndpointState[] {
    const states = this.byService.get(service) ?? [];
    const inPhase = (phase: EndpointPhase) => states.filter(({ record }) => record.phase === phase);
    const ready = inPhase(EndpointPhase.Ready);
    const unconfirmed = inPhase(EndpointPhase.Unconfirmed);
    return unconfirmed.length > ready.length ? [...ready, ...unconfirmed] : ready;
  }
}
