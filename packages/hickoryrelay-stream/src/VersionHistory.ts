import type { SoftwareVersion } from './SoftwareVersion.js';

/** Longest time for which a client may come back, and a leaving engine may still serve. */
export const HISTORY_MILLISECONDS = 20_000;

/** Absence after which a version counts as new. Other instances may be about to forget it. */
const MAXIMUM_ABSENCE_MILLISECONDS = HISTORY_MILLISECONDS / 2;

/** The only version of a service that an instance has seen. */
export interface SoleVersion {
  readonly version: SoftwareVersion;
  /** True if no stream of the last `HISTORY_MILLISECONDS` can have begun at another version. */
  readonly isSettled: boolean;
}

interface SeenVersion {
  /** Negative infinity if the version is known to be established. */
  firstSeenMilliseconds: number;
  lastSeenMilliseconds: number;
}

/**
 * The software versions of each service that this instance has seen in its view. The history ends
 * with the last observation, so it does not shrink while the store is out.
 *
 * An instance serves a new version only once the version is established, that is, seen for the
 * observation bound. Any other instance whose view is no older than the bound has then seen it too.
 * All times are in milliseconds on one clock that keeps running while the process is suspended.
 */
export class VersionHistory {
  private readonly boundMilliseconds: number;

  private readonly services = new Map<string, Map<SoftwareVersion, SeenVersion>>();

  private observedMilliseconds = Number.NEGATIVE_INFINITY;

  /** Start of the time without a longer gap between observations than the bound. */
  private continuousSinceMilliseconds = Number.NEGATIVE_INFINITY;

  /**
   * @param boundMilliseconds Longest time between two reads of an instance whose view is current,
   *   including the time a read takes.
   */
  constructor(boundMilliseconds: number) {
    this.boundMilliseconds = boundMilliseconds;
  }

  /** Services of which versions are kept. */
  get serviceNames(): Iterable<string> {
    return this.services.keys();
  }

  /**
   * Records the versions of the engines in the view, by service. Ignored if a later read has been
   * observed.
   *
   * @param ageMilliseconds Time since the read of the view was requested.
   */
  observe(
    versions: ReadonlyMap<string, ReadonlySet<SoftwareVersion>>,
    nowMilliseconds: number,
    ageMilliseconds = 0,
  ): void {
    const requestedMilliseconds = nowMilliseconds - ageMilliseconds;
    if (requestedMilliseconds < this.observedMilliseconds) {
      return;
    }
    if (requestedMilliseconds - this.observedMilliseconds > this.boundMilliseconds) {
      this.continuousSinceMilliseconds = requestedMilliseconds;
    }
    this.observedMilliseconds = requestedMilliseconds;
    for (const [service, present] of versions) {
      present.forEach((version) => this.recordVersion(service, version, nowMilliseconds));
    }
    this.expire();
  }

  /** The versions of a service seen within the history. */
  versionsOf(service: string): readonly SoftwareVersion[] {
    const oldestMilliseconds = this.observedMilliseconds - HISTORY_MILLISECONDS;
    return [...(this.services.get(service) ?? [])]
      .filter(([, { lastSeenMilliseconds }]) => lastSeenMilliseconds >= oldestMilliseconds)
      .map(([version]) => version);
  }

  /** Returns undefined if none or several versions have been seen within the history. */
  soleVersion(service: string, nowMilliseconds: number): SoleVersion | undefined {
    const versions = this.versionsOf(service);
    if (versions.length !== 1) {
      return undefined;
    }
    const [version] = versions;
    const isCurrent = nowMilliseconds - this.observedMilliseconds <= this.boundMilliseconds;
    const isLongEnough = nowMilliseconds - this.continuousSinceMilliseconds >= HISTORY_MILLISECONDS;
    return { version, isSettled: isCurrent && isLongEnough };
  }

  /**
   * True if streams may begin at the version: every instance whose view is current has seen it. A
   * version that was absent for long has to be established again.
   */
  isEstablished(service: string, version: SoftwareVersion, nowMilliseconds: number): boolean {
    const seen = this.services.get(service)?.get(version);
    return (
      seen !== undefined && nowMilliseconds - seen.firstSeenMilliseconds > this.boundMilliseconds
    );
  }

  /** Marks a version as established, since other instances have seen no other version. */
  establish(service: string, version: SoftwareVersion): void {
    const seen = this.services.get(service)?.get(version);
    if (seen !== undefined) {
      seen.firstSeenMilliseconds = Number.NEGATIVE_INFINITY;
    }
  }

  private recordVersion(service: string, version: SoftwareVersion, nowMilliseconds: number): void {
    const seen = this.services.get(service) ?? new Map<SoftwareVersion, SeenVersion>();
    this.services.set(service, seen);
    const known = seen.get(version);
    const now = this.observedMilliseconds;
    const isNew =
      known === undefined || now - known.lastSeenMilliseconds > MAXIMUM_ABSENCE_MILLISECONDS;
    seen.set(version, {
      firstSeenMilliseconds: isNew ? nowMilliseconds : known.firstSeenMilliseconds,
      lastSeenMilliseconds: now,
    });
  }

  /** Keeps versions for the bound longer than they count, since other instances may still count them. */
  private expire(): void {
    const oldestMilliseconds =
      this.observedMilliseconds - HISTORY_MILLISECONDS - this.boundMilliseconds;
    for (const [service, seen] of this.services) {
      for (const [version, { lastSeenMilliseconds }] of seen) {
        if (lastSeenMilliseconds < oldestMilliseconds) {
          seen.delete(version);
        }
      }
      if (seen.size === 0) {
        this.services.delete(service);
      }
    }
  }
}
