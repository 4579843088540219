/** How far a failed leg may have got. */
export type Sent = 'nothing' | 'maybe';

/** How a leg ended. */
export type LegEnd =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly final: boolean;
      readonly notRun: boolean;
      /** Attempts at origins that a peer says it made for this answer; null where nobody says. */
      readonly spent?: number | null;
    }
  | { readonly kind: 'failed'; readonly sent: Sent; readonly why: string };

/** One attempt of a transaction. */
export type Leg = {
  readonly number: number;
  readonly to: { readonly kind: 'origin' | 'partner'; readonly id: string };
  readonly openedAt: number;
  readonly limitAt: number;
  readonly end: LegEnd | null;
  /**
   * Attempts at origins that may be made through this one: those granted to a peer. Left out: one.
   */
  readonly granted?: number;
};

/** What a caller learns of a transaction that was given up. */
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

/** Legs of one transaction at most, where its route does not say. */
const mostLegs = 3;

const outcomeOf = (legs: readonly Leg[]): Outcome =>
  legs.every(({ end }) =>
    end !== null && end.kind === 'failed' ? end.sent === 'nothing' : end !== null && end.notRun,
  )
    ? 'not-run'
    : 'unknown';

/** Attempts at origins that one attempt has used up, or may still use. */
const spentBy = (leg: Leg): number => {
  const granted = leg.granted ?? 1;
  if (leg.to.kind === 'origin' || leg.end === null) return granted;
  if (leg.end.kind === 'failed') return leg.end.sent === 'nothing' ? 0 : granted;
  return Math.min(granted, leg.end.spent ?? granted);
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
   * Attempts.spent([originLeg, peerLegGrantedTwoUnanswered]) // 3
   */
  spent: (legs: readonly Leg[]): number => legs.reduce((sum, leg) => sum + spentBy(leg), 0),

  /**
   * The next move, from the ledger alone. An unsafe transaction gets a second leg only if every leg
   * before it provably ran nothing.
   *
   * @example
   * Attempts.next({ safe: false, legs: [failedLeg('maybe')], now: 5, limitAt: 9, mayRepeat: true }) // give-up, 502, unknown
   */
  next: (ledger: {
    readonly safe: boolean;
    readonly legs: readonly Leg[];
    readonly now: number;
    readonly limitAt: number;
    readonly mayRepeat: boolean;
    readonly most?: number;
  }): Move => {
    const { legs } = ledger;
    const last = legs.at(-1);
    const outcome = outcomeOf(legs);
    const giveUp = (why: string, late: boolean): Move => ({
      kind: 'give-up',
      status: outcome === 'not-run' ? 503 : late ? 504 : 502,
      outcome,
      why,
    });
    if (last === undefined)
      return ledger.now >= ledger.limitAt
        ? giveUp('the limit was reached before a leg was made', true)
        : { kind: 'open' };
    if (legs.some((leg) => leg.end?.kind === 'answered' && leg.end.final)) return { kind: 'relay' };
    if (last.end === null || legs.some((leg) => leg.end === null)) return { kind: 'wait' };
    const why = last.end.kind === 'failed' ? last.end.why : `answered ${last.end.status}`;
    const late = last.end.kind === 'failed' && last.end.why === 'limit';
    if (!ledger.safe && outcome === 'unknown') return giveUp(why, late);
    if (ledger.now >= ledger.limitAt) return giveUp(why, true);
    if (legs.length >= (ledger.most ?? mostLegs)) return giveUp(why, late);
    if (!ledger.mayRepeat) return giveUp(why, late);
    return { kind: 'open' };
  },

  /**
   * Whether a second attempt may be made beside one that is silent (a hedge): only where running
   * twice does no harm, only beside a single one, and only while its answer could still be of use.
   *
   * @example
   * Attempts.mayHedge({ safe: true, legs: [silentLeg], now: 200, limitAt: 800, mayRepeat: true, silentMs: 150 }) // true
   */
  mayHedge: (ledger: {
    readonly safe: boolean;
    readonly legs: readonly Leg[];
    readonly now: number;
    readonly limitAt: number;
    readonly mayRepeat: boolean;
    readonly most?: number;
    /** ms after which an attempt counts as silent. */ readonly silentMs: number;
  }): boolean => {
    const { legs } = ledger;
    const live = legs.filter((leg) => leg.end === null);
    const [only] = live;
    return (
      ledger.safe &&
      ledger.mayRepeat &&
      live.length === 1 &&
      only !== undefined &&
      legs.length < (ledger.most ?? mostLegs) &&
      ledger.now < ledger.limitAt &&
      ledger.now - only.openedAt >= ledger.silentMs
    );
  },
} as const;
