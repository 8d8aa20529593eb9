import { Clock } from 'hickoryrelay/Clock';
import { RelayError } from 'hickoryrelay/RelayError';

/** A clock that a test moves within one turn of the event loop. It has no timers. */
export class StepClock extends Clock {
  nowMilliseconds = 0;

  override monotonicMilliseconds(): number {
    return this.nowMilliseconds;
  }

  override wallMilliseconds(): number {
    return this.nowMilliseconds;
  }

  override schedule(): () => void {
    throw new RelayError({ kind: 'cancelled', reason: 'the clock has no timers' });
  }
}
