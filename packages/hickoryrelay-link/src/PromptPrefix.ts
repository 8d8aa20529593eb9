import { createHash } from 'node:crypto';

import { TOKENS_PER_PREFIX_KEY } from 'hickoryrelay-endpoint/PrefixIndex';

const CHARACTERS_PER_TOKEN = 4;
const PART_CHARACTERS = TOKENS_PER_PREFIX_KEY * CHARACTERS_PER_TOKEN;

/** Later parts of very long prompts seldom repeat; 16 keys cover 16,000 tokens. */
const MOST_KEYS = 16;
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
