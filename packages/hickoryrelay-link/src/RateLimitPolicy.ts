/** Header that names the quota policies of an endpoint (draft-ietf-httpapi-ratelimit-headers). */
export const RATE_LIMIT_POLICY_HEADER = 'ratelimit-policy';

/** Bare items of a structured field (RFC 9651): strings, numbers, tokens, byte sequences and booleans. */
const STRING = String.raw`"(?:[ !#-[\]-~]|\\["\\])*"`;
const NUMBER = String.raw`-?\d{1,12}\.\d{1,3}|-?\d{1,15}`;
const TOKEN = String.raw`[A-Za-z*][\w!#$%&'*+.^|~:/\x60-]*`;
const BYTES = String.raw`:[A-Za-z\d+/=]*:`;
const BOOLEAN = String.raw`\?[01]`;

/** A policy at the start of a text: its name and its parameters. */
const POLICY_PATTERN = new RegExp(
  String.raw`^(?:${STRING})((?:; *[a-z*][\w.*-]*(?:=(?:${STRING}|${NUMBER}|${TOKEN}|${BYTES}|${BOOLEAN}))?)*)`,
  'u',
);

const PARAMETER_PATTERN = new RegExp(
  String.raw`; *([a-z*][\w.*-]*)(?:=(${STRING}|${NUMBER}|${TOKEN}|${BYTES}|${BOOLEAN}))?`,
  'gu',
);

const SEPARATOR_PATTERN = /^[ \t]*,[ \t]*/u;

const INTEGER_PATTERN = /^\d+$/u;

/** Unit of the quotas that count requests, and the default. Others limit bytes or concurrency. */
const REQUESTS_UNIT = '"requests"';

/** Returns the parameters of each policy; undefined if the value is malformed. */
function parsePolicies(value: string): ReadonlyMap<string, string>[] | undefined {
  const policies: ReadonlyMap<string, string>[] = [];
  let rest = value.trim();
  for (;;) {
    const [policy, parameters = ''] = POLICY_PATTERN.exec(rest) ?? [];
    if (policy === undefined) {
      return undefined;
    }
    const pairs = [...parameters.matchAll(PARAMETER_PATTERN)];
    policies.push(new Map(pairs.map(([, name = '', item = '?1']) => [name, item])));
    rest = rest.slice(policy.length);
    if (rest === '') {
      return policies;
    }
    const [separator] = SEPARATOR_PATTERN.exec(rest) ?? [];
    if (separator === undefined) {
      return undefined;
    }
    rest = rest.slice(separator.length);
  }
}

/** Returns the rate of a policy in requests per second; undefined if it names no such rate. */
function rateOf(policy: ReadonlyMap<string, string>): number | undefined {
  const quota = policy.get('q') ?? '';
  const windowSeconds = policy.get('w') ?? '';
  const isRate = INTEGER_PATTERN.test(quota) && INTEGER_PATTERN.test(windowSeconds);
  const countsRequests = (policy.get('qu') ?? REQUESTS_UNIT) === REQUESTS_UNIT;
  return isRate && countsRequests && Number(windowSeconds) > 0
    ? Number(quota) / Number(windowSeconds)
    : undefined;
}

/**
 * Decodes a value of the header, as in `"default";q=5;w=1`: the lowest rate of its policies in requests
 * per second. Returns undefined if it names no rate or is malformed.
 */
export function decodeRateLimitPolicy(value: string): number | undefined {
  const rates = (parsePolicies(value) ?? []).map(rateOf).filter((rate) => rate !== undefined);
  return rates.length === 0 ? undefined : Math.min(...rates);
}
