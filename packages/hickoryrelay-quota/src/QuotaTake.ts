/** What a take does at the quota of its account. */
export interface QuotaTakeActions {
  /** Gives back what was taken. */
  readonly release: () => void;
  /** Takes the cost once more. */
  readonly repeat: () => void;
}

/** What one admitted request has taken from the quota of its account. */
export class QuotaTake {
  private readonly actions: QuotaTakeActions;

  private isOpen = true;

  constructor(actions: QuotaTakeActions) {
    this.actions = actions;
  }

  /** Gives the cost back because no endpoint ran the request. Further calls have no effect. */
  giveBack(): void {
    if (this.isOpen) {
      this.isOpen = false;
      this.actions.release();
    }
  }

  /**
   * Counts a further run of the request, without a decision. The cost can no longer be given back,
   * since an earlier run is the reason.
   */
  addRun(): void {
    this.isOpen = false;
    this.actions.repeat();
  }
}
