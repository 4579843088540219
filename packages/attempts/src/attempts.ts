/** Attempts of a request: whether there is another one, and whether there is a hedge. */

/** How far a failed attempt may have got. */
export type Sent = 'nothing' | 'maybe';

/** How an attempt ended. */
export type AttemptResult =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly final: boolean;
      readonly provablyNotExecuted: boolean;
      /** Attempts at origins that a peer says it made for this answer; null where nobody says. */
      readonly consumedAttempts?: number | null;
    }
  | { readonly kind: 'failed'; readonly sent: Sent; readonly why: string };

/** One attempt of a request. */
export type Attempt = {
  readonly number: number;
  readonly to: { readonly kind: 'origin' | 'peer'; readonly id: string };
  readonly openedAt: number;
  readonly timeoutAt: number;
  readonly result: AttemptResult | null;
  /**
   * Attempts at origins that may be made through this one: those granted to a peer. Left out: one.
   */
  readonly delegatedAttempts?: number;
};

/** What a caller learns of a request that was given up. */
export type Outcome = 'not-run' | 'unknown';

/** What follows from the attempts so far: another attempt, a wait, an answer, or a failure. */
export type RetryDecision =
  | { readonly kind: 'open' }
  | { readonly kind: 'wait' }
  | { readonly kind: 'relay' }
  | {
      readonly kind: 'fail';
      readonly status: 502 | 503 | 504;
      readonly outcome: Outcome;
      readonly why: string;
    };

/** Attempts of one request at most, where its route does not say. */
const defaultMaxAttempts = 3;

/** What the client may be told: `not-run` only if every attempt provably executed nothing. */
export const outcomeOf = (attempts: readonly Attempt[]): Outcome =>
  attempts.every(({ result: end }) =>
    end !== null && end.kind === 'failed'
      ? end.sent === 'nothing'
      : end !== null && end.provablyNotExecuted,
  )
    ? 'not-run'
    : 'unknown';

/** Attempts at origins that one attempt has used up, or may still use. */
const consumedBy = (attempt: Attempt): number => {
  const granted = attempt.delegatedAttempts ?? 1;
  if (attempt.to.kind === 'origin' || attempt.result === null) return granted;
  if (attempt.result.kind === 'failed') return attempt.result.sent === 'nothing' ? 0 : granted;
  return Math.min(granted, attempt.result.consumedAttempts ?? granted);
};

/** @example isIdempotentMethod('GET') // true */
export const isIdempotentMethod = (method: string): boolean =>
  method === 'GET' || method === 'HEAD' || method === 'OPTIONS';

/**
 * Attempts at origins that a request has used up over all nodes, as far as this node can know: a
 * peer holds what it was granted until its answer says what it used, and for ever where no answer
 * comes.
 *
 * @example
 * consumedAttempts([originAttempt, peerAttemptGrantedTwoUnanswered]) // 3
 */
export const consumedAttempts = (attempts: readonly Attempt[]): number =>
  attempts.reduce((sum, attempt) => sum + consumedBy(attempt), 0);

/**
 * The next move, from the ledger alone. An unsafe request gets a second attempt only if every
 * attempt before it provably ran nothing.
 *
 * @example
 * nextMove({ safe: false, attempts: [failedAttempt('maybe')], now: 5, limitAt: 9, mayRepeat: true }) // give-up, 502, unknown
 */
export const nextMove = (ledger: {
  readonly safe: boolean;
  readonly attempts: readonly Attempt[];
  readonly now: number;
  readonly requestDeadlineAt: number;
  readonly hasRetryBudget: boolean;
  readonly maxAttempts?: number;
}): RetryDecision => {
  const { attempts } = ledger;
  const last = attempts.at(-1);
  const outcome = outcomeOf(attempts);
  const giveUp = (why: string, late: boolean): RetryDecision => ({
    kind: 'fail',
    status: outcome === 'not-run' ? 503 : late ? 504 : 502,
    outcome,
    why,
  });
  if (last === undefined)
    return ledger.now >= ledger.requestDeadlineAt
      ? giveUp('the limit was reached before an attempt was made', true)
      : { kind: 'open' };
  if (attempts.some((attempt) => attempt.result?.kind === 'answered' && attempt.result.final))
    return { kind: 'relay' };
  if (last.result === null || attempts.some((attempt) => attempt.result === null))
    return { kind: 'wait' };
  const why = last.result.kind === 'failed' ? last.result.why : `answered ${last.result.status}`;
  const late = last.result.kind === 'failed' && last.result.why === 'limit';
  if (!ledger.safe && outcome === 'unknown') return giveUp(why, late);
  if (ledger.now >= ledger.requestDeadlineAt) return giveUp(why, true);
  if (attempts.length >= (ledger.maxAttempts ?? defaultMaxAttempts)) return giveUp(why, late);
  if (!ledger.hasRetryBudget) return giveUp(why, late);
  return { kind: 'open' };
};

/**
 * Whether a second attempt may be made beside one that is silent (a hedge): only where running
 * twice does no harm, only beside a single one, and only while its answer could still be of use.
 *
 * @example
 * shouldHedge({ safe: true, attempts: [silentAttempt], now: 200, limitAt: 800, mayRepeat: true, silentMs: 150 }) // true
 */
export const shouldHedge = (ledger: {
  readonly safe: boolean;
  readonly attempts: readonly Attempt[];
  readonly now: number;
  readonly limitAt: number;
  readonly hasRetryBudget: boolean;
  readonly maxAttempts?: number;
  /** ms after which an attempt counts as silent. */ readonly hedgeDelayMs: number;
}): boolean => {
  const { attempts } = ledger;
  const live = attempts.filter((attempt) => attempt.result === null);
  const [only] = live;
  return (
    ledger.safe &&
    ledger.hasRetryBudget &&
    live.length === 1 &&
    only !== undefined &&
    attempts.length < (ledger.maxAttempts ?? defaultMaxAttempts) &&
    ledger.now < ledger.limitAt &&
    ledger.now - only.openedAt >= ledger.hedgeDelayMs
  );
};
