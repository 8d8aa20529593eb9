import { createHash, timingSafeEqual } from 'node:crypto';

import { z } from 'zod';

import type { RandomSource } from 'hickoryrelay/RandomSource';

const ACCESS_KEY_PATTERN = /^hrk_([0-9a-f]{12})_([0-9a-f]{48})$/u;
const IDENTIFIER_BYTES = 6;
const SECRET_BYTES = 24;
const SALT_BYTES = 16;

/** Schema of an access key in a declarations file. Only a salted hash of the secret is stored. */
export const accessKeySchema = z.strictObject({
  identifier: z.string().regex(/^[0-9a-f]{12}$/u, 'expected 12 hexadecimal digits'),
  salt: z.string().regex(/^[0-9a-f]{32}$/u, 'expected 32 hexadecimal digits'),
  hash: z.string().regex(/^[0-9a-f]{64}$/u, 'expected 64 hexadecimal digits'),
  withdrawn: z.boolean().default(false),
});

/** A declared access key. `hash` is the SHA-256 digest of salt and secret; all are hexadecimal. */
export type AccessKeyDeclaration = z.output<typeof accessKeySchema>;

/** The parts of an access key that a caller sent. */
export interface PresentedAccessKey {
  readonly identifier: string;
  readonly secret: string;
}

function hashSecret(salt: string, secret: string): Buffer {
  return createHash('sha256').update(salt, 'hex').update(secret, 'utf8').digest();
}

/** Parses the text of an access key. Returns undefined if it is malformed. */
export function parseAccessKey(text: string): PresentedAccessKey | undefined {
  const match = ACCESS_KEY_PATTERN.exec(text);
  if (match?.[1] === undefined || match[2] === undefined) {
    return undefined;
  }
  return { identifier: match[1], secret: match[2] };
}

/** A caller's credential, stored as a salted hash. Immutable. */
export class AccessKey {
  readonly identifier: string;

  readonly isWithdrawn: boolean;

  private readonly salt: string;

  private readonly hash: Buffer;

  constructor(declaration: AccessKeyDeclaration) {
    this.identifier = declaration.identifier;
    this.isWithdrawn = declaration.withdrawn;
    this.salt = declaration.salt;
    this.hash = Buffer.from(declaration.hash, 'hex');
  }

  /** Checks a secret against the stored hash in constant time, to prevent timing attacks. */
  verify(secret: string): boolean {
    return timingSafeEqual(hashSecret(this.salt, secret), this.hash);
  }

  /**
   * Generates a key. The text goes to the caller and cannot be recovered later; the declaration is
   * what is stored.
   */
  static issue(random: RandomSource): { text: string; declaration: AccessKeyDeclaration } {
    const identifier = random.identifier(IDENTIFIER_BYTES);
    const secret = random.identifier(SECRET_BYTES);
    const salt = random.identifier(SALT_BYTES);
    const hash = hashSecret(salt, secret).toString('hex');
    return {
      text: `hrk_${identifier}_${secret}`,
      declaration: { identifier, salt, hash, withdrawn: false },
    };
  }
}
