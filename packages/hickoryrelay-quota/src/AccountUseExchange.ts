import { addUses, smallerUse, subtractUse } from './AccountUse.js';
import { AccountUseSums } from './AccountUseSums.js';
import { ReportSelection } from './ReportSelection.js';

import type { AccountQuotas } from './AccountQuotas.js';
import type { AccountUse, AccountUseReport } from './AccountUse.js';
import type { Clock } from 'hickoryrelay/Clock';

/** Scope of a digest, which the latest relay defines. */
const ALL_OTHERS = '';

/**
 * Exchanges the use of accounts with the other instances, directly or through the relays of the zones.
 * Every instance sums the reports of its zone and of other zones in case it is the relay. Without
 * accounts that have a quota there is nothing to report.
 */
export class AccountUseExchange {
  private readonly quotas: AccountQuotas;

  private readonly clock: Clock;

  private readonly direct = new AccountUseSums();

  /** The use of all other instances according to the last digests. */
  private readonly digests = new AccountUseSums();

  private readonly members = new AccountUseSums();

  private readonly zones = new AccountUseSums();

  private readonly ownSelection = new ReportSelection();

  private readonly digestSelection = new ReportSelection();

  private readonly zoneSelection = new ReportSelection();

  /** The two latest reports of this instance; a digest includes one of them, or an earlier one. */
  private lastReports: readonly (readonly AccountUse[])[] = [[], []];

  private readonly isPlausible: (use: AccountUse) => boolean;

  constructor(quotas: AccountQuotas, clock: Clock) {
    this.quotas = quotas;
    this.clock = clock;
    this.isPlausible = (use) => quotas.isPlausible(use);
  }

  /** The use of this instance. Undefined if no account has a quota. */
  ownReport(now: number): AccountUseReport | undefined {
    if (!this.quotas.isActive) {
      return undefined;
    }
    const report = this.select(this.ownSelection, 1, this.quotas.report(now));
    this.lastReports = [report.accounts, this.lastReports[0] ?? []];
    return report;
  }

  /** Applies the report of an instance that sends to all others. */
  receiveDirect(sender: string, report: AccountUseReport | undefined, now: number): void {
    if (report !== undefined) {
      this.direct.receive({ scope: sender, sender }, report, this.isPlausible, now);
    }
    this.refreshDirect(now);
  }

  /** Applies the direct reports that have not expired. */
  refreshDirect(now: number): void {
    if (this.quotas.isActive) {
      this.quotas.receive(this.direct.sumAt(now), now);
    }
  }

  /** Applies the digest of the relay of the zone. */
  receiveDigest(relay: string, report: AccountUseReport | undefined, now: number): void {
    if (report === undefined) {
      return;
    }
    this.direct.clear();
    const [last = [], secondLast = []] = this.lastReports;
    const earlier = new Map(secondLast.map((use) => [use.account, use]));
    const own = new Map(
      last.flatMap((use) => {
        const before = earlier.get(use.account);
        return before === undefined ? [] : [[use.account, smallerUse(use, before)]];
      }),
    );
    const accounts = report.accounts.map((sum) => {
      const part = own.get(sum.account);
      return part === undefined ? sum : subtractUse(sum, part);
    });
    const instances = Math.max(0, report.instances - 1);
    const source = { scope: ALL_OTHERS, sender: relay };
    this.digests.receive(source, { ...report, instances, accounts }, this.isPlausible, now);
    this.quotas.receive(this.digests.sumAt(now), now);
  }

  /** As the relay of the zone, takes the report of an instance of the zone. */
  addMember(sender: string, report: AccountUseReport | undefined, now: number): void {
    if (report !== undefined) {
      const source = { scope: sender, sender };
      this.members.receive(source, { ...report, instances: 1 }, this.isPlausible, now);
    }
  }

  /** As the relay of the zone, takes the sums of another zone. */
  addZone(zone: string, relay: string, report: AccountUseReport | undefined, now: number): void {
    if (report !== undefined) {
      this.zones.receive({ scope: zone, sender: relay }, report, this.isPlausible, now);
    }
  }

  /** As the relay of the zone, returns the sums of all instances. */
  digest(now: number): AccountUseReport | undefined {
    if (!this.quotas.isActive) {
      return undefined;
    }
    const zone = this.members.sumAt(now);
    const others = this.zones.sumAt(now);
    const sums = new Map(zone.accounts);
    for (const [account, use] of others.accounts) {
      const sum = sums.get(account);
      sums.set(account, sum === undefined ? use : addUses(sum, use));
    }
    return this.select(this.digestSelection, zone.instances + others.instances, sums.values());
  }

  /** As the relay of the zone, returns the sums of the zone for the relays of other zones. */
  zoneReport(now: number): AccountUseReport | undefined {
    if (!this.quotas.isActive) {
      return undefined;
    }
    const { instances, accounts } = this.members.sumAt(now);
    return this.select(this.zoneSelection, instances, accounts.values());
  }

  private select(
    selection: ReportSelection,
    instances: number,
    uses: Iterable<AccountUse>,
  ): AccountUseReport {
    return {
      instances,
      sentMilliseconds: Math.round(this.clock.wallMilliseconds()),
      ...selection.select([...uses], (use) => this.quotas.pressureOf(use)),
    };
  }
}
