import { hashString } from 'hickoryrelay/RendezvousUtils';

import { HISTORY_MILLISECONDS, ObservationPeriod } from './ObservationPeriod.js';

import type { StreamTarget } from './StreamTarget.js';

/** Earlier tables that are kept. */
const MAXIMUM_FORMER_TABLES = 16;

/** Where a configuration sends requests. */
export interface RouteTable {
  /** Equal for tables that send the requests of every path to the same services. */
  readonly servicesFingerprint: string;

  /** The services with a share of the requests of a path; empty if no route takes them. */
  servicesFor(host: string, path: string): readonly string[];
}

interface FormerTable {
  readonly table: RouteTable;
  readonly replacedMilliseconds: number;
}

/**
 * The services to which the requests of each path have been sent within the history. Streams may have begun at any
 * of them. All times are in milliseconds on one clock that keeps running while the process is suspended.
 */
export class RouteHistory {
  private readonly period: ObservationPeriod;

  private current: RouteTable | undefined;

  private currentFingerprint: number | undefined;

  /** The oldest first. */
  private former: readonly FormerTable[] = [];

  /** @param boundMilliseconds Longest time between two reads of an instance whose view is current. */
  constructor(boundMilliseconds: number) {
    this.period = new ObservationPeriod(boundMilliseconds);
  }

  /**
   * Records the table in force. Returns whether some path may have other services than before.
   *
   * @param ageMilliseconds Time since the read of the table was requested.
   */
  observe(table: RouteTable, nowMilliseconds: number, ageMilliseconds: number): boolean {
    this.period.recordRead(nowMilliseconds - ageMilliseconds);
    const { current } = this;
    this.current = table;
    if (current?.servicesFingerprint !== table.servicesFingerprint) {
      this.currentFingerprint = hashString(table.servicesFingerprint);
    }
    const isChanged =
      current !== undefined && current.servicesFingerprint !== table.servicesFingerprint;
    if (isChanged) {
      this.former = [...this.former, { table: current, replacedMilliseconds: nowMilliseconds }];
    }
    this.expire(nowMilliseconds);
    return isChanged;
  }

  /** Identifies the services of all paths; undefined before the first table. */
  get fingerprint(): number | undefined {
    return this.currentFingerprint;
  }

  /** True if the table is current and no table of the history was missed. */
  isComplete(nowMilliseconds: number): boolean {
    return this.period.coversHistory(nowMilliseconds);
  }

  /** True if all paths have had the services of the table with the fingerprint, and no others. */
  isSettledOn(fingerprint: number, nowMilliseconds: number): boolean {
    return (
      this.isComplete(nowMilliseconds) &&
      this.former.length === 0 &&
      this.fingerprint === fingerprint
    );
  }

  /** True if streams of the target can have begun at its only service and at no other. */
  hasSoleService(target: StreamTarget, nowMilliseconds: number): boolean {
    return this.isComplete(nowMilliseconds) && this.hasSeenSoleService(target);
  }

  /** True if the target has one service and has had no other one, as far as this instance has seen. */
  hasSeenSoleService({ host, path, services }: StreamTarget): boolean {
    const [service] = services;
    const tables = [...this.former.map(({ table }) => table), this.current];
    return (
      services.length === 1 &&
      tables.every((table) => table?.servicesFor(host, path).every((known) => known === service))
    );
  }

  /** Keeps tables for the bound longer than they count, since other instances may still use them. */
  private expire(nowMilliseconds: number): void {
    const oldestMilliseconds =
      nowMilliseconds - HISTORY_MILLISECONDS - this.period.boundMilliseconds;
    this.former = this.former.filter(
      ({ replacedMilliseconds }) => replacedMilliseconds >= oldestMilliseconds,
    );
    if (this.former.length > MAXIMUM_FORMER_TABLES) {
      this.former = this.former.slice(-MAXIMUM_FORMER_TABLES);
      this.period.restart(nowMilliseconds);
    }
  }
}
