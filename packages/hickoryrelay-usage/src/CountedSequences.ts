import type { CountedMark, SequenceRuns } from 'hickoryrelay-link/PeerMessages';

/** Encodes sequences as runs. */
export function runsOf(sequences: Iterable<number>): SequenceRuns {
  const runs: number[] = [];
  let end = 0;
  for (const sequence of [...sequences].toSorted((left, right) => left - right)) {
    if (sequence === end && runs.length > 0) {
      runs[runs.length - 1] = (runs.at(-1) ?? 0) + 1;
    } else {
      runs.push(sequence - end, 1);
    }
    end = sequence + 1;
  }
  return runs;
}

/** Decodes runs to sequences, in ascending order. */
export function* sequencesOf(runs: SequenceRuns): Generator<number, void, void> {
  let position = 0;
  for (let index = 0; index < runs.length; index += 2) {
    position += runs[index] ?? 0;
    const end = position + (runs[index + 1] ?? 0);
    for (; position < end; position += 1) {
      yield position;
    }
  }
}

/** A dense set of sequences with few gaps. Sequences start at 1. */
export class CountedSequences {
  private upTo = 0;

  private readonly gaps = new Set<number>();

  static from(mark: CountedMark | undefined): CountedSequences {
    const counted = new CountedSequences();
    counted.upTo = mark?.upTo ?? 0;
    for (const gap of sequencesOf(mark?.gaps ?? [])) {
      counted.gaps.add(gap);
    }
    return counted;
  }

  has(sequence: number): boolean {
    return sequence <= this.upTo && !this.gaps.has(sequence);
  }

  /** Adds a sequence. Returns false if it was present. */
  add(sequence: number): boolean {
    if (sequence <= this.upTo) {
      return this.gaps.delete(sequence);
    }
    for (let gap = this.upTo + 1; gap < sequence; gap += 1) {
      this.gaps.add(gap);
    }
    this.upTo = sequence;
    return true;
  }

  mark(): CountedMark {
    return { upTo: this.upTo, gaps: runsOf(this.gaps) };
  }
}
