/** Attempts of a request: whether there is another one, and whether there is a hedge. */
export {
  type Attempt,
  type AttemptResult,
  consumedAttempts,
  isIdempotentMethod,
  nextMove,
  type Outcome,
  outcomeOf,
  type RetryDecision,
  type Sent,
  shouldHedge,
} from './attempts.js';
