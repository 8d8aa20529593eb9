/** Detects dead incarnations of instances. */
export abstract class InstanceLiveness {
  /** True if the incarnation is considered dead. It may only be paused or partitioned. */
  abstract isDead(incarnation: string): boolean;
}
