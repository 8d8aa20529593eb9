/**
 * The oldest configuration that may decide on the requests of this instance's callers. What one receiver has decided by a
 * newer configuration must not be followed by decisions that only an older one allows.
 */
export class ConfigurationFloor {
  private version: number | undefined;

  private readonly onNewer: () => void;

  /** @param onNewer Called when a receiver has a newer configuration than this instance. */
  constructor(onNewer: () => void) {
    this.onNewer = onNewer;
  }

  /** The oldest version at which a receiver may decide, given that of this instance. */
  above(own: number | undefined): number | undefined {
    const versions = [own, this.version].filter((version) => version !== undefined);
    return versions.length === 0 ? undefined : Math.max(...versions);
  }

  /** Records the version of a receiver that has answered. */
  record(version: number | undefined, own: number | undefined): void {
    if (version !== undefined && version > (this.above(own) ?? Number.NEGATIVE_INFINITY)) {
      this.version = version;
      this.onNewer();
    }
  }
}
