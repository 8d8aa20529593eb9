/** Requests that may begin after a turn of the event loop without arrivals. */
const FREE_REQUESTS = 4;

/** Requests that may begin for each arrival, so that arrivals, which take less time, are read first. */
const SHARE_OF_ARRIVALS = 0.25;

/** What a request counts that needs no work any more. */
const SHARE_OF_ENDED = 0.25;

/** A request that has been read whole and has not begun. */
export abstract class ArrivedRequest {
  /** True if its deadline has passed. */
  abstract get hasEnded(): boolean;

  abstract begin(): void;
}

/**
 * Decides in which order requests begin while more arrive than the process can handle. Designed for a crowd on one
 * route of one account: arrivals are read first, as what a connection asks for is not known before, and then the
 * groups take turns with one request each.
 */
export class RequestTurns {
  /** Requests that wait, in order, of each group. The groups take turns. */
  private readonly queues = new Map<string, Set<ArrivedRequest>>();

  private waitingCount = 0;

  /** Requests that may begin now. */
  private permitted = FREE_REQUESTS;

  /** Requests that have arrived in this turn of the event loop. */
  private arrivedRequests = 0;

  private hasAccepted = false;

  private isScheduled = false;

  /** Requests that wait for their turn. */
  get waiting(): number {
    return this.waitingCount;
  }

  /** Records that a connection was accepted. The event loop accepts one in each of its turns. */
  recordConnection(): void {
    this.hasAccepted = true;
  }

  /** Begins a request of a group, now or in its turn. Returns true if it waits. */
  enter(group: string, request: ArrivedRequest): boolean {
    this.arrivedRequests += 1;
    this.schedule();
    if (this.waitingCount === 0 && this.permitted >= 1) {
      this.permitted -= 1;
      request.begin();
      return false;
    }
    this.waitingCount += 1;
    const queue = this.queues.get(group);
    if (queue === undefined) {
      this.queues.set(group, new Set([request]));
    } else {
      queue.add(request);
    }
    return true;
  }

  /** Removes a request that waits, which then holds nothing more. Returns false if it has begun. */
  remove(group: string, request: ArrivedRequest): boolean {
    const queue = this.queues.get(group);
    if (queue?.delete(request) !== true) {
      return false;
    }
    this.waitingCount -= 1;
    if (queue.size === 0) {
      this.queues.delete(group);
    }
    return true;
  }

  private schedule(): void {
    if (!this.isScheduled) {
      this.isScheduled = true;
      setImmediate(() => {
        this.isScheduled = false;
        this.runTurn();
      });
    }
  }

  private runTurn(): void {
    const hasArrivals = this.hasAccepted || this.arrivedRequests > 0;
    const share = Math.max(1, this.arrivedRequests) * SHARE_OF_ARRIVALS;
    this.permitted = Math.min(FREE_REQUESTS, hasArrivals ? this.permitted + share : FREE_REQUESTS);
    this.hasAccepted = false;
    this.arrivedRequests = 0;
    for (const request of this.takePermitted()) {
      this.permitted -= request.hasEnded ? SHARE_OF_ENDED : 1;
      request.begin();
    }
    if (this.permitted < FREE_REQUESTS) {
      this.schedule();
    }
  }

  /** The first requests of the groups, in turn. */
  private *takePermitted(): Generator<ArrivedRequest, void, void> {
    while (this.permitted >= 1) {
      const [entry] = this.queues;
      if (entry === undefined) {
        return;
      }
      const [group, queue] = entry;
      const [request] = queue as unknown as [ArrivedRequest];
      this.queues.delete(group);
      this.queues.set(group, queue);
      this.remove(group, request);
      yield request;
    }
  }
}
