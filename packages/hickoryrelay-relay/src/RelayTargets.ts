import { RelayTarget } from './RelayTarget.js';

import type { RelayReceiver } from './RelayLink.js';
import type { Clock } from 'hickoryrelay/Clock';
import type { RandomSource } from 'hickoryrelay/RandomSource';

/** Instances that are asked to serve one request, at most. */
export const MAXIMUM_CANDIDATES = 3;

const NO_ZONES: ReadonlySet<string> = new Set();

/** Collaborators of the targets. */
export interface RelayTargetsParts {
  readonly self: { readonly instance: string; readonly zone: string };
  readonly clock: Clock;
  readonly random: RandomSource;
}

/** The other instances, and which of them may be asked to serve a request. */
export class RelayTargets {
  private readonly parts: RelayTargetsParts;

  /** By instance. Those that are not registered are kept while they have open hops or recent failures. */
  private readonly targets = new Map<string, RelayTarget>();

  constructor(parts: RelayTargetsParts) {
    this.parts = parts;
  }

  /** Replaces the list of instances. This instance is left out. */
  setReceivers(receivers: readonly RelayReceiver[]): void {
    for (const target of this.targets.values()) {
      target.isListed = false;
    }
    for (const receiver of receivers) {
      if (receiver.instance !== this.parts.self.instance) {
        const target = this.targetOf(receiver);
        target.receiver = receiver;
        target.isListed = true;
      }
    }
    for (const [instance, target] of this.targets) {
      if (!target.isListed && !target.mustBeKept(this.now)) {
        this.targets.delete(instance);
      }
    }
  }

  /**
   * The instances to ask for one request, in order. Each is selected when it is needed, from what is
   * known by then. The last one is of a zone that has not been asked, if there is one, since all instances of a zone
   * may have lost the same way.
   */
  *candidates(service: string): Generator<RelayReceiver, void, void> {
    const asked = new Set<string>();
    const askedZones = new Set<string>();
    while (asked.size < MAXIMUM_CANDIDATES) {
      const isLast = asked.size === MAXIMUM_CANDIDATES - 1;
      const target = this.select(service, asked, isLast ? askedZones : NO_ZONES);
      if (target === undefined) {
        return;
      }
      asked.add(target.receiver.instance);
      askedZones.add(target.receiver.zone);
      yield target.receiver;
    }
  }

  /** True if some instance may be asked to serve a request for the service. */
  hasCandidate(service: string): boolean {
    return this.candidates(service).next().done !== true;
  }

  /** Counts an open hop. Returns the function that ends it, whose further calls have no effect. */
  begin(receiver: RelayReceiver): () => void {
    return this.targetOf(receiver).begin();
  }

  /** Records that the instance cannot reach the endpoints of the service either. */
  recordUnable(receiver: RelayReceiver, service: string): void {
    this.targets.get(receiver.instance)?.recordUnable(service, this.now);
  }

  /** Records that the connection to the instance failed. */
  recordUnreached(receiver: RelayReceiver): void {
    this.targets.get(receiver.instance)?.recordUnreached(this.now);
  }

  /** Records that the instance has responded. */
  recordReached(receiver: RelayReceiver): void {
    this.targets.get(receiver.instance)?.recordReached();
  }

  private get now(): number {
    return this.parts.clock.monotonicMilliseconds();
  }

  private targetOf(receiver: RelayReceiver): RelayTarget {
    let target = this.targets.get(receiver.instance);
    if (target === undefined) {
      target = new RelayTarget(receiver);
      this.targets.set(receiver.instance, target);
    }
    return target;
  }

  /** Draws one of the preferred instances that have not been asked yet. */
  private select(
    service: string,
    asked: ReadonlySet<string>,
    avoidedZones: ReadonlySet<string>,
  ): RelayTarget | undefined {
    const { now } = this;
    let selected: RelayTarget | undefined;
    let equals = 0;
    for (const [instance, target] of this.targets) {
      if (!asked.has(instance) && target.mayBeAsked(service, now)) {
        const order = selected === undefined ? -1 : this.compare(target, selected, avoidedZones);
        if (order < 0) {
          selected = target;
          equals = 1;
        } else if (order === 0) {
          equals += 1;
          selected = this.parts.random.integerBelow(equals) === 0 ? target : selected;
        }
      }
    }
    return selected;
  }

  /** Negative if the left one is preferred: by zone, the own one first, then by the fewest open hops. */
  private compare(
    left: RelayTarget,
    right: RelayTarget,
    avoidedZones: ReadonlySet<string>,
  ): number {
    const { zone } = this.parts.self;
    return (
      Number(avoidedZones.has(left.receiver.zone)) -
        Number(avoidedZones.has(right.receiver.zone)) ||
      Number(right.receiver.zone === zone) - Number(left.receiver.zone === zone) ||
      left.openHops - right.openHops
    );
  }
}
