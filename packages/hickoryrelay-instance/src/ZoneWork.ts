import { hashString } from 'hickoryrelay/RendezvousUtils';

import type { CallCost } from './CallCostModel.js';
import type { DigestRow, WorkTotals } from 'hickoryrelay-link/PeerMessages';

const TAG_MASK = 0xff_ff;

/** Two classes keep the work of a row within 27 bytes; the others take their turn. */
const CLASSES_IN_ROW = 2;

/** A run that started this few heartbeats ago was heard from its start. */
const FIRST_HEARTBEAT = 1;

export function classTag(className: string): number {
  return hashString(className) & TAG_MASK;
}

/** Sums of work, in milliseconds of engine time. */
export class WorkSums {
  prefill = 0;

  decode = 0;

  readonly classes = new Map<number, number>();

  addToClass(tag: number, cost: number): void {
    this.classes.set(tag, (this.classes.get(tag) ?? 0) + cost);
  }
}

/** The totals heard from one run of an instance. */
interface HeardRun {
  readonly incarnation: string;
  /** True if everything that the run did counts, false if it ran before this instance heard it. */
  readonly isWhole: boolean;
  readonly sums: WorkSums;
}

/** The model work offered to the instances of one zone, as far as this instance has heard. */
export class ZoneWork {
  /** Work since this instance started, of all instances. Only differences have a meaning. */
  readonly sums = new WorkSums();

  private readonly zone: string;

  private readonly own = new WorkSums();

  private readonly runs = new Map<string, HeardRun>();

  private nextClass = 0;

  constructor(zone: string) {
    this.zone = zone;
  }

  /** Adds work of a call at this instance; negative if an estimate was too high. */
  add(className: string, { prefill, decode }: Pick<CallCost, 'decode' | 'prefill'>): void {
    for (const sums of [this.own, this.sums]) {
      sums.prefill += prefill;
      sums.decode += decode;
      sums.addToClass(classTag(className), prefill + decode);
    }
  }

  /** The totals for the next row of this instance. */
  nextTotals(): WorkTotals {
    const classes = [...this.own.classes];
    const start = classes.length === 0 ? 0 : this.nextClass % classes.length;
    this.nextClass = start + CLASSES_IN_ROW;
    const turn = [...classes.slice(start), ...classes.slice(0, start)].slice(0, CLASSES_IN_ROW);
    return { prefill: this.own.prefill, decode: this.own.decode, classes: turn };
  }

  /** Takes in a row that is newer than those heard before of the instance. */
  hear({ identity, heartbeat, work }: DigestRow): void {
    if (identity.zone !== this.zone) {
      return;
    }
    const previous = this.runs.get(identity.name);
    const isKnown = previous?.incarnation === identity.incarnation;
    const run = isKnown
      ? previous
      : {
          incarnation: identity.incarnation,
          isWhole: previous !== undefined || heartbeat <= FIRST_HEARTBEAT,
          sums: new WorkSums(),
        };
    this.runs.set(identity.name, run);
    if (isKnown || run.isWhole) {
      this.sums.prefill += work.prefill - run.sums.prefill;
      this.sums.decode += work.decode - run.sums.decode;
    }
    run.sums.prefill = work.prefill;
    run.sums.decode = work.decode;
    for (const [tag, total] of work.classes) {
      const before = run.sums.classes.get(tag) ?? (run.isWhole ? 0 : total);
      this.sums.addToClass(tag, total - before);
      run.sums.classes.set(tag, total);
    }
  }

  forget(name: string): void {
    this.runs.delete(name);
  }
}
