import { PeerMessageKind } from './PeerMessage.js';

import type { EndpointLoad, LoadMessage, ToldUse } from './PeerMessage.js';

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

/** Sums without the loads of one instance, which it may have reported a little differently. */
export function withoutLoads(
  sums: readonly EndpointLoad[],
  loads: readonly EndpointLoad[],
): EndpointLoad[] {
  const own = new Map(loads.map((load) => [load.endpoint, load]));
  return sums.map((sum) => {
    const load = own.get(sum.endpoint);
    return load === undefined
      ? sum
      : {
          endpoint: sum.endpoint,
          running: Math.max(0, sum.running - load.running),
          readingTokens: Math.max(0, sum.readingTokens - load.readingTokens),
          lateTokens: Math.max(0, sum.lateTokens - load.lateTokens),
        };
  });
}

/**
 * Gathers the load of the instances of one zone and of the other zones, and says to the instances of
 * the zone what all have under way. Every instance has one; it is in use where others send to it.
 */
export class LoadRelay {
  private readonly reports = new Map<string, Report>();

  private readonly zones = new Map<string, Report & { readonly relay: string }>();

  /** Uses that instances of the zone have yet to hear. */
  private usesForMembers: ToldUse[] = [];

  /** Uses that other zones have yet to hear. */
  private usesForZones: ToldUse[] = [];

  /** Takes the report of an instance of the zone, the own instance included. */
  collect({ sender, loads, uses }: LoadMessage, now: number): void {
    this.reports.set(sender, { loads, atMilliseconds: now });
    this.keep(this.usesForMembers, uses);
    this.keep(this.usesForZones, uses);
  }

  /** Takes the load of another zone from the instance that relays it. */
  collectZone(zone: string, { sender, loads, uses }: LoadMessage, now: number): void {
    this.zones.set(zone, { loads, atMilliseconds: now, relay: sender });
    this.keep(this.usesForMembers, uses);
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

  /** What the members are told: the load of all instances, theirs included. Uses are told once. */
  digest(sender: string): LoadMessage {
    const uses = this.usesForMembers;
    this.usesForMembers = [];
    const sums = sumOf([...this.reports.values(), ...this.zones.values()]);
    const loads = [...sums.values()].filter(isNotEmpty);
    return { kind: PeerMessageKind.LoadDigest, sender, loads, uses };
  }

  /** What other zones are told of this one. Uses are told once. */
  zoneLoad(sender: string): LoadMessage {
    const uses = this.usesForZones;
    this.usesForZones = [];
    const loads = [...sumOf(this.reports.values()).values()].filter(isNotEmpty);
    return { kind: PeerMessageKind.ZoneLoad, sender, loads, uses };
  }

  private keep(waiting: ToldUse[], uses: readonly ToldUse[]): void {
    waiting.push(...uses.slice(0, MOST_WAITING_USES - waiting.length));
  }
}
