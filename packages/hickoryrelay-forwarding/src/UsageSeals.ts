import { USAGE_SEAL_KIND, fitsUsageSealMessage } from './UsageSealMessage.js';

import type { ConfirmedView } from './ConfirmedView.js';
import type { PeerChannel } from './PeerChannel.js';
import type { PeerAddress, PeerRecord } from './PeerRecord.js';
import type { UsageSealMessage } from './UsageSealMessage.js';
import type { AccountCounts } from './UsageTally.js';
import type { Clock } from 'hickoryrelay/Clock';
import type { ComponentLogger } from 'hickoryrelay/Logger';
import type { RandomSource } from 'hickoryrelay/RandomSource';

/** The wall clocks of two instances may differ by 5 s, and each may jump by as much. */
const RETENTION_MARGIN_MILLISECONDS = 10_000;

/**
 * Number of instances that receive each seal. With 1,100 client accounts, a seal of 12 KB in each
 * window of 5 s costs the holder 7 KB per second, of 9 KB that an instance may spend on control.
 */
const RECIPIENTS = 3;

/** Collaborators and settings of the seals. */
export interface UsageSealsParts {
  readonly self: PeerRecord;
  readonly channel: PeerChannel;
  readonly view: ConfirmedView;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly windowMilliseconds: number;
  /** Time after the end of a window at which its usage report is due. */
  readonly dueMilliseconds: number;
  readonly log: ComponentLogger;
}

/** A text that is the same for equal counts. */
function canonicalText(counts: AccountCounts): string {
  return JSON.stringify(
    Object.entries(counts).toSorted(([left], [right]) => (left < right ? -1 : 1)),
  );
}

/**
 * The sealed counts that this process knows of windows that are not overdue: those that it has sealed
 * or read, in any of its terms, and those that it has received. A store that is restored from an
 * older copy loses seals whose windows may have been reported; they are then taken from here.
 */
export class UsageSeals {
  private readonly parts: UsageSealsParts;

  private readonly seals = new Map<number, AccountCounts>();

  /** Windows for which different counts are known. They are not reported any more. */
  private readonly conflictingWindows = new Set<number>();

  constructor(parts: UsageSealsParts) {
    this.parts = parts;
  }

  /** Starts receiving seals and requests. Returns the function that stops it. */
  listen(): () => void {
    return this.parts.channel.subscribe((message) => {
      if (message.kind === USAGE_SEAL_KIND) {
        this.receive(message);
      }
    });
  }

  get(window: number): AccountCounts | undefined {
    return this.seals.get(window);
  }

  /** The newest window whose seal is known; undefined if none is. */
  get newestWindow(): number | undefined {
    return this.seals.size === 0 ? undefined : Math.max(...this.seals.keys());
  }

  /** Records the seal of a window. Returns false if other counts of the window are known. */
  record(window: number, counts: AccountCounts): boolean {
    this.evictOverdue();
    const known = this.seals.get(window);
    if (known !== undefined && canonicalText(known) !== canonicalText(counts)) {
      this.conflictingWindows.add(window);
    }
    if (this.conflictingWindows.has(window)) {
      this.parts.log.warn('Two seals of a usage window have different counts.', { window });
      return false;
    }
    this.seals.set(window, counts);
    return true;
  }

  /** Sends the seal of a window to some instances. */
  publish(window: number): void {
    const remaining = this.peers;
    const recipients: PeerRecord[] = [];
    while (recipients.length < RECIPIENTS && remaining.length > 0) {
      recipients.push(...remaining.splice(this.parts.random.integerBelow(remaining.length), 1));
    }
    this.send(recipients, window);
  }

  /** Requests the seal of a window from all instances. Those that know it respond. */
  request(window: number): void {
    const { self, channel } = this.parts;
    channel.sendToAll(this.peers, {
      kind: USAGE_SEAL_KIND,
      replyTo: { host: self.host, port: self.port },
      window,
      counts: undefined,
    });
  }

  private get peers(): PeerRecord[] {
    const { view, self } = this.parts;
    return view.peers.filter(({ instance }) => instance !== self.instance);
  }

  private receive({ replyTo, window, counts }: UsageSealMessage): void {
    if (replyTo !== undefined) {
      this.send([replyTo], window);
    } else if (counts !== undefined && this.isRetained(window)) {
      this.record(window, counts);
    }
  }

  private send(recipients: readonly PeerAddress[], window: number): void {
    const counts = this.seals.get(window);
    const isUsable = counts !== undefined && !this.conflictingWindows.has(window);
    if (isUsable && fitsUsageSealMessage(counts)) {
      this.parts.channel.sendToAll(recipients, {
        kind: USAGE_SEAL_KIND,
        replyTo: undefined,
        window,
        counts,
      });
    }
  }

  /** True unless the window is overdue, or ends so late that no instance can have sealed it. */
  private isRetained(window: number): boolean {
    const { clock, windowMilliseconds, dueMilliseconds } = this.parts;
    const sinceEnd = clock.wallMilliseconds() - (window + 1) * windowMilliseconds;
    return (
      sinceEnd <= dueMilliseconds + RETENTION_MARGIN_MILLISECONDS &&
      sinceEnd >= -RETENTION_MARGIN_MILLISECONDS
    );
  }

  private evictOverdue(): void {
    for (const window of this.seals.keys()) {
      if (!this.isRetained(window)) {
        this.seals.delete(window);
        this.conflictingWindows.delete(window);
      }
    }
  }
}
