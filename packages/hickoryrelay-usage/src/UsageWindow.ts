/** Length of a usage window, in milliseconds. */
export const WINDOW_MILLISECONDS = 60_000;

/** Number of the window that contains a wall-clock time. */
export function windowAt(wallMilliseconds: number): number {
  return Math.floor(wallMilliseconds / WINDOW_MILLISECONDS);
}
