import type { UsageLineEntry } from 'hickoryrelay-link/PeerMessages';

/** Sums of usage by account, class, subject and window. */
export class UsageTotals {
  private readonly lines = new Map<string, UsageLineEntry>();

  add(line: UsageLineEntry): void {
    const [account, className, subject, window, calls, prompt, completion] = line;
    const key = JSON.stringify([account, className, subject, window]);
    const previous = this.lines.get(key);
    this.lines.set(key, [
      account,
      className,
      subject,
      window,
      calls + (previous?.[4] ?? 0),
      prompt + (previous?.[5] ?? 0),
      completion + (previous?.[6] ?? 0),
    ]);
  }

  /** The sums in a fixed order, so that equal totals are encoded equally. */
  entries(): UsageLineEntry[] {
    return [...this.lines]
      .toSorted(([left], [right]) => (left < right ? -1 : 1))
      .map(([, line]) => line);
  }
}
