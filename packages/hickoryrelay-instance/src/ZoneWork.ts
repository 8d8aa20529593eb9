import { hashString } from 'hickoryrelay/RendezvousUtils';

import type { CallCost } from 'hickoryrelay-admission/CallCosts';
import type { DigestRow, WorkTotals } from 'hickoryrelay-link/PeerMessages';

const CLASS_TAG_MASK = 0xff_ff;

/** Two classes keep the work of a row within 27 bytes; rows rotate through the classes. */
const CLASSES_PER_ROW = 2;

/** If the first received heartbeat of a run is not above this, the run has done no work before. */
const FIRST_HEARTBEAT = 1;

export function classTag(className: string): number {
  return hashString(className) & CLASS_TAG_MASK;
}

/** Sums of work, in milliseconds of engine time. Classes are keyed by their tag. */
export class WorkSums {
  prefill = 0;

  decode = 0;

  readonly classes = new Map<number, number>();

  addToClass(tag: number, cost: number): void {
    this.classes.set(tag, (this.classes.get(tag) ?? 0) + cost);
  }
}

/** The latest totals received from one run of an instance. */
interface RemoteRun {
  readonly incarnation: string;
  /** False if the run had done work before this instance first received a row of it. */
  readonly isCountedFromStart: boolean;
  readonly sums: WorkSums;
}

/** The model work offered to the instances of one zone, summed from their digest rows. */
export class ZoneWork {
  /** Work of all instances since this one started. Only differences are meaningful. */
  readonly sums = new WorkSums();

  private readonly zone: string;

  private readonly own = new WorkSums();

  private readonly runs = new Map<string, RemoteRun>();

  private nextClassOffset = 0;

  constructor(zone: string) {
    this.zone = zone;
  }

  /** Adds work of a call at this instance. Negative work corrects an estimate that was too high. */
  add(className: string, { prefill, decode }: Pick<CallCost, 'decode' | 'prefill'>): void {
    for (const sums of [this.own, this.sums]) {
      sums.prefill += prefill;
      sums.decode += decode;
      sums.addToClass(classTag(className), prefill + decode);
    }
  }

  /** The totals for the next row of this instance, with the next classes in rotation. */
  nextTotals(): WorkTotals {
    const classes = [...this.own.classes];
    const start = classes.length === 0 ? 0 : this.nextClassOffset % classes.length;
    this.nextClassOffset = start + CLASSES_PER_ROW;
    const rotated = [...classes.slice(start), ...classes.slice(0, start)].slice(0, CLASSES_PER_ROW);
    return { prefill: this.own.prefill, decode: this.own.decode, classes: rotated };
  }

  /** Applies a row, which must be newer than all earlier ones of the instance. */
  applyRow({ identity, heartbeat, work }: DigestRow): void {
    if (identity.zone !== this.zone) {
      return;
    }
    const previous = this.runs.get(identity.name);
    const isSameIncarnation = previous?.incarnation === identity.incarnation;
    const run = isSameIncarnation
      ? previous
      : {
          incarnation: identity.incarnation,
          isCountedFromStart: previous !== undefined || heartbeat <= FIRST_HEARTBEAT,
          sums: new WorkSums(),
        };
    this.runs.set(identity.name, run);
    if (isSameIncarnation || run.isCountedFromStart) {
      this.sums.prefill += work.prefill - run.sums.prefill;
      this.sums.decode += work.decode - run.sums.decode;
    }
    run.sums.prefill = work.prefill;
    run.sums.decode = work.decode;
    for (const [tag, total] of work.classes) {
      const before = run.sums.classes.get(tag) ?? (run.isCountedFromStart ? 0 : total);
      this.sums.addToClass(tag, total - before);
      run.sums.classes.set(tag, total);
    }
  }

  removeInstance(name: string): void {
    this.runs.delete(name);
  }
}
