/** Tells which incarnations of instances have ended. */
export abstract class InstanceLiveness {
  /** True if the incarnation is believed dead. A paused or cut-off instance may be among them. */
  abstract isDead(incarnation: string): boolean;
}
