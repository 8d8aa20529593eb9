/**
 * Returns a signal that aborts after the time limit, in real time, or with the given signal if that
 * comes first.
 */
export function withTimeout(signal: AbortSignal, milliseconds: number): AbortSignal {
  const timeout = AbortSignal.timeout(milliseconds);
  // `AbortSignal.any` does not keep its sources alive, so without a listener the time limit would end
  // at the next garbage collection.
  timeout.addEventListener('abort', () => {}, { once: true });
  return AbortSignal.any([signal, timeout]);
}
