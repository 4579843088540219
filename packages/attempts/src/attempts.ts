/**
 * The attempts of a request: whether a retry follows, and whether a hedge is opened, which is a second
 * attempt beside an unanswered one.
 */

/** How much of a failed attempt may have reached its target. */
export type SendProgress = 'nothing' | 'maybe';

/** How an attempt ended. */
export type AttemptResult =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly final: boolean;
      readonly provablyNotExecuted: boolean;
      /**
       * Attempts at origins that a peer reports to have made for this response; null if it reports
       * none.
       */
      readonly consumedAttempts?: number | null;
    }
  | { readonly kind: 'failed'; readonly sent: SendProgress; readonly why: string };

/** One attempt of a request. */
export type Attempt = {
  readonly number: number;
  readonly to: { readonly kind: 'origin' | 'peer'; readonly id: string };
  readonly openedAt: number;
  readonly timeoutAt: number;
  readonly result: AttemptResult | null;
  /**
   * How many attempts at origins may be made through this one: the number granted to a peer.
   * Defaults to 1.
   */
  readonly delegatedAttempts?: number;
};

/** Whether a request that failed may have run, as reported to the client. */
export type Outcome = 'not-run' | 'unknown';

/**
 * The next step of a request: open another attempt, wait for those in flight, relay a response, or
 * fail.
 */
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

/** The maximum number of attempts of a request, unless its route sets another one. */
const defaultMaxAttempts = 3;

/** The outcome to report to the client: `not-run` only if every attempt provably executed nothing. */
export const outcomeOf = (attempts: readonly Attempt[]): Outcome =>
  attempts.every(({ result }) =>
    result !== null && result.kind === 'failed'
      ? result.sent === 'nothing'
      : result !== null && result.provablyNotExecuted,
  )
    ? 'not-run'
    : 'unknown';

/** The number of attempts at origins that one attempt has consumed or may still consume. */
const consumedBy = (attempt: Attempt): number => {
  const granted = attempt.delegatedAttempts ?? 1;
  if (attempt.to.kind === 'origin' || attempt.result === null) return granted;
  if (attempt.result.kind === 'failed') return attempt.result.sent === 'nothing' ? 0 : granted;
  return Math.min(granted, attempt.result.consumedAttempts ?? granted);
};

/**
 * Whether a method is safe to repeat by its definition alone.
 *
 * @example
 * isIdempotentMethod('GET') // true
 */
export const isIdempotentMethod = (method: string): boolean =>
  method === 'GET' || method === 'HEAD' || method === 'OPTIONS';

/**
 * The number of attempts at origins that a request has consumed over all nodes, as far as this node
 * can know. Attempts granted to a peer count as consumed until its response reports how many it
 * made, and forever if no response arrives.
 *
 * @example
 * consumedAttempts([originAttempt, peerAttemptGrantedTwoInFlight]) // 3
 */
export const consumedAttempts = (attempts: readonly Attempt[]): number =>
  attempts.reduce((sum, attempt) => sum + consumedBy(attempt), 0);

/**
 * Decides the next step of a request from its attempts alone. A request that isn't safe to repeat
 * gets another attempt only if every previous attempt provably executed nothing.
 *
 * @example
 * decideNextStep({ safe: false, attempts: [failedAttempt('maybe')], now: 5, requestDeadlineAt: 9, hasRetryBudget: true }) // fail, 502, unknown
 */
export const decideNextStep = (ledger: {
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
  const fail = (reason: string, isTimeout: boolean): RetryDecision => ({
    kind: 'fail',
    status: outcome === 'not-run' ? 503 : isTimeout ? 504 : 502,
    outcome,
    why: reason,
  });
  if (last === undefined)
    return ledger.now >= ledger.requestDeadlineAt
      ? fail('the deadline passed before an attempt was made', true)
      : { kind: 'open' };
  if (attempts.some((attempt) => attempt.result?.kind === 'answered' && attempt.result.final))
    return { kind: 'relay' };
  if (last.result === null || attempts.some((attempt) => attempt.result === null))
    return { kind: 'wait' };
  const reason = last.result.kind === 'failed' ? last.result.why : `answered ${last.result.status}`;
  const isTimeout = last.result.kind === 'failed' && last.result.why === 'limit';
  if (!ledger.safe && outcome === 'unknown') return fail(reason, isTimeout);
  if (ledger.now >= ledger.requestDeadlineAt) return fail(reason, true);
  if (attempts.length >= (ledger.maxAttempts ?? defaultMaxAttempts)) return fail(reason, isTimeout);
  if (!ledger.hasRetryBudget) return fail(reason, isTimeout);
  return { kind: 'open' };
};

/**
 * Whether a hedge may be opened beside an attempt that has not been answered for `hedgeDelayMs`:
 * only if executing the request twice does no harm, beside a single attempt in flight, and before
 * the request's deadline.
 *
 * @example
 * shouldHedge({ safe: true, attempts: [attemptInFlight], now: 200, requestDeadlineAt: 800, hasRetryBudget: true, hedgeDelayMs: 150 }) // true
 */
export const shouldHedge = (ledger: {
  readonly safe: boolean;
  readonly attempts: readonly Attempt[];
  readonly now: number;
  readonly requestDeadlineAt: number;
  readonly hasRetryBudget: boolean;
  readonly maxAttempts?: number;
  /** How long an attempt may take before it is hedged, in milliseconds. */
  readonly hedgeDelayMs: number;
}): boolean => {
  const { attempts } = ledger;
  const inFlight = attempts.filter((attempt) => attempt.result === null);
  const [single] = inFlight;
  return (
    ledger.safe &&
    ledger.hasRetryBudget &&
    inFlight.length === 1 &&
    single !== undefined &&
    attempts.length < (ledger.maxAttempts ?? defaultMaxAttempts) &&
    ledger.now < ledger.requestDeadlineAt &&
    ledger.now - single.openedAt >= ledger.hedgeDelayMs
  );
};
