/** How far a failed attempt may have got. */
export type Sent = 'nothing' | 'maybe';

/** How an attempt ended. */
export type AttemptEnd =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly final: boolean;
      readonly notRun: boolean;
      /** Attempts at origins that a peer says it made for this answer; null where nobody says. */
      readonly spent?: number | null;
    }
  | { readonly kind: 'failed'; readonly sent: Sent; readonly why: string };

/** One attempt of a request. */
export type Attempt = {
  readonly number: number;
  readonly to: { readonly kind: 'origin' | 'peer'; readonly id: string };
  readonly openedAt: number;
  readonly limitAt: number;
  readonly end: AttemptEnd | null;
  /**
   * Attempts at origins that may be made through this one: those granted to a peer. Left out: one.
   */
  readonly granted?: number;
};

/** What a caller learns of a request that was given up. */
export type Outcome = 'not-run' | 'unknown';

export type Move =
  | { readonly kind: 'open' }
  | { readonly kind: 'wait' }
  | { readonly kind: 'relay' }
  | {
      readonly kind: 'give-up';
      readonly status: 502 | 503 | 504;
      readonly outcome: Outcome;
      readonly why: string;
    };

/** Attempts of one request at most, where its route does not say. */
const mostAttempts = 3;

const outcomeOf = (attempts: readonly Attempt[]): Outcome =>
  attempts.every(({ end }) =>
    end !== null && end.kind === 'failed' ? end.sent === 'nothing' : end !== null && end.notRun,
  )
    ? 'not-run'
    : 'unknown';

/** Attempts at origins that one attempt has used up, or may still use. */
const spentBy = (attempt: Attempt): number => {
  const granted = attempt.granted ?? 1;
  if (attempt.to.kind === 'origin' || attempt.end === null) return granted;
  if (attempt.end.kind === 'failed') return attempt.end.sent === 'nothing' ? 0 : granted;
  return Math.min(granted, attempt.end.spent ?? granted);
};

export const Attempts = {
  /** @example Attempts.safe('GET') // true */
  safe: (method: string): boolean => method === 'GET' || method === 'HEAD' || method === 'OPTIONS',

  outcomeOf,

  /**
   * Attempts at origins that a request has used up over all nodes, as far as this node can know: a
   * peer holds what it was granted until its answer says what it used, and for ever where no answer
   * comes.
   *
   * @example
   * Attempts.spent([originAttempt, peerAttemptGrantedTwoUnanswered]) // 3
   */
  spent: (attempts: readonly Attempt[]): number =>
    attempts.reduce((sum, attempt) => sum + spentBy(attempt), 0),

  /**
   * The next move, from the ledger alone. An unsafe request gets a second attempt only if every
   * attempt before it provably ran nothing.
   *
   * @example
   * Attempts.next({ safe: false, attempts: [failedAttempt('maybe')], now: 5, limitAt: 9, mayRepeat: true }) // give-up, 502, unknown
   */
  next: (ledger: {
    readonly safe: boolean;
    readonly attempts: readonly Attempt[];
    readonly now: number;
    readonly limitAt: number;
    readonly mayRepeat: boolean;
    readonly most?: number;
  }): Move => {
    const { attempts } = ledger;
    const last = attempts.at(-1);
    const outcome = outcomeOf(attempts);
    const giveUp = (why: string, late: boolean): Move => ({
      kind: 'give-up',
      status: outcome === 'not-run' ? 503 : late ? 504 : 502,
      outcome,
      why,
    });
    if (last === undefined)
      return ledger.now >= ledger.limitAt
        ? giveUp('the limit was reached before an attempt was made', true)
        : { kind: 'open' };
    if (attempts.some((attempt) => attempt.end?.kind === 'answered' && attempt.end.final))
      return { kind: 'relay' };
    if (last.end === null || attempts.some((attempt) => attempt.end === null))
      return { kind: 'wait' };
    const why = last.end.kind === 'failed' ? last.end.why : `answered ${last.end.status}`;
    const late = last.end.kind === 'failed' && last.end.why === 'limit';
    if (!ledger.safe && outcome === 'unknown') return giveUp(why, late);
    if (ledger.now >= ledger.limitAt) return giveUp(why, true);
    if (attempts.length >= (ledger.most ?? mostAttempts)) return giveUp(why, late);
    if (!ledger.mayRepeat) return giveUp(why, late);
    return { kind: 'open' };
  },

  /**
   * Whether a second attempt may be made beside one that is silent (a hedge): only where running
   * twice does no harm, only beside a single one, and only while its answer could still be of use.
   *
   * @example
   * Attempts.mayHedge({ safe: true, attempts: [silentAttempt], now: 200, limitAt: 800, mayRepeat: true, silentMs: 150 }) // true
   */
  mayHedge: (ledger: {
    readonly safe: boolean;
    readonly attempts: readonly Attempt[];
    readonly now: number;
    readonly limitAt: number;
    readonly mayRepeat: boolean;
    readonly most?: number;
    /** ms after which an attempt counts as silent. */ readonly silentMs: number;
  }): boolean => {
    const { attempts } = ledger;
    const live = attempts.filter((attempt) => attempt.end === null);
    const [only] = live;
    return (
      ledger.safe &&
      ledger.mayRepeat &&
      live.length === 1 &&
      only !== undefined &&
      attempts.length < (ledger.most ?? mostAttempts) &&
      ledger.now < ledger.limitAt &&
      ledger.now - only.openedAt >= ledger.silentMs
    );
  },
} as const;
