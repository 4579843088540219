/** Removes claims an hour after they were last written, in batches. */
import { minuteOf, withoutClaim } from './registers.js';
import { type Transition, update } from './state.js';

/**
 * How long a claim is kept after its last write, in milliseconds of the replica's own running time.
 */
export const claimRetentionMs = 3_600_000;

/** Claims removed in one sweep, which runs once a second: so many take a few milliseconds. */
const maxClaimsExpiredPerSweep = 2_000;

type ClaimMinute = { readonly minute: number; readonly key: string };

const expiredClaims = (
  { claimKeysByMinute }: Transition['state'],
  now: number,
): readonly ClaimMinute[] =>
  [...claimKeysByMinute]
    .filter(([minute]) => minute < minuteOf(now - claimRetentionMs))
    .flatMap(([minute, keys]) =>
      [...keys.take(maxClaimsExpiredPerSweep)].map((key) => ({ minute, key })),
    )
    .slice(0, maxClaimsExpiredPerSweep);

/**
 * Removes expired claims. The removal is not written to disk: after a restart claims that are still
 * on disk count as new again.
 */
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
