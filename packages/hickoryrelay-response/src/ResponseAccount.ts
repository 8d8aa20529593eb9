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

  constructor(memory: ResponseMemory, now: number) {
    this.memory = memory;
    this.progressedAt = now;
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
      this.memory.remove(this);
    }
  }

  private resize(part: ResponsePart, bytes: number): void {
    const difference = bytes - this.bytes[part];
    if (this.isOpen && difference !== 0) {
      this.bytes[part] = bytes;
      this.memory.addBytes(part, difference);
    }
  }
}
