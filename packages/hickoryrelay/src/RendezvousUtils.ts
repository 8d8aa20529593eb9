const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** A 32-bit hash of a text (FNV-1a with a final mix, so that similar names spread evenly). */
export function hashText(text: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/** Orders names by rendezvous hashing for a key, the highest weight first. */
export function rendezvousOrder(key: string, names: readonly string[]): string[] {
  return names
    .map((name) => ({ name, weight: hashText(`${key}|${name}`) }))
    .toSorted((left, right) => right.weight - left.weight || (left.name < right.name ? -1 : 1))
    .map(({ name }) => name);
}
