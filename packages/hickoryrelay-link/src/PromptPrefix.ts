import { createHash } from 'node:crypto';

import { TOKENS_PER_PREFIX_KEY } from 'hickoryrelay-endpoint/PrefixIndex';

const CHARACTERS_PER_TOKEN = 4;
const BLOCK_CHARACTERS = TOKENS_PER_PREFIX_KEY * CHARACTERS_PER_TOKEN;

/** The ends of very long prompts seldom repeat; 16 keys cover 16,000 tokens. */
const MAXIMUM_KEYS = 16;
const KEY_LENGTH = 12;

/**
 * Returns one key for each prefix of a prompt that ends at a block boundary. Equal keys mean equal
 * prefixes. Keys depend on the account, because engines do not share cached prefixes between
 * accounts.
 */
export function computePrefixKeys(account: string, prompt: string): string[] {
  const keys: string[] = [];
  let previous = account;
  const end = Math.min(prompt.length, MAXIMUM_KEYS * BLOCK_CHARACTERS);
  for (let start = 0; start + BLOCK_CHARACTERS <= end; start += BLOCK_CHARACTERS) {
    previous = createHash('sha1')
      .update(`${previous}\n`)
      .update(prompt.slice(start, start + BLOCK_CHARACTERS))
      .digest('base64url')
      .slice(0, KEY_LENGTH);
    keys.push(previous);
  }
  return keys;
}
