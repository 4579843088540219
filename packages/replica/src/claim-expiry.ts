/** Claims are let go an hour after they were last written, a few at a time. */
import { minuteOf, withoutClaim } from './registers.js';
import { type Transition, update } from './state.js';

/** ms. A claim is kept this long of the replica's own running time. */
export const claimRetentionMs = 3_600_000;

/** lapsed claims let go in one sweep a second: some milliseconds. */
const claimsExpiredAtOnce = 2_000;

type ClaimMinute = { readonly minute: number; readonly key: string };

const expiredClaims = (
  { claimKeysByMinute }: Transition['state'],
  now: number,
): readonly ClaimMinute[] =>
  [...claimKeysByMinute]
    .filter(([minute]) => minute < minuteOf(now - claimRetentionMs))
    .flatMap(([minute, keys]) =>
      [...keys.take(claimsExpiredAtOnce)].map((key) => ({ minute, key })),
    )
    .slice(0, claimsExpiredAtOnce);

/** Lets expired claims go. Their registers are not recorded: a restart reads them as new again. */
export const expireClaims = (transition: Transition, now: number): void => {
  const { state } = transition;
  const expired = expiredClaims(state, now);
  if (expired.length === 0) return;
  const keys = expired.map(({ key }) => key);
  update(transition, {
    registers: state.registers.deleteAll(keys),
    claimMinuteByKey: state.claimMinuteByKey.deleteAll(keys),
    claimKeysByMinute: expired.reduce(
      (keysByMinute, { minute, key }) => withoutClaim(keysByMinute, minute, key),
      state.claimKeysByMinute,
    ),
  });
};
