import { SHORT_RESPONSE_BYTES } from './ResponseLimits.js';

import type { ResponseMemory } from './ResponseMemory.js';

/** Where the bytes of a response are held. */
export const ResponsePart = {
  /** Received and not processed: in the socket, the client library, or a chunk that is being processed. */
  Received: 'received',
  /** Processed and kept: an event that is not complete, or the beginning of a buffered body. */
  Retained: 'retained',
} as const;

export type ResponsePart = (typeof ResponsePart)[keyof typeof ResponsePart];

/** What the response to one attempt holds. */
export class ResponseAccount {
  private readonly memory: ResponseMemory;

  private readonly bytes: Record<ResponsePart, number> = {
    [ResponsePart.Received]: 0,
    [ResponsePart.Retained]: 0,
  };

  private isOpen = true;

  private progressedAt: number;

  private isDelivering = false;

  private isWaiting = false;

  private isShort = true;

  /** True while the response counts among those that arrive. */
  private isArriving = false;

  /** Group of the request; undefined if it does not count. */
  private readonly group: string | undefined;

  constructor(memory: ResponseMemory, now: number, group?: string) {
    this.memory = memory;
    this.progressedAt = now;
    this.group = group;
  }

  get heldBytes(): number {
    return this.bytes[ResponsePart.Received] + this.bytes[ResponsePart.Retained];
  }

  get retainedBytes(): number {
    return this.bytes[ResponsePart.Retained];
  }

  /** When an event was last completed or a part delivered to the caller, or the request was sent. */
  get progressMilliseconds(): number {
    return this.progressedAt;
  }

  /** True while a part is being processed, which may wait for the caller to read. */
  get isInDelivery(): boolean {
    return this.isDelivering;
  }

  setInDelivery(isInDelivery: boolean): void {
    this.isDelivering = isInDelivery;
    this.countArriving();
  }

  /** Records whether received bytes wait for memory. */
  setWaiting(isWaiting: boolean): void {
    this.isWaiting = isWaiting;
    this.countArriving();
  }

  /** Records the length of the body that the head states; undefined if it states none. */
  recordLength(bytes: number | undefined): void {
    this.isShort = bytes !== undefined && bytes <= SHORT_RESPONSE_BYTES;
    this.countArriving();
  }

  setReceived(bytes: number): void {
    this.resize(ResponsePart.Received, bytes);
  }

  setRetained(bytes: number): void {
    this.resize(ResponsePart.Retained, bytes);
  }

  /** Records that an event is complete or that a part has been delivered to the caller, which ends its turn. */
  recordProgress(now: number): void {
    this.progressedAt = now;
    this.memory.endTurn(this);
  }

  /** Releases everything. Further calls have no effect. */
  close(): void {
    if (this.isOpen) {
      this.setReceived(0);
      this.setRetained(0);
      this.isOpen = false;
      this.countArriving();
      this.memory.remove(this);
    }
  }

  private resize(part: ResponsePart, bytes: number): void {
    const difference = bytes - this.bytes[part];
    if (this.isOpen && difference !== 0) {
      this.bytes[part] = bytes;
      this.countArriving();
      this.memory.addBytes(part, difference);
    }
  }

  /** Counts a short response while this process has bytes of it to process. */
  private countArriving(): void {
    const { group, memory } = this;
    const isArriving =
      this.isOpen &&
      this.isShort &&
      this.bytes[ResponsePart.Received] > 0 &&
      !this.isDelivering &&
      !this.isWaiting;
    if (group === undefined || isArriving === this.isArriving) {
      return;
    }
    this.isArriving = isArriving;
    if (isArriving) {
      memory.arriving.add(group);
    } else {
      memory.arriving.remove(group);
    }
  }
}
