import type { RandomSource } from 'hickoryrelay/RandomSource';

/** Enough for most services; the buffers grow with the number of candidates. */
const INITIAL_CAPACITY = 128;

/** Halvings of the interval that contains the level: its error is a thousandth of the interval. */
const LEVEL_STEPS = 10;

/**
 * Distributes requests over endpoints whose load is known from reports that are some time old. All
 * instances see the same reports, so if each chose the cheapest endpoint, it would get all requests
 * of a report period. Instead, the requests that are expected from peers since their reports are
 * thought to be distributed so that the cheapest endpoints become equally expensive (water-filling).
 * The next request goes to one of these, with a probability in proportion to the requests by which
 * its cost rises as much as that of the others. Without expected requests the cheapest is chosen.
 *
 * Designed for up to 7,200 candidates, of which a request looks at each once, without an allocation,
 * and several times at those that are cheap enough to receive a part.
 */
export class StaleLoadSelection {
  private capacity = 0;

  private count = 0;

  private costs = new Float64Array();

  /** Cost that each further request adds at a candidate while it has a free slot. */
  private steps = new Float64Array();

  /** Requests that fit at a candidate. */
  private rooms = new Float64Array();

  /** Cost that each further request adds at a candidate without a free slot. */
  private fullSteps = new Float64Array();

  /** Candidates that are cheap enough to receive a part. */
  private cheap = new Uint32Array();

  /** Starts a choice. */
  begin(): void {
    this.count = 0;
  }

  /**
   * Adds a candidate.
   *
   * @param cost Expected cost of a request that is sent to it now.
   * @param step Cost that each further request adds while there is room.
   * @param room Further requests that fit.
   * @param fullStep Cost that each further request adds without room.
   */
  add(cost: number, step: number, room: number, fullStep: number): void {
    if (this.count === this.capacity) {
      this.grow();
    }
    const index = this.count;
    this.costs[index] = cost;
    this.steps[index] = step;
    this.rooms[index] = Math.max(0, room);
    this.fullSteps[index] = fullStep;
    this.count += 1;
  }

  /** Returns the index of the chosen candidate, in the order in which they were added; -1 for none. */
  choose(expectedRequests: number, random: RandomSource): number {
    const cheapest = this.findCheapest();
    if (cheapest < 0 || !(expectedRequests > 0)) {
      return cheapest;
    }
    const low = this.costs[cheapest] as number;
    const high = this.upperLevel(expectedRequests);
    const cheapCount = this.selectBelow(high);
    if (cheapCount <= 1) {
      return cheapest;
    }
    const level = this.findLevel(expectedRequests, low, high, cheapCount);
    return this.chooseInProportion(level, cheapCount, random) ?? cheapest;
  }

  private findCheapest(): number {
    let cheapest = -1;
    let lowest = Number.POSITIVE_INFINITY;
    for (let index = 0; index < this.count; index += 1) {
      const cost = this.costs[index] as number;
      if (cost < lowest) {
        lowest = cost;
        cheapest = index;
      }
    }
    return cheapest;
  }

  /** The lowest cost at which one candidate alone could receive all expected requests. */
  private upperLevel(expectedRequests: number): number {
    let lowest = Number.POSITIVE_INFINITY;
    for (let index = 0; index < this.count; index += 1) {
      const fitting = Math.min(expectedRequests, this.rooms[index] as number);
      const level =
        (this.costs[index] as number) +
        fitting * (this.steps[index] as number) +
        (expectedRequests - fitting) * this.fullStep(index);
      if (level < lowest) {
        lowest = level;
      }
    }
    return lowest;
  }

  private selectBelow(level: number): number {
    let count = 0;
    for (let index = 0; index < this.count; index += 1) {
      if ((this.costs[index] as number) < level) {
        this.cheap[count] = index;
        count += 1;
      }
    }
    return count;
  }

  /** Requests by which the cost of a candidate rises by one at a level; 0 if it is above the level. */
  private shareOf(index: number, level: number): number {
    const excess = level - (this.costs[index] as number);
    if (excess <= 0) {
      return 0;
    }
    const step = this.steps[index] as number;
    return 1 / (excess <= (this.rooms[index] as number) * step ? step : this.fullStep(index));
  }

  private fullStep(index: number): number {
    return this.fullSteps[index] as number;
  }

  /** Requests that bring the cost of a candidate up to a level. */
  private fillOf(index: number, level: number): number {
    const excess = level - (this.costs[index] as number);
    if (excess <= 0) {
      return 0;
    }
    const step = this.steps[index] as number;
    const room = this.rooms[index] as number;
    const fill = excess / step;
    return fill <= room ? fill : room + (excess - room * step) / this.fullStep(index);
  }

  private totalFill(level: number, cheapCount: number): number {
    let sum = 0;
    for (let position = 0; position < cheapCount; position += 1) {
      sum += this.fillOf(this.cheap[position] as number, level);
    }
    return sum;
  }

  /** Returns the level up to which the candidates receive the expected requests in total. */
  private findLevel(
    expectedRequests: number,
    lowest: number,
    highest: number,
    cheapCount: number,
  ): number {
    let low = lowest;
    let high = highest;
    for (let step = 0; step < LEVEL_STEPS; step += 1) {
      const middle = (low + high) / 2;
      if (this.totalFill(middle, cheapCount) < expectedRequests) {
        low = middle;
      } else {
        high = middle;
      }
    }
    return high;
  }

  private chooseInProportion(
    level: number,
    cheapCount: number,
    random: RandomSource,
  ): number | undefined {
    let total = 0;
    for (let position = 0; position < cheapCount; position += 1) {
      total += this.shareOf(this.cheap[position] as number, level);
    }
    let remaining = random.fraction() * total;
    for (let position = 0; position < cheapCount; position += 1) {
      const index = this.cheap[position] as number;
      remaining -= this.shareOf(index, level);
      if (remaining < 0) {
        return index;
      }
    }
    return undefined;
  }

  private grow(): void {
    this.capacity = Math.max(INITIAL_CAPACITY, this.capacity * 2);
    const grown = (numbers: Float64Array): Float64Array<ArrayBuffer> => {
      const larger = new Float64Array(this.capacity);
      larger.set(numbers);
      return larger;
    };
    this.costs = grown(this.costs);
    this.steps = grown(this.steps);
    this.rooms = grown(this.rooms);
    this.fullSteps = grown(this.fullSteps);
    this.cheap = new Uint32Array(this.capacity);
  }
}
