import { describe, expect, it } from 'vitest';
import { ManualClock } from 'hickoryrelay/ManualClock';
import { EndpointAvailability } from 'hickoryrelay-endpoint/EndpointAvailability';
import { EndpointRateLimit, RateLimitChange } from 'hickoryrelay-endpoint/EndpointRateLimit';
import { RateLimitShares } from 'hickoryrelay-endpoint/RateLimitShares';

const limitedTo = (requestsPerSecond: number) => ({ requestsPerSecond });
const UNLIMITED = { requestsPerSecond: undefined };

/** Gives no share to this instance. */
class NoRateLimits extends RateLimitShares {
  override rateOf(): number {
    return 0;
  }
}

function makeLimit(requestsPerSecond: number): EndpointRateLimit {
  const limit = new EndpointRateLimit();
  limit.receive(limitedTo(requestsPerSecond), 0, 0);
  return limit;
}

/** Takes all tokens at a time. */
function takeAll(limit: EndpointRateLimit, now: number): number {
  let count = 0;
  while (count < 1000 && limit.tryTake(now)) {
    count += 1;
  }
  return count;
}

describe('EndpointRateLimit', () => {
  it('has no effect while none is stated', () => {
    const limit = new EndpointRateLimit();
    limit.receive(UNLIMITED, 0, 1);
    expect(limit.waitMilliseconds(1)).toBe(0);
    expect(takeAll(limit, 1)).toBe(1000);
  });

  // Guards against a burst when the limit is named, and after a time without requests.
  it('starts without a token and saves no more than one', () => {
    const limit = makeLimit(2);
    expect(limit.tryTake(499)).toBe(false);
    expect(limit.waitMilliseconds(499)).toBeCloseTo(1);
    expect(takeAll(limit, 501)).toBe(1);
    expect(takeAll(limit, 60_000)).toBe(1);
  });

  it('gives the tokens of a quarter of a second at a high rate', () => {
    expect(takeAll(makeLimit(200), 10_000)).toBe(50);
  });

  // Guards against an endpoint that is out of use for good, as nobody learns that its limit is gone.
  it('probes an endpoint that takes no requests', () => {
    const limit = makeLimit(0);
    expect(takeAll(limit, 9000)).toBe(0);
    expect(takeAll(limit, 10_001)).toBe(1);
  });

  it('has no token if only other instances may send requests', () => {
    const limit = new EndpointRateLimit(new NoRateLimits());
    limit.receive(limitedTo(5), 0, 0);
    expect(limit.tryTake(60_000)).toBe(false);
    expect(limit.waitMilliseconds(60_000)).toBe(Number.POSITIVE_INFINITY);
  });

  // Guards against a limit that is ended by an older response that has arrived later.
  it('is ended only by the response to a request that was started after it was named', () => {
    const limit = new EndpointRateLimit();
    limit.receive(limitedTo(5), 0, 100);
    expect(limit.receive(UNLIMITED, 50, 110)).toBe(RateLimitChange.None);
    expect(limit.receive(UNLIMITED, 100, 120)).toBe(RateLimitChange.None);
    expect(limit.requestsPerSecond).toBe(5);
    expect(limit.receive(UNLIMITED, 101, 130)).toBe(RateLimitChange.Ended);
    expect(limit.requestsPerSecond).toBeUndefined();
  });

  // Guards against a limit that others end because an instance was paused before it read a response.
  it('reports no limit with the age of the request', () => {
    const limit = new EndpointRateLimit();
    limit.receive(UNLIMITED, 1000, 9000);
    expect(limit.report(9000)).toEqual({ ...UNLIMITED, endpoint: 0, ageMilliseconds: 8000 });
  });

  // Guards against a limit that others raise because an instance was paused before it read a response.
  it('reports a limit with the age of the request, and is lowered by what others learned since', () => {
    const limit = new EndpointRateLimit();
    limit.receive(limitedTo(30), 1000, 9000);
    expect(limit.report(9000)).toEqual({ ...limitedTo(30), endpoint: 0, ageMilliseconds: 8000 });
    limit.receiveReport({ ...limitedTo(2), endpoint: 0, ageMilliseconds: 3000 }, 9000);
    expect(limit.requestsPerSecond).toBe(2);
    expect(limit.receive(UNLIMITED, 8999, 9010)).toBe(RateLimitChange.None);
  });

  it('keeps the lower of two limits whose order is not known', () => {
    const limit = new EndpointRateLimit();
    limit.receive(limitedTo(3), 0, 100);
    limit.receive(limitedTo(9), 50, 110);
    expect(limit.requestsPerSecond).toBe(3);
    limit.receive(limitedTo(9), 101, 120);
    expect(limit.requestsPerSecond).toBe(9);
  });

  // Guards against a log line for each response.
  it('announces only noticeable changes', () => {
    const limit = new EndpointRateLimit();
    const announce = (requestsPerSecond: number | undefined, now: number) =>
      limit.receive({ requestsPerSecond }, now, now);
    expect(
      [5, 5, 4.8, 4.6, 4.4, undefined, undefined, 4].map((each, index) => announce(each, index)),
    ).toEqual(['limited', 'none', 'none', 'none', 'limited', 'ended', 'none', 'limited']);
  });
});

