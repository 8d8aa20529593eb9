import { hashString, mixHashes } from 'hickoryrelay/RendezvousUtils';
import { RateLimitShares } from 'hickoryrelay-endpoint/RateLimitShares';

import { PEER_LEASE_MILLISECONDS } from './PeerRecord.js';

import type { Clock } from 'hickoryrelay/Clock';

/**
 * Time for which an instance still counts that is missing from the list. It may only be cut off from
 * the store, and takes half its share itself once its view is as old as a lease.
 */
const RETENTION_MILLISECONDS = 3 * PEER_LEASE_MILLISECONDS;

/** Time after its start in which other instances may not know an instance yet. */
const SETTLING_MILLISECONDS = 3000;

/** Fraction of its share that an instance takes while it may not know all others. */
const OLD_VIEW_FRACTION = 0.5;

/** With fewer requests per second a limit is used by one instance only. */
const MINIMUM_DIVIDED_REQUESTS_PER_SECOND = 1;

/**
 * Instances that use a limit beside one for each request per second. Each may send a request in a
 * burst, so with more of them the burst is too large; with fewer, one that is counted twice weighs
 * too much.
 */
const ADDITIONAL_USERS = 2;

/** An instance that may use rate limits. */
interface Member {
  readonly hash: number;
  /** Monotonic time since which the instance is missing from the list; undefined if it is listed. */
  missingSinceMilliseconds: number | undefined;
}

/**
 * Divides a rate limit equally among few instances, which rendezvous hashing selects from the list of
 * all. Every instance computes the same selection without a message, so that the sum holds although
 * messages are lost. What one of them leaves is not used by others, which could not know of it in time.
 */
export class InstanceRateLimitShares extends RateLimitShares {
  private readonly self: string;

  private readonly clock: Clock;

  private readonly members = new Map<string, Member>();

  /** Number of instances with a higher weight than this one, by endpoint. */
  private readonly ranks = new Map<number, number>();

  private startedMilliseconds: number | undefined;

  /** Time as of which the list of instances was confirmed. */
  private confirmedMilliseconds = Number.NEGATIVE_INFINITY;

  constructor(self: string, clock: Clock) {
    super();
    this.self = self;
    this.clock = clock;
    this.members.set(self, { hash: hashString(self), missingSinceMilliseconds: undefined });
  }

  /** Replaces the list of registered instances, which the store confirmed some time ago. */
  setInstances(instances: readonly string[], ageMilliseconds: number): void {
    const now = this.clock.monotonicMilliseconds();
    this.startedMilliseconds ??= now;
    this.confirmedMilliseconds = now - ageMilliseconds;
    const listed = new Set(instances).add(this.self);
    for (const instance of listed) {
      this.addMember(instance, undefined);
    }
    for (const [instance, member] of this.members) {
      if (!listed.has(instance)) {
        member.missingSinceMilliseconds ??= now;
        if (now - member.missingSinceMilliseconds > RETENTION_MILLISECONDS) {
          this.members.delete(instance);
          this.ranks.clear();
        }
      }
    }
  }

  /** Records that an instance runs, whether or not it is listed. */
  recordMessage(instance: string): void {
    const member = this.members.get(instance);
    if (member === undefined || member.missingSinceMilliseconds !== undefined) {
      this.addMember(instance, this.clock.monotonicMilliseconds());
    }
  }

  override rateOf(endpoint: number, requestsPerSecond: number, now: number): number {
    const users = this.countUsers(requestsPerSecond);
    const { startedMilliseconds = now } = this;
    const isSettling = now - startedMilliseconds < SETTLING_MILLISECONDS && this.members.size > 1;
    if (isSettling || this.rankFor(endpoint) >= users) {
      return 0;
    }
    const isOld = now - this.confirmedMilliseconds > PEER_LEASE_MILLISECONDS;
    return (requestsPerSecond / users) * (isOld ? OLD_VIEW_FRACTION : 1);
  }

  private countUsers(requestsPerSecond: number): number {
    return requestsPerSecond < MINIMUM_DIVIDED_REQUESTS_PER_SECOND
      ? 1
      : Math.min(this.members.size, Math.floor(requestsPerSecond) + ADDITIONAL_USERS);
  }

  private addMember(instance: string, missingSinceMilliseconds: number | undefined): void {
    const known = this.members.get(instance);
    if (known === undefined) {
      this.members.set(instance, { hash: hashString(instance), missingSinceMilliseconds });
      this.ranks.clear();
    } else {
      known.missingSinceMilliseconds = missingSinceMilliseconds;
    }
  }

  private rankFor(endpoint: number): number {
    const known = this.ranks.get(endpoint);
    if (known !== undefined) {
      return known;
    }
    const ownWeight = mixHashes(endpoint, hashString(this.self));
    let rank = 0;
    for (const [instance, { hash }] of this.members) {
      const weight = mixHashes(endpoint, hash);
      if (weight > ownWeight || (weight === ownWeight && instance < this.self)) {
        rank += 1;
      }
    }
    this.ranks.set(endpoint, rank);
    return rank;
  }
}
