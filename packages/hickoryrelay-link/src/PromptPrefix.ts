import { createHash } from 'node:crypto';

/** A part is about 256 tokens, so that a key stands for a useful saving and a prompt has few keys. */
const PART_CHARACTERS = 1024;

/** Later parts of very long prompts seldom repeat; 64 keys cover 16,000 tokens. */
const MOST_KEYS = 64;
const KEY_CHARACTERS = 12;

/**
 * Keys of the leading parts of a prompt. Equal keys mean equal prompts up to that part. The account
 * is part of each key, because engines do not share cached prefixes between accounts.
 */
export function prefixKeys(account: string, prompt: string): string[] {
  const keys: string[] = [];
  let previous = account;
  const end = Math.min(prompt.length, MOST_KEYS * PART_CHARACTERS);
  for (let start = 0; start + PART_CHARACTERS <= end; start += PART_CHARACTERS) {
    previous = createHash('sha1')
      .update(`${previous}\n`)
      .update(prompt.slice(start, start + PART_CHARACTERS))
      .digest('base64url')
      .slice(0, KEY_CHARACTERS);
    keys.push(previous);
  }
  return keys;
}
