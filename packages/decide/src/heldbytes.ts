/**
 * One budget of bytes for all that a process holds for its callers: heads and
 * bodies that arrive, requests that wait, answers that are not taken. Each caller
 * has one account. If something doesn't fit, the largest and slowest account
 * gives way. Small accounts that make progress, and requests that an endpoint may
 * be running, never do; a part of the budget is kept for small accounts.
 */

/** Why an account has to give way: for others, or since it stands still. */
export type CutReason = 'memory' | 'stalled';

/** Whoever an account belongs to. */
export interface AccountHolder {
  /** Drops all that it holds, at once; the account is empty from then on. */
  cut(reason: CutReason): void;
}

/** Limits of the budget; read at each use. */
export interface HeldBytesOptions {
  readonly limitBytes: number;
  /** Time without progress from which on an account counts as stalled. */
  readonly stallMs: number;
}

/** Size up to which an account is small, in bytes. */
export const SMALL_ACCOUNT_BYTES = 131_072;

/** Part of the budget that accounts which are not small may use together. */
const LARGE_PART = 0.75;

/**
 * Part of the budget for requests that wait for others of their account. Their
 * heads are in the heap, which is smaller than the memory of the process.
 */
const WAITING_PART = 0.25;

/** Time without progress from which on a small account may give way, in ms. */
const SMALL_GRACE_MS = 2_000;

/** Unit of time in which an account without progress gains weight, in ms. */
const SLOWNESS_UNIT_MS = 1_000;

/** What one caller holds. */
export class ByteAccount {
  /** Bytes that are held now. */
  heldBytes = 0;
  /** Those of them that belong to requests which wait for others of its own. */
  waitingBytes = 0;
  /** Whether an endpoint may be running its request. */
  isServed = false;
  /** Whether it waits for the caller, to send or to take something. */
  awaitsCaller = false;
  isClosed = false;

  constructor(
    readonly holder: AccountHolder,
    public progressMs: number,
  ) {}

  /** The larger and the slower, the sooner it gives way. */
  weight(addedBytes: number, nowMs: number): number {
    const restMs = Math.max(0, nowMs - this.progressMs);
    return (this.heldBytes + addedBytes) * (1 + restMs / SLOWNESS_UNIT_MS);
  }

  mayGiveWay(nowMs: number): boolean {
    if (this.isServed || this.heldBytes === 0) return false;
    const isSlow = nowMs - this.progressMs >= SMALL_GRACE_MS;
    return isSlow || this.heldBytes > SMALL_ACCOUNT_BYTES;
  }
}

/** The budget of a process. */
export class HeldBytesBudget {
  private readonly accounts = new Set<ByteAccount>();
  private usedBytes = 0;
  private waitingBytes = 0;

  constructor(private readonly options: HeldBytesOptions) {}

  /** Bytes that all accounts hold. */
  get heldBytes(): number {
    return this.usedBytes;
  }

  open(holder: AccountHolder, nowMs: number): ByteAccount {
    const account = new ByteAccount(holder, nowMs);
    this.accounts.add(account);
    return account;
  }

  /**
   * Adds bytes to the account, after others gave way if need be. Returns false,
   * and adds nothing, if this account is the one that has to give way.
   */
  hold(account: ByteAccount, bytes: number, nowMs: number): boolean {
    if (account.isClosed) return false;
    const limitBytes = this.limitOf(account, bytes);
    while (this.usedBytes + bytes > limitBytes) {
      const heaviest = this.heaviest(nowMs);
      const isHeavier =
        heaviest !== undefined &&
        heaviest !== account &&
        heaviest.weight(0, nowMs) > account.weight(bytes, nowMs);
      if (!isHeavier) return false;
      this.cut(heaviest, 'memory');
    }
    this.add(account, bytes);
    return true;
  }

  /**
   * Adds the bytes of a request that waits for others of its account, if they fit
   * without others giving way.
   */
  holdWaiting(account: ByteAccount, bytes: number): boolean {
    if (account.isClosed) return false;
    const waitingLimitBytes = this.options.limitBytes * WAITING_PART;
    if (this.waitingBytes + bytes > waitingLimitBytes) return false;
    if (this.usedBytes + bytes > this.limitOf(account, bytes)) return false;
    this.add(account, bytes);
    account.waitingBytes += bytes;
    this.waitingBytes += bytes;
    return true;
  }

  /** Ends the wait of a request; its bytes stay with the account. */
  endWaiting(account: ByteAccount, bytes: number): void {
    const endedBytes = Math.min(bytes, account.waitingBytes);
    account.waitingBytes -= endedBytes;
    this.waitingBytes -= endedBytes;
  }

  /** Takes bytes off the account, at most those that it holds; returns them. */
  release(account: ByteAccount, bytes: number): number {
    const releasedBytes = Math.min(bytes, account.heldBytes);
    account.heldBytes -= releasedBytes;
    this.usedBytes -= releasedBytes;
    return releasedBytes;
  }

  /** Closes the account and releases what it holds. */
  close(account: ByteAccount): void {
    account.isClosed = true;
    this.endWaiting(account, account.waitingBytes);
    this.release(account, account.heldBytes);
    this.accounts.delete(account);
  }

  /** Cuts the accounts that have waited for their callers for too long. */
  cutStalled(nowMs: number): void {
    for (const account of this.accounts) {
      const restMs = nowMs - account.progressMs;
      if (account.awaitsCaller && restMs > this.options.stallMs) {
        this.cut(account, 'stalled');
      }
    }
  }

  /** What all accounts may hold after the bytes were added to this one. */
  private limitOf({heldBytes}: ByteAccount, addedBytes: number): number {
    const {limitBytes} = this.options;
    const isLarge = heldBytes + addedBytes > SMALL_ACCOUNT_BYTES;
    return isLarge ? limitBytes * LARGE_PART : limitBytes;
  }

  private add(account: ByteAccount, bytes: number): void {
    account.heldBytes += bytes;
    this.usedBytes += bytes;
  }

  private heaviest(nowMs: number): ByteAccount | undefined {
    let heaviest: ByteAccount | undefined;
    let weight = 0;
    for (const account of this.accounts) {
      if (!account.mayGiveWay(nowMs)) continue;
      const accountWeight = account.weight(0, nowMs);
      if (accountWeight <= weight) continue;
      heaviest = account;
      weight = accountWeight;
    }
    return heaviest;
  }

  private cut(account: ByteAccount, reason: CutReason): void {
    account.isClosed = true;
    account.holder.cut(reason);
    this.close(account);
  }
}
