const FNV_OFFSET_BASIS = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** Returns a 32-bit FNV-1a hash with a final mix, so that similar names are spread evenly. */
export function hashString(text: string): number {
  let hash = FNV_OFFSET_BASIS;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/** Combines two hashes into one, for rendezvous weights without a string for each pair. */
export function mixHashes(left: number, right: number): number {
  let hash = Math.imul(left ^ right, 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/** Orders names by rendezvous hashing for a key, highest weight first. */
export function rendezvousOrder(key: string, names: readonly string[]): string[] {
  return names
    .map((name) => ({ name, weight: hashString(`${key}|${name}`) }))
    .toSorted((left, right) => right.weight - left.weight || (left.name < right.name ? -1 : 1))
    .map(({ name }) => name);
}
