import { ResponseAccount, ResponsePart } from './ResponseAccount.js';

/** Counts what the responses of all endpoints hold together. */
export class ResponseMemory {
  private readonly accounts = new Set<ResponseAccount>();

  private readonly used: Record<ResponsePart, number> = {
    [ResponsePart.Received]: 0,
    [ResponsePart.Retained]: 0,
  };

  /** What is held in one place. */
  usedIn(part: ResponsePart): number {
    return this.used[part];
  }

  /** Responses that have been sent for and are not complete. */
  get openResponses(): number {
    return this.accounts.size;
  }

  /** Records that a response is waited for. */
  open(now: number): ResponseAccount {
    const account = new ResponseAccount(this, now);
    this.accounts.add(account);
    return account;
  }

  /** Adds to the sum. Called by accounts. */
  addBytes(part: ResponsePart, bytes: number): void {
    this.used[part] += bytes;
  }

  /** Forgets a response. Called by accounts. */
  remove(account: ResponseAccount): void {
    this.accounts.delete(account);
  }
}
