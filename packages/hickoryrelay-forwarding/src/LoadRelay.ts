import { PeerMessageKind } from './PeerMessage.js';

import type { PartUse } from './PartDirectory.js';
import type { EndpointLoad, LoadMessage } from './PeerMessage.js';

/** A report says nothing any more after this time; several messages are lost by then. */
const REPORT_LIFE_MILLISECONDS = 1000;

/** Uses that wait to be passed on; more are dropped, and the parts are read again. */
const MOST_WAITING_USES = 1000;

interface Report {
  readonly loads: readonly EndpointLoad[];
  readonly atMilliseconds: number;
}

function isNotEmpty({ running, readingTokens, lateTokens }: EndpointLoad): boolean {
  return running > 0 || readingTokens > 0 || lateTokens > 0;
}

/** Adds up loads, by endpoint. */
function sumOf(reports: Iterable<Report>): Map<number, EndpointLoad> {
  const sums = new Map<number, EndpointLoad>();
  for (const { loads } of reports) {
    for (const load of loads) {
      const known = sums.get(load.endpoint);
      sums.set(load.endpoint, {
        endpoint: load.endpoint,
        running: (known?.running ?? 0) + load.running,
        readingTokens: (known?.readingTokens ?? 0) + load.readingTokens,
        lateTokens: (known?.lateTokens ?? 0) + load.lateTokens,
      });
    }
  }
  return sums;
}

/** The sums without the loads of one instance. */
function without(
  sums: ReadonlyMap<number, EndpointLoad>,
  loads: readonly EndpointLoad[],
): EndpointLoad[] {
  const rest = new Map(sums);
  for (const load of loads) {
    const sum = sums.get(load.endpoint);
    if (sum !== undefined) {
      rest.set(load.endpoint, {
        endpoint: load.endpoint,
        running: sum.running - load.running,
        readingTokens: sum.readingTokens - load.readingTokens,
        lateTokens: sum.lateTokens - load.lateTokens,
      });
    }
  }
  return [...rest.values()].filter(isNotEmpty);
}

/**
 * Gathers the load of the instances of one zone and of the other zones, and says to each instance
 * what all others have under way. Every instance has one; it is in use where others send to it.
 */
export class LoadRelay {
  private readonly reports = new Map<string, Report>();

  private readonly zones = new Map<string, Report & { readonly relay: string }>();

  /** Uses that instances of the zone have yet to hear, with the instance that told of them. */
  private usesForMembers: { readonly origin: string; readonly use: PartUse }[] = [];

  /** Uses that other zones have yet to hear. */
  private usesForZones: PartUse[] = [];

  /** Takes the report of an instance of the zone, the own instance included. */
  collect({ sender, loads, uses }: LoadMessage, now: number): void {
    this.reports.set(sender, { loads, atMilliseconds: now });
    this.keepForMembers(sender, uses);
    this.usesForZones.push(...uses.slice(0, MOST_WAITING_USES - this.usesForZones.length));
  }

  /** Takes the load of another zone from the instance that relays it. */
  collectZone(zone: string, { sender, loads, uses }: LoadMessage, now: number): void {
    this.zones.set(zone, { loads, atMilliseconds: now, relay: sender });
    this.keepForMembers(sender, uses);
  }

  /** The instance that told the load of a zone lately. Undefined if none did. */
  relayHeardFrom(zone: string): string | undefined {
    return this.zones.get(zone)?.relay;
  }

  /** Drops what is too old. */
  expire(now: number): void {
    for (const known of [this.reports, this.zones]) {
      for (const [sender, { atMilliseconds }] of known) {
        if (now - atMilliseconds > REPORT_LIFE_MILLISECONDS) {
          known.delete(sender);
        }
      }
    }
  }

  /** Instances whose reports are recent. */
  get members(): readonly string[] {
    return [...this.reports.keys()];
  }

  /** What each member is told. Uses are told once. */
  *digests(sender: string): Generator<[member: string, digest: LoadMessage], void, void> {
    const waiting = this.usesForMembers;
    this.usesForMembers = [];
    const sums = sumOf([...this.reports.values(), ...this.zones.values()]);
    for (const [member, { loads }] of this.reports) {
      const others = without(sums, loads);
      const uses = waiting.flatMap(({ origin, use }) => (origin === member ? [] : [use]));
      yield [member, { kind: PeerMessageKind.LoadDigest, sender, loads: others, uses }];
    }
  }

  /** What other zones are told of this one. Uses are told once. */
  zoneLoad(sender: string): LoadMessage {
    const uses = this.usesForZones;
    this.usesForZones = [];
    const loads = [...sumOf(this.reports.values()).values()].filter(isNotEmpty);
    return { kind: PeerMessageKind.ZoneLoad, sender, loads, uses };
  }

  private keepForMembers(origin: string, uses: readonly PartUse[]): void {
    const kept = uses.slice(0, MOST_WAITING_USES - this.usesForMembers.length);
    this.usesForMembers.push(...kept.map((use) => ({ origin, use })));
  }
}
