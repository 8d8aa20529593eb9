/** Returns the values that occur more than once, each of them once. */
export function duplicatesOf(values: Iterable<string>): Set<string> {
  const seen = new Set<string>();
  const duplicates = new Set<string>();
  for (const value of values) {
    if (seen.has(value)) {
      duplicates.add(value);
    }
    seen.add(value);
  }
  return duplicates;
}
