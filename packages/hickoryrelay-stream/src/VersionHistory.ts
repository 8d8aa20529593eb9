import { HISTORY_MILLISECONDS, ObservationPeriod } from './ObservationPeriod.js';

import type { SoftwareVersion } from './SoftwareVersion.js';

/** Absence after which a version counts as new. Other instances may be about to forget it. */
const MAXIMUM_ABSENCE_MILLISECONDS = HISTORY_MILLISECONDS / 2;

/** The only version of a service that an instance has seen. */
export interface SoleVersion {
  readonly version: SoftwareVersion;
  /** True if no stream of the last `HISTORY_MILLISECONDS` can have begun at another version. Every current view has it. */
  readonly isSettled: boolean;
}

interface SeenVersion {
  /** Since then every read has had the version, without a longer gap than the bound. */
  readonly presentSinceMilliseconds: number;
  readonly lastSeenMilliseconds: number;
  /** The latest read before which the version was present for the bound. */
  readonly establishedMilliseconds: number;
  /** True if other instances have agreed since then that the version is the only one. */
  readonly isAgreed: boolean;
}

/**
 * The software versions of each service that this instance has seen in its view. The history ends
 * with the last observation, so it does not shrink while the store is out.
 *
 * An instance serves a new version only once the version is established, that is, present in all
 * reads of the observation bound. Any other instance whose view is no older than the bound has then seen it too.
 * All times are in milliseconds on one clock that keeps running while the process is suspended.
 */
export class VersionHistory {
  private readonly period: ObservationPeriod;

  private readonly services = new Map<string, Map<SoftwareVersion, SeenVersion>>();

  /**
   * @param boundMilliseconds Longest time between two reads of an instance whose view is current,
   *   including the time a read takes.
   */
  constructor(boundMilliseconds: number) {
    this.period = new ObservationPeriod(boundMilliseconds);
  }

  /** Longest time between two reads of an instance whose view is current. */
  get boundMilliseconds(): number {
    return this.period.boundMilliseconds;
  }

  private get observedMilliseconds(): number {
    return this.period.latestMilliseconds;
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
    const previousMilliseconds = this.observedMilliseconds;
    const isContinuous = this.period.recordRead(requestedMilliseconds);
    for (const [service, present] of versions) {
      const seen = this.services.get(service) ?? new Map<SoftwareVersion, SeenVersion>();
      this.services.set(service, seen);
      present.forEach((version) => {
        const known = seen.get(version);
        const wasPresent = isContinuous && known?.lastSeenMilliseconds === previousMilliseconds;
        seen.set(version, this.sighting(known, wasPresent, nowMilliseconds));
      });
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
    const seen = this.services.get(service)?.get(version);
    const isSettled = this.period.coversHistory(nowMilliseconds) && this.wasPresentForBound(seen);
    return { version, isSettled };
  }

  /**
   * True if streams may begin at the version: every instance whose view is current has seen it. A
   * version that was absent for long has to be established again.
   */
  isEstablished(service: string, version: SoftwareVersion): boolean {
    const seen = this.services.get(service)?.get(version);
    return this.wasPresentForBound(seen) || (this.isPresent(seen) && seen.isAgreed);
  }

  /** Establishes a version while it is present, since other instances have seen no other version. */
  establish(service: string, version: SoftwareVersion): void {
    const seen = this.services.get(service)?.get(version);
    if (this.isPresent(seen)) {
      this.services.get(service)?.set(version, { ...seen, isAgreed: true });
    }
  }

  private isPresent(seen: SeenVersion | undefined): seen is SeenVersion {
    return seen?.lastSeenMilliseconds === this.observedMilliseconds;
  }

  private wasPresentForBound(seen: SeenVersion | undefined): boolean {
    return (
      seen !== undefined &&
      this.observedMilliseconds - seen.establishedMilliseconds <= MAXIMUM_ABSENCE_MILLISECONDS
    );
  }

  /** A version that is in the latest read. Its presence starts anew unless it was in the one before. */
  private sighting(
    known: SeenVersion | undefined,
    wasPresent: boolean,
    nowMilliseconds: number,
  ): SeenVersion {
    const now = this.observedMilliseconds;
    const presentSinceMilliseconds =
      known !== undefined && wasPresent ? known.presentSinceMilliseconds : nowMilliseconds;
    const isEstablished = now - presentSinceMilliseconds > this.boundMilliseconds;
    return {
      presentSinceMilliseconds,
      lastSeenMilliseconds: now,
      establishedMilliseconds: isEstablished
        ? now
        : (known?.establishedMilliseconds ?? Number.NEGATIVE_INFINITY),
      isAgreed: wasPresent && known?.isAgreed === true,
    };
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
