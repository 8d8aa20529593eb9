import { Clock } from './Clock.js';

interface Alarm {
  readonly dueMilliseconds: number;
  readonly action: () => void;
}

/** Lets promise reactions run that are already due. */
async function settle(): Promise<void> {
  await new Promise<void>((resolve) => {
    setImmediate(resolve);
  });
}

/** A clock that moves only when `advance` is called. For tests and models. */
export class ManualClock extends Clock {
  private nowMilliseconds = 0;

  private readonly wallStartMilliseconds: number;

  private alarms: Alarm[] = [];

  constructor(wallStartMilliseconds = 1_700_000_000_000) {
    super();
    this.wallStartMilliseconds = wallStartMilliseconds;
  }

  override monotonicMilliseconds(): number {
    return this.nowMilliseconds;
  }

  override wallMilliseconds(): number {
    return this.wallStartMilliseconds + this.nowMilliseconds;
  }

  override schedule(milliseconds: number, action: () => void): () => void {
    const alarm = { dueMilliseconds: this.nowMilliseconds + Math.max(0, milliseconds), action };
    this.alarms.push(alarm);
    return () => {
      this.alarms = this.alarms.filter((other) => other !== alarm);
    };
  }

  /** Moves time forward and runs what falls due, in order, letting promises settle between. */
  async advance(milliseconds: number): Promise<void> {
    const endMilliseconds = this.nowMilliseconds + milliseconds;
    await settle();
    for (;;) {
      const next = this.nextAlarm(endMilliseconds);
      if (next === undefined) {
        break;
      }
      this.alarms = this.alarms.filter((other) => other !== next);
      this.nowMilliseconds = Math.max(this.nowMilliseconds, next.dueMilliseconds);
      next.action();
      await settle();
    }
    this.nowMilliseconds = endMilliseconds;
  }

  private nextAlarm(endMilliseconds: number): Alarm | undefined {
    let next: Alarm | undefined;
    for (const alarm of this.alarms) {
      const isDue = alarm.dueMilliseconds <= endMilliseconds;
      if (isDue && (next === undefined || alarm.dueMilliseconds < next.dueMilliseconds)) {
        next = alarm;
      }
    }
    return next;
  }
}
