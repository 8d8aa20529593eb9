import { beforeEach, describe, expect, it } from 'vitest';
import { LifecycleManager } from 'hickoryrelay/LifecycleManager';
import { silentLogger } from 'hickoryrelay/Logger';
import { ManualClock } from 'hickoryrelay/ManualClock';
import { SeededRandomSource } from 'hickoryrelay/RandomSource';
import { Fault } from 'hickoryrelay-standin/FaultPlan';
import { InProcessKeyValueStore } from 'hickoryrelay-standin/InProcessKeyValueStore';
import { KeyValueTable } from 'hickoryrelay-standin/KeyValueTable';
import { ProcessClock } from 'hickoryrelay-standin/ProcessClock';
import { AuthorityTerm } from 'hickoryrelay-zone/AuthorityTerm';
import { fencingFloorOf } from 'hickoryrelay-zone/FencingNumbers';
import { DEFAULT_AUTHORITY_TIMES, ZoneAuthority } from 'hickoryrelay-zone/ZoneAuthority';
import { authorityKey, fencingKey } from 'hickoryrelay-zone/ZoneKeyUtils';

const ZONE = 'zone-a';
const LEASE_MILLISECONDS = DEFAULT_AUTHORITY_TIMES.leaseSeconds * 1000;

describe('ZoneAuthority', () => {
  let clock: ManualClock;
  let table: KeyValueTable;

  beforeEach(() => {
    clock = new ManualClock();
    table = new KeyValueTable(clock);
  });

  function createCandidate(
    holder: string,
    seed = 1,
    isStopping = () => false,
    fencingFloor = () => 0,
  ) {
    const process = new ProcessClock(clock);
    const store = new InProcessKeyValueStore(table, clock, process);
    const lifecycle = new LifecycleManager(holder, process, () => {});
    const authority = new ZoneAuthority({
      zone: ZONE,
      holder,
      store,
      random: new SeededRandomSource(seed),
      log: silentLogger,
      lifecycle,
      createTasks: () => [],
      isStopping,
      fencingFloor,
    });
    return {
      process,
      store,
      authority,
      start: () => lifecycle.start(authority),
      stop: () => lifecycle.stop(),
    };
  }

  function storedHolder(): string | undefined {
    const value = table.range(authorityKey(ZONE)).values[0]?.value;
    return value === undefined ? undefined : (JSON.parse(value) as { holder: string }).holder;
  }

  describe('after the store was restored from an older copy', () => {
    function createFencedCandidate(holder: string, seed: number) {
      const candidate: ReturnType<typeof createCandidate> = createCandidate(
        holder,
        seed,
        () => false,
        () => fencingFloorOf(candidate.store.era.current ?? 0),
      );
      return candidate;
    }

    // Guards against two holders that use the same fencing number (ONE).
    it('does not use a fencing number again that the store has forgotten', async () => {
      const copy = table.copy();
      const both = [createFencedCandidate('first', 1), createFencedCandidate('second', 2)];
      const numbers: number[] = [];
      both.forEach((each) => each.start());
      for (let restores = 0; restores < 4; restores += 1) {
        await clock.advance(30_000);
        const [term] = both.flatMap(({ authority }) => authority.currentTerm ?? []);
        expect(term?.fencingNumber).toBeGreaterThan(numbers.at(-1) ?? 0);
        numbers.push(term?.fencingNumber ?? 0);
        table.restore(copy);
      }
    });

    // Guards against a number of the earlier era, which another holder may have had (ONE).
    it('acquires no authority across a restore during the acquisition', async () => {
      const copy = table.copy();
      const { authority, store, start } = createFencedCandidate('first', 1);
      const grantLease = store.grantLease.bind(store);
      let restores = 0;
      store.grantLease = (seconds) => {
        restores += 1;
        if (restores === 1) {
          table.restore(copy);
        }
        return grantLease(seconds);
      };
      start();
      await clock.advance(60_000);
      expect(authority.currentTerm?.fencingNumber).toBeGreaterThan(fencingFloorOf(1));
    });

    // Guards against two instances that act at the same time.
    it('does not grant the authority while a term of the earlier era may be held', async () => {
      const copy = table.copy();
      const first = createFencedCandidate('first', 1);
      first.start();
      await clock.advance(30_000);
      const second = createFencedCandidate('second', 2);
      second.start();
      await clock.advance(1000);
      expect(first.authority.currentTerm).toBeDefined();
      first.store.exchange.faults.defaultFault = Fault.Refuse;
      table.restore(copy);
      for (let passed = 0; passed < 3 * LEASE_MILLISECONDS; passed += 100) {
        await clock.advance(100);
        const isBothHeld = first.authority.currentTerm && second.authority.currentTerm;
        expect(isBothHeld).toBeUndefined();
      }
      expect(second.authority.currentTerm).toBeDefined();
    });

    it('ends the term of a holder that learns of the restore', async () => {
      const copy = table.copy();
      const first = createFencedCandidate('first', 1);
      first.start();
      await clock.advance(30_000);
      const term = first.authority.currentTerm;
      table.restore(copy);
      const read = first.store.get(authorityKey(ZONE));
      await clock.advance(100);
      expect(await read).toBeUndefined();
      expect(term?.isHeld).toBe(false);
    });
  });

  // Guards against two holders at a time, and an authority that alternates between candidates.
  it('grants the authority to one of two candidates, which keeps it', async () => {
    const both = [createCandidate('first', 1), createCandidate('second', 2)];
    both.forEach((each) => each.start());
    await clock.advance(60_000);
    expect(both.filter((each) => each.authority.currentTerm).length).toBe(1);
    expect(table.range(fencingKey(ZONE)).values[0]?.value).toBe('1');
  });

  // Guards against a vacancy for the rest of the lease after a graceful stop.
  it('releases the authority on a graceful stop, before the lease would have expired', async () => {
    const first = createCandidate('first', 1);
    first.start();
    await clock.advance(1000);
    const second = createCandidate('second', 2);
    second.start();
    await clock.advance(1000);
    await first.stop();
    expect(storedHolder()).toBeUndefined();
    await clock.advance(7500);
    expect(second.authority.currentTerm?.fencingNumber).toBe(2);
  });

  // Guards against an acquired lease that no instance uses because the response was lost.
  it('holds the authority after the response to the acquiring write was lost', async () => {
    const first = createCandidate('first');
    // Two reads, the grant of the lease, and then the write.
    [Fault.None, Fault.None, Fault.None, Fault.LoseResponse].forEach((fault) =>
      first.store.exchange.faults.enqueue(fault),
    );
    first.start();
    await clock.advance(5000);
    expect(first.authority.currentTerm?.fencingNumber).toBe(1);
    expect(storedHolder()).toBe('first');
  });

  // Guards against a term counted from a late response, which outlasts the lease in the store.
  it('ends its term before the lease expires when grant and renewals respond late', async () => {
    const first = createCandidate('first');
    first.store.exchange.setDelays(0, 1900);
    first.start();
    const overlaps: number[] = [];
    const advanceAndWatch = async (milliseconds: number) => {
      for (let passed = 0; passed < milliseconds; passed += 100) {
        await clock.advance(100);
        if (first.authority.currentTerm !== undefined && storedHolder() !== 'first') {
          overlaps.push(clock.monotonicMilliseconds());
        }
      }
    };
    await advanceAndWatch(9000);
    expect(first.authority.currentTerm).toBeDefined();
    first.store.exchange.faults.defaultFault = Fault.Refuse;
    await advanceAndWatch(20_000);
    // The same with an outage directly after the acquisition, before any renewal.
    const second = createCandidate('second');
    second.store.exchange.setDelays(0, 1900);
    second.start();
    for (let passed = 0; passed < 20_000; passed += 100) {
      await clock.advance(100);
      if (second.authority.currentTerm !== undefined) {
        second.store.exchange.faults.defaultFault = Fault.Refuse;
        if (storedHolder() !== 'second') {
          overlaps.push(clock.monotonicMilliseconds());
        }
      }
    }
    expect(second.store.exchange.faults.defaultFault).toBe(Fault.Refuse);
    expect(overlaps).toEqual([]);
  });

  // Guards against a vacancy of one lease duration after an outage in which the store kept all leases.
  it('reacquires the authority at once when its own lease has outlived an outage', async () => {
    const first = createCandidate('first');
    first.start();
    await clock.advance(5000);
    const lease = first.authority.currentTerm?.grant.lease ?? '';
    first.store.exchange.faults.defaultFault = Fault.Refuse;
    for (let passed = 0; passed < 15_000; passed += 1000) {
      await clock.advance(1000);
      table.keepLeaseAlive(lease);
    }
    expect(first.authority.currentTerm).toBeUndefined();
    first.store.exchange.faults.defaultFault = Fault.None;
    await clock.advance(2000);
    expect(first.authority.currentTerm?.fencingNumber).toBe(2);
  });

  // Guards against two holders that take turns within a lease, which a platform that does not check
  // fencing numbers counts as acting at the same time.
  it('does not take the authority back within a lease after another instance has held it', async () => {
    const first = createCandidate('first', 1);
    first.start();
    await clock.advance(5000);
    table.revokeLease(first.authority.currentTerm?.grant.lease ?? '');
    const second = createCandidate('second', 2);
    second.start();
    await clock.advance(100);
    expect(second.authority.currentTerm?.fencingNumber).toBe(2);
    let firstEndedMilliseconds = clock.monotonicMilliseconds();
    while (first.authority.currentTerm !== undefined) {
      await clock.advance(100);
      firstEndedMilliseconds = clock.monotonicMilliseconds();
    }
    await second.stop();
    expect(storedHolder()).toBeUndefined();
    while (first.authority.currentTerm === undefined) {
      await clock.advance(100);
    }
    const elapsed = clock.monotonicMilliseconds() - firstEndedMilliseconds;
    expect(table.range(fencingKey(ZONE)).values[0]?.value).toBe('3');
    expect(elapsed).toBeGreaterThanOrEqual(LEASE_MILLISECONDS - 100);
    expect(elapsed).toBeLessThan(3 * LEASE_MILLISECONDS);
  });

  // Guards against terms of seconds during rolling restarts, after which the restarted previous holder
  // acts again within a lease.
  it('keeps its term while it is stopping, and acquires none', async () => {
    let isStopping = false;
    const first = createCandidate('first', 1, () => isStopping);
    first.start();
    await clock.advance(5000);
    isStopping = true;
    await clock.advance(20_000);
    expect(first.authority.currentTerm?.fencingNumber).toBe(1);
    await first.stop();
    const stopping = createCandidate('second', 2, () => isStopping);
    stopping.start();
    await clock.advance(60_000);
    expect(stopping.authority.currentTerm).toBeUndefined();
    expect(storedHolder()).toBeUndefined();
  });

  // Guards against two terms with the same fencing number.
  it('does not reuse a fencing number that another holder used in the meantime', async () => {
    const first = createCandidate('first');
    first.store.exchange.setDelays(400, 0);
    first.start();
    // The counter was read at 800 ms; the acquiring write arrives at 1600 ms.
    await clock.advance(1300);
    const put = { type: 'put' as const, key: fencingKey(ZONE), value: '1' };
    table.commit({ compare: [], success: [put], failure: [] });
    await clock.advance(600);
    expect(first.authority.currentTerm).toBeUndefined();
    await clock.advance(15_000);
    expect(first.authority.currentTerm?.fencingNumber).toBe(2);
  });

  // Guards against a holder that keeps issuing orders while it cannot renew its lease.
  it('ends its term while the platform is unreachable and reacquires the authority afterwards', async () => {
    const first = createCandidate('first');
    first.start();
    await clock.advance(5000);
    first.store.exchange.faults.defaultFault = Fault.Refuse;
    await clock.advance(11_000);
    expect(first.authority.currentTerm).toBeUndefined();
    first.store.exchange.faults.defaultFault = Fault.None;
    await clock.advance(20_000);
    expect(first.authority.currentTerm?.fencingNumber).toBe(2);
  });

  // Guards against orders of a process that was paused beyond its lease and has not run its timers
  // yet.
  it('resumes without the authority after a pause longer than its lease', async () => {
    const first = createCandidate('first');
    first.start();
    await clock.advance(5000);
    const term = first.authority.currentTerm;
    first.process.pause();
    await clock.advance(15_000);
    // The check must fail even before the timers of the process have run.
    expect(() => term?.assertHeld()).toThrow('Authority over zone zone-a');
    await first.process.resume(true);
    expect(first.authority.currentTerm).toBeUndefined();
  });
});

describe('AuthorityTerm', () => {
  const grant = { zone: ZONE, holder: 'first', fencingNumber: 1, lease: '1' };
  const validity = { timeToLiveSeconds: 10, marginMilliseconds: 1000 };

  // Guards against a term that resumes after another instance may have acquired the authority.
  it('is not held again after a renewal that arrives after its end', async () => {
    const clock = new ManualClock();
    const term = new AuthorityTerm(grant, clock, { requestedMilliseconds: 0, ...validity });
    await clock.advance(8900);
    expect(term.isHeld).toBe(true);
    await clock.advance(200);
    expect(term.renew({ requestedMilliseconds: 9100, ...validity })).toBe(false);
    expect([term.isHeld, term.signal.aborted]).toEqual([false, true]);
  });

  // Guards against an extension counted from a late response, which outlasts the lease in the
  // store.
  it('counts the extension by a renewal from the time of the request', async () => {
    const clock = new ManualClock();
    const term = new AuthorityTerm(grant, clock, { requestedMilliseconds: 0, ...validity });
    await clock.advance(8000);
    expect(term.renew({ requestedMilliseconds: 3000, ...validity })).toBe(true);
    expect(term.remainingMilliseconds).toBe(4000);
  });
});
