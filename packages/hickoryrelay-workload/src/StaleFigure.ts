/** Time constant of the average. */
const AVERAGE_MILLISECONDS = 4000;

/**
 * Estimates the present value of a figure that was reported some time ago. Requests end and others
 * arrive in the meantime, so that the value returns towards its average: an engine that was reported
 * as the only idle one has most likely been chosen by others since.
 */
export class StaleFigure {
  private average: number | undefined;

  private updatedAtMilliseconds = 0;

  /**
   * Returns the expected present value.
   *
   * @param reported The value in the last report.
   * @param ageMilliseconds Age of the report.
   * @param turnoverMilliseconds Time in which the value returns to the average, but for a third.
   */
  expect(
    reported: number,
    ageMilliseconds: number,
    turnoverMilliseconds: number,
    now: number,
  ): number {
    if (this.average === undefined) {
      this.average = reported;
    } else {
      const elapsed = Math.max(0, now - this.updatedAtMilliseconds);
      this.average += ((reported - this.average) * elapsed) / (elapsed + AVERAGE_MILLISECONDS);
    }
    this.updatedAtMilliseconds = now;
    const difference = reported - this.average;
    return difference === 0
      ? reported
      : this.average + difference * Math.exp(-ageMilliseconds / turnoverMilliseconds);
  }
}
