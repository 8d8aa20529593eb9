import type { Clock } from 'hickoryrelay/Clock';

/** Times after the stop signal at which an instance takes the steps of its shutdown. */
export interface ShutdownTimes {
  /** Until then all requests are accepted; later ones only if they end by the answer deadline. */
  readonly acceptAllMilliseconds: number;
  /** Idle connections are closed. */
  readonly idleCloseMilliseconds: number;
  /** Requests whose response has not started are answered without waiting for an endpoint. */
  readonly answerDeadlineMilliseconds: number;
  /** All connections are closed. */
  readonly closeMilliseconds: number;
}

/** Delay of a step that shows a stall. The step then waits for as long again. */
const STALL_MILLISECONDS = 50;

/** Tells whether this instance is stopping, and which requests it can still answer. */
export class ShutdownSchedule {
  readonly times: ShutdownTimes;

  private readonly clock: Clock;

  private startedMilliseconds: number | undefined;

  private isCloseDue = false;

  private readonly answerDeadlineObservers = new Set<() => void>();

  constructor(clock: Clock, times: ShutdownTimes) {
    this.clock = clock;
    this.times = times;
  }

  /** Starts with the stop signal. Further calls have no effect. */
  begin(): void {
    if (this.startedMilliseconds === undefined) {
      this.startedMilliseconds = this.clock.monotonicMilliseconds();
      void this.run();
    }
  }

  get isStopping(): boolean {
    return this.startedMilliseconds !== undefined;
  }

  /** True once all connections are to be closed. */
  get mustClose(): boolean {
    return this.isCloseDue;
  }

  /**
   * Calls the observer when requests have to be answered without waiting for an endpoint. Returns a
   * function that removes it.
   */
  onAnswerDeadline(observer: () => void): () => void {
    this.answerDeadlineObservers.add(observer);
    return () => this.answerDeadlineObservers.delete(observer);
  }

  /** Time from the stop signal to a time of the monotonic clock. Undefined unless stopping then. */
  elapsedAt(milliseconds: number): number | undefined {
    const started = this.startedMilliseconds;
    return started === undefined || milliseconds < started ? undefined : milliseconds - started;
  }

  /**
   * True if a request may be admitted now that may take until the given time of the monotonic clock.
   * Early in a shutdown all requests are accepted, although a long stream may be cut, since the load
   * balancer may still send callers that are refused to this instance.
   */
  canAnswerBy(endMilliseconds: number): boolean {
    const elapsed = this.elapsedAt(this.clock.monotonicMilliseconds());
    return (
      elapsed === undefined ||
      elapsed < this.times.acceptAllMilliseconds ||
      (this.elapsedAt(endMilliseconds) ?? 0) <= this.times.answerDeadlineMilliseconds
    );
  }

  private async run(): Promise<void> {
    const { answerDeadlineMilliseconds, closeMilliseconds } = this.times;
    await this.reach(answerDeadlineMilliseconds);
    this.answerDeadlineObservers.forEach((observer) => observer());
    await this.reach(closeMilliseconds);
    this.isCloseDue = true;
  }

  /** Waits until a step is due. After a stall, timers run before sockets are read, and it waits a little longer for what has arrived. */
  private async reach(milliseconds: number): Promise<void> {
    const elapsed = () => this.elapsedAt(this.clock.monotonicMilliseconds()) ?? 0;
    await this.clock.sleep(Math.max(0, milliseconds - elapsed()));
    if (elapsed() - milliseconds >= STALL_MILLISECONDS) {
      await this.clock.sleep(STALL_MILLISECONDS);
    }
  }
}
