/** Claims are let go an hour after they were last written, a few at a time. */
import { Limits, Sizes } from '@reedyard/constants';
import { minuteOf, withoutClaim } from './registers.js';
import { update, type Transition } from './state.js';

type ClaimMinute = { readonly minute: number; readonly key: string };

const expiredClaims = (
  { claimKeysByMinute }: Transition['state'],
  now: number,
): readonly ClaimMinute[] =>
  [...claimKeysByMinute]
    .filter(([minute]) => minute < minuteOf(now - Limits.claim))
    .flatMap(([minute, keys]) => [...keys.take(Sizes.claimSweep)].map((key) => ({ minute, key })))
    .slice(0, Sizes.claimSweep);

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
