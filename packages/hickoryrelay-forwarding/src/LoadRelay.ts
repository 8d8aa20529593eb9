import { RateReportQueue } from 'hickoryrelay-workload/RateReportQueue';

import { PeerMessageKind } from './PeerMessage.js';

import type { EndpointLoad, LoadMessage, ReportedUse } from './PeerMessage.js';
import type { RateLimitReport } from 'hickoryrelay-endpoint/RateLimitStatement';
import type { AccountUseReport } from 'hickoryrelay-quota/AccountUse';
import type { RateReport } from 'hickoryrelay-workload/RateReport';

/** Time after which a report is discarded. Tolerates the loss of several messages. */
const REPORT_LIFETIME_MILLISECONDS = 1000;

/**
 * Limit on the uses queued for forwarding. Further ones are dropped, at the cost of prefilling
 * their segments again.
 */
const MAXIMUM_QUEUED_USES = 1000;

/**
 * Limits on the observed rates in a message, of about ten bytes each: 3.2 KB/s in digests, and as much
 * in the messages to each other zone.
 */
const DIGEST_RATES = 32;
const ZONE_RATES = 64;

interface ReceivedLoad {
  readonly loads: readonly EndpointLoad[];
  readonly atMilliseconds: number;
}

function hasLoad({ running, prefillTokens, latePrefillTokens }: EndpointLoad): boolean {
  return running > 0 || prefillTokens > 0 || latePrefillTokens > 0;
}

function sumLoads(reports: Iterable<ReceivedLoad>): Map<number, EndpointLoad> {
  const sums = new Map<number, EndpointLoad>();
  for (const { loads } of reports) {
    for (const load of loads) {
      const sum = sums.get(load.endpoint);
      sums.set(load.endpoint, {
        endpoint: load.endpoint,
        running: (sum?.running ?? 0) + load.running,
        prefillTokens: (sum?.prefillTokens ?? 0) + load.prefillTokens,
        latePrefillTokens: (sum?.latePrefillTokens ?? 0) + load.latePrefillTokens,
        occupiedTokens: (sum?.occupiedTokens ?? 0) + (load.occupiedTokens ?? 0),
      });
    }
  }
  return sums;
}

/**
 * Subtracts the loads of one instance from sums. The sums may include an earlier report of the
 * instance, so differences are at least zero.
 */
export function subtractLoads(
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
          prefillTokens: Math.max(0, sum.prefillTokens - load.prefillTokens),
          latePrefillTokens: Math.max(0, sum.latePrefillTokens - load.latePrefillTokens),
          occupiedTokens: Math.max(0, (sum.occupiedTokens ?? 0) - (load.occupiedTokens ?? 0)),
        };
  });
}

/**
 * Aggregates the load of the instances of one zone and of the other zones into a digest for the
 * instances of the zone. Every instance has one, which is active while it receives reports.
 */
export class LoadRelay {
  private readonly reports = new Map<string, ReceivedLoad>();

  private readonly zones = new Map<string, ReceivedLoad & { readonly relay: string }>();

  /** Uses to forward to the instances of the zone. */
  private memberUses: ReportedUse[] = [];

  /** Uses to forward to other zones. */
  private zoneUses: ReportedUse[] = [];

  /** Observed rates to forward to the instances of the zone. */
  private readonly memberRates = new RateReportQueue();

  /** Observed rates to forward to other zones. */
  private readonly zoneRates = new RateReportQueue();

  /** Adds the report of an instance of the zone, which may be this instance. */
  addReport({ sender, loads, uses, rates = [] }: LoadMessage, now: number): void {
    this.reports.set(sender, { loads, atMilliseconds: now });
    this.enqueue(this.memberUses, uses);
    this.enqueue(this.zoneUses, uses);
    rates.forEach((rate) => {
      this.memberRates.add(rate, now);
      this.zoneRates.add(rate, now);
    });
  }

  /** Adds the load of another zone, received from its relay. */
  addZoneLoad(zone: string, { sender, loads, uses, rates = [] }: LoadMessage, now: number): void {
    this.zones.set(zone, { loads, atMilliseconds: now, relay: sender });
    this.enqueue(this.memberUses, uses);
    rates.forEach((rate) => this.memberRates.add(rate, now));
  }

  /** The instance that recently sent the load of a zone. Undefined if none did. */
  lastRelayOf(zone: string): string | undefined {
    return this.zones.get(zone)?.relay;
  }

  /** Discards expired reports. */
  expire(now: number): void {
    for (const received of [this.reports, this.zones]) {
      for (const [sender, { atMilliseconds }] of received) {
        if (now - atMilliseconds > REPORT_LIFETIME_MILLISECONDS) {
          received.delete(sender);
        }
      }
    }
  }

  /** Takes the observed rates for the next digest. */
  takeMemberRates(now: number): RateReport[] {
    return this.memberRates.take(DIGEST_RATES, now);
  }

  /** Takes the observed rates for the next message to other zones. */
  takeZoneRates(now: number): RateReport[] {
    return this.zoneRates.take(ZONE_RATES, now);
  }

  /** Instances with a report that has not expired. */
  get members(): readonly string[] {
    return [...this.reports.keys()];
  }

  /** Takes the message for the members: the load of all instances, and the queued uses. */
  digest(
    sender: string,
    rateLimits: readonly RateLimitReport[] = [],
    accountUse?: AccountUseReport,
  ): LoadMessage {
    const uses = this.memberUses;
    this.memberUses = [];
    const sums = sumLoads([...this.reports.values(), ...this.zones.values()]);
    const loads = [...sums.values()].filter(hasLoad);
    return {
      kind: PeerMessageKind.LoadDigest,
      sender,
      loads,
      uses,
      rateLimits,
      ...(accountUse === undefined ? {} : { accountUse }),
    };
  }

  /** Takes the message for other zones: the load of this zone, and the queued uses. */
  zoneLoad(
    sender: string,
    rateLimits: readonly RateLimitReport[] = [],
    accountUse?: AccountUseReport,
  ): LoadMessage {
    const uses = this.zoneUses;
    this.zoneUses = [];
    const loads = [...sumLoads(this.reports.values()).values()].filter(hasLoad);
    return {
      kind: PeerMessageKind.ZoneLoad,
      sender,
      loads,
      uses,
      rateLimits,
      ...(accountUse === undefined ? {} : { accountUse }),
    };
  }

  private enqueue(queue: ReportedUse[], uses: readonly ReportedUse[]): void {
    queue.push(...uses.slice(0, MAXIMUM_QUEUED_USES - queue.length));
  }
}
