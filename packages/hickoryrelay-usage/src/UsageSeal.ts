import { WINDOW_MILLISECONDS } from './UsageWindow.js';
import type { CountedMark, UsageLineEntry } from 'hickoryrelay-link/PeerMessages';
import type { UsageLine, UsageReport } from 'hickoryrelay-platform/UsageReportSink';

const USAGE_PREFIX = '/hickoryrelay/usage/';

/** The sealed usage of one zone and window. Immutable once written. */
export interface UsageSeal {
  readonly window: number;
  readonly fencingNumber: number;
  readonly lines: readonly UsageLineEntry[];
}

/** The mark of one incarnation, and the window that last changed it. */
export type SealedMark = readonly [incarnation: string, mark: CountedMark, changedWindow: number];

/** What the seals of a zone count so far. Written in one transaction with each seal. */
export interface CountedState {
  /** Newest sealed window; 0 if there is none. */
  readonly sealed: number;
  /** Sealed windows, oldest first, that were not reported when the newest was sealed. */
  readonly unreported: readonly number[];
  readonly marks: readonly SealedMark[];
}

export const EMPTY_COUNTED_STATE: CountedState = { sealed: 0, unreported: [], marks: [] };

export function sealKey(zone: string, window: number): string {
  return `${USAGE_PREFIX}${zone}/${window}`;
}

export function countedKey(zone: string): string {
  return `${USAGE_PREFIX}${zone}/counted`;
}

export function reportedKey(zone: string): string {
  return `${USAGE_PREFIX}${zone}/reported`;
}

function lineOf(entry: UsageLineEntry, window: number): UsageLine {
  const [account, className, subject, closedWindow, calls, promptTokens, completionTokens] = entry;
  const line = { account, className, subject, calls, promptTokens, completionTokens };
  return closedWindow === window
    ? line
    : { ...line, correctedWindowStartMilliseconds: closedWindow * WINDOW_MILLISECONDS };
}

/** Creates the report of a seal. Its lines do not depend on which instance reports it. */
export function reportOf(zone: string, seal: UsageSeal, fencingNumber: number): UsageReport {
  return {
    zone,
    windowStartMilliseconds: seal.window * WINDOW_MILLISECONDS,
    fencingNumber,
    lines: seal.lines.map((line) => lineOf(line, seal.window)),
  };
}
