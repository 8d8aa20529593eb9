import type { SoftwareVersion } from './SoftwareVersion.js';

/** Time for which the record of an ended stream, or of another instance's, is kept. */
export const RECORD_LIFETIME_MILLISECONDS = 120_000;

export const MAXIMUM_RECORDS = 65_536;

/** The version at which the stream of an attempt has begun. */
export interface OriginRecord {
  readonly key: number;
  readonly version: SoftwareVersion;
  /** True if streams of several versions have begun under the key; `version` is one of them. */
  readonly isConflicting: boolean;
}

/** The record of a stream that this instance has begun. */
export interface OwnRecord extends OriginRecord {
  readonly service: string;
  /** True if other instances can tell from their histories at which service the stream has begun. */
  readonly hasSoleService: boolean;
  /** Number of streams under the key that have not ended. */
  readonly openStreams: number;
  /** Undefined while a stream is open. */
  readonly endedMilliseconds: number | undefined;
}

interface ReceivedRecord extends OriginRecord {
  readonly receivedMilliseconds: number;
}

function isConflict(version: SoftwareVersion, others: readonly (OriginRecord | undefined)[]) {
  return others.some(
    (other) => other !== undefined && (other.isConflicting || other.version !== version),
  );
}

/** Drops entries from the oldest on while they satisfy the condition. */
function dropOldest<Entry>(
  entries: Map<number, Entry>,
  shouldDrop: (entry: Entry) => boolean,
): void {
  for (const [key, entry] of entries) {
    if (!shouldDrop(entry)) {
      return;
    }
    entries.delete(key);
  }
}

/** The records of streams that an instance keeps, bounded in number and time. */
export class OriginLedger {
  private readonly open = new Map<number, OwnRecord>();

  /** Own records of ended streams, the oldest first. */
  private readonly ended = new Map<number, OwnRecord>();

  /** Records of other instances, the oldest first. */
  private readonly received = new Map<number, ReceivedRecord>();

  get size(): number {
    return this.open.size + this.ended.size + this.received.size;
  }

  find(key: number, nowMilliseconds: number): OriginRecord | undefined {
    this.expire(nowMilliseconds);
    const own = this.findOwn(key);
    const received = this.received.get(key);
    return own === undefined || received === undefined
      ? (own ?? received)
      : { ...own, isConflicting: isConflict(own.version, [own, received]) };
  }

  /** Records that a stream has begun at this instance. */
  begin(
    key: number,
    service: string,
    version: SoftwareVersion,
    hasSoleService: boolean,
  ): OwnRecord {
    const known = this.findOwn(key);
    const record = {
      key,
      service,
      version,
      hasSoleService: hasSoleService && known?.hasSoleService !== false,
      isConflicting: isConflict(version, [known, this.received.get(key)]),
      openStreams: (known?.openStreams ?? 0) + 1,
      endedMilliseconds: undefined,
    };
    this.ended.delete(key);
    this.open.set(key, record);
    this.drop();
    return record;
  }

  /** Records that a stream begun at this instance has ended. */
  end(key: number, nowMilliseconds: number): void {
    const record = this.open.get(key);
    if (record === undefined) {
      return;
    }
    const openStreams = record.openStreams - 1;
    if (openStreams > 0) {
      this.open.set(key, { ...record, openStreams });
    } else {
      this.open.delete(key);
      this.ended.set(key, { ...record, openStreams, endedMilliseconds: nowMilliseconds });
    }
  }

  /** Records that streams of the same paths may have begun at other services. */
  recordRouteChange(): void {
    this.open.forEach((record, key) => this.open.set(key, { ...record, hasSoleService: false }));
  }

  /** Takes over the record of another instance. */
  receive({ key, version, isConflicting }: OriginRecord, nowMilliseconds: number): void {
    const known = this.received.get(key);
    this.received.delete(key);
    this.received.set(key, {
      key,
      version,
      isConflicting: isConflicting || isConflict(version, [known]),
      receivedMilliseconds: nowMilliseconds,
    });
    this.expire(nowMilliseconds);
    this.drop();
  }

  /** Own records of streams that have ended since the given time, and then of those that are open. */
  *ownRecordsSince(milliseconds: number): Generator<OwnRecord, void, void> {
    for (const record of this.ended.values()) {
      if ((record.endedMilliseconds ?? milliseconds) >= milliseconds) {
        yield record;
      }
    }
    yield* this.open.values();
  }

  private findOwn(key: number): OwnRecord | undefined {
    return this.open.get(key) ?? this.ended.get(key);
  }

  private expire(nowMilliseconds: number): void {
    const oldest = nowMilliseconds - RECORD_LIFETIME_MILLISECONDS;
    dropOldest(this.ended, ({ endedMilliseconds = oldest }) => endedMilliseconds < oldest);
    dropOldest(this.received, ({ receivedMilliseconds }) => receivedMilliseconds < oldest);
  }

  private drop(): void {
    const isFull = () => this.size > MAXIMUM_RECORDS;
    dropOldest(this.received, isFull);
    dropOldest(this.ended, isFull);
    dropOldest(this.open, isFull);
  }
}