describe('the reports of other instances', () => {
  const report = (requestsPerSecond: number | undefined, ageMilliseconds: number) => ({
    endpoint: 0,
    requestsPerSecond,
    ageMilliseconds,
  });

  it('name a limit and end it', () => {
    const limit = new EndpointRateLimit();
    expect(limit.receiveReport(report(5, 100), 10_000)).toBe(RateLimitChange.Limited);
    expect(limit.receiveReport(report(undefined, 0), 12_000)).toBe(RateLimitChange.Ended);
  });

  // Guards against a limit that ends by a report that was on its way while the limit was named.
  it('do not end a limit that was named shortly before', () => {
    const limit = new EndpointRateLimit();
    limit.receive(limitedTo(5), 0, 10_000);
    expect(limit.receiveReport(report(undefined, 0), 11_000)).toBe(RateLimitChange.None);
    expect(limit.requestsPerSecond).toBe(5);
  });

  it('do not name a limit again that has ended since', () => {
    const limit = new EndpointRateLimit();
    limit.receive(limitedTo(5), 0, 1000);
    limit.receive(UNLIMITED, 2000, 2100);
    expect(limit.receiveReport(report(5, 2000), 3000)).toBe(RateLimitChange.None);
    expect(limit.requestsPerSecond).toBeUndefined();
  });

  // Guards against an instance that keeps to a limit for good because it missed the messages of its end.
  it('of a limit that has ended cause the end to be reported once more', () => {
    const limit = new EndpointRateLimit();
    limit.receive(limitedTo(5), 0, 1000);
    limit.receive(UNLIMITED, 2000, 2100);
    expect(limit.changeAgeMilliseconds(60_000)).toBe(57_900);
    limit.receiveReport(report(5, 59_000), 60_000);
    expect(limit.changeAgeMilliseconds(60_000)).toBe(0);
  });

  // Guards against instances that keep an old statement young by repeating each other's reports.
  it('that confirm a limit change its age only if they are newer than their transit time', () => {
    const limit = makeLimit(5);
    limit.receiveReport(report(5, 900), 1100);
    expect(limit.report(1100).ageMilliseconds).toBe(1100);
    limit.receiveReport(report(5, 100), 1100);
    expect(limit.report(1100).ageMilliseconds).toBe(100);
  });
});

describe('the permit of a request to an endpoint with a rate limit', () => {
  const notice = { isLeaving: false, backoffMilliseconds: undefined, isAccepted: true };

  function setUp(requestsPerSecond: number) {
    const clock = new ManualClock();
    const availability = new EndpointAvailability();
    const start = () => availability.startRequest(clock.monotonicMilliseconds(), clock);
    const name = () => availability.rateLimit.receive(limitedTo(requestsPerSecond), 0, 0);
    return { clock, availability, start, name };
  }

  // Guards against requests that were waiting for a connection when the limit was named.
  it('takes its token at the write if the limit was named after the endpoint was chosen', async () => {
    const { clock, start, name } = setUp(2);
    const waiting = [start(), start(), start()];
    name();
    await clock.advance(600);
    expect(waiting.map((permit) => permit.tryUse())).toEqual([true, false, false]);
    expect(waiting.map(({ isValid }) => isValid)).toEqual([true, false, false]);
  });

  it('returns its token if the request has not been written', async () => {
    const { clock, availability, start, name } = setUp(2);
    name();
    await clock.advance(500);
    const permit = start();
    expect(availability.allowsRequest(500)).toBe(false);
    permit.end();
    expect(availability.allowsRequest(500)).toBe(true);
    const second = start();
    expect(second.tryUse()).toBe(true);
    second.end();
    expect(availability.allowsRequest(500)).toBe(false);
  });

  // Guards against a burst of requests whose connections are established at the same time.
  it('needs another token if the connection takes long', async () => {
    const { clock, start, name } = setUp(2);
    name();
    const waiting = [];
    for (let count = 0; count < 4; count += 1) {
      await clock.advance(500);
      waiting.push(start());
    }
    await clock.advance(400);
    expect(waiting.map((permit) => permit.tryUse())).toEqual([false, false, false, true]);
  });

  it('is for the successor at the address if the limit was named after its start', () => {
    const { availability } = setUp(2);
    availability.rateLimit.receive(limitedTo(2), 0, 10, 1000);
    const rateOf = (started: number) => availability.succeed(started).rateLimit.requestsPerSecond;
    expect([rateOf(1000), rateOf(1001)]).toEqual([2, undefined]);
    expect(availability.receive(notice, availability.startRequest(20), 20)).toBe('none');
  });
});
