/**
 * Restoring after most disks were lost: members that founded the state anew take part in nothing
 * until agents have told them again what they know to have been chosen.
 */
import { compareProposalNumbers, emptyRegister, mergeRegisters } from '@reedyard/consensus';
import { appendEntries } from './journal.js';
import { membershipKey } from './membership.js';
import type { ReplicaOperation } from './messages.js';
import { writeRegister } from './registers.js';
import { type Transition, update } from './state.js';

/**
 * ms. Replicas that founded the state anew, after most disks were lost, take part in nothing until
 * they have heard no news this long from agents that tell again what they knew: six of their polls.
 */
const restoreQuietMs = 1_500;

type RestoreOperation = Extract<ReplicaOperation, { kind: 'restore' }>;

/** Takes over values that are newer here, under the numbers they were chosen with. */
const restoreRegisters = (
  transition: Transition,
  registers: RestoreOperation['registers'],
  now: number,
): boolean => {
  let isChanged = false;
  for (const [key, accepted] of registers) {
    if (key === membershipKey) continue;
    const own = transition.state.registers.get(key) ?? emptyRegister;
    const isKnown =
      own.accepted !== null &&
      compareProposalNumbers(accepted.proposalNumber, own.accepted.proposalNumber) <= 0;
    if (isKnown) continue;
    const restored = { promised: accepted.proposalNumber, accepted };
    writeRegister(transition, key, mergeRegisters(own, restored), now);
    isChanged = true;
  }
  return isChanged;
};

/** Takes over what was chosen before. Anything new makes the replica wait for more. */
export const restore = (
  transition: Transition,
  { registers, entries }: RestoreOperation,
  now: number,
): void => {
  const { lastSequence } = transition.state;
  const hasNewRegisters = restoreRegisters(transition, registers, now);
  appendEntries(transition, entries, now);
  const hasNews = hasNewRegisters || transition.state.lastSequence > lastSequence;
  if (hasNews && now < transition.state.recoveringUntil)
    update(transition, { recoveringUntil: now + restoreQuietMs });
};

/**
 * Every member waits for what agents tell again: also one that kept its disk, since it may lack
 * what the others had, and one that read the others before they were told.
 *
 * @param refoundedEpoch the epoch of the newest founding after a loss; 0 where there was none
 */
export const awaitRestore = (transition: Transition, refoundedEpoch: number, now: number): void => {
  if (refoundedEpoch <= transition.state.lastRefoundedEpoch) return;
  update(transition, {
    lastRefoundedEpoch: refoundedEpoch,
    recoveringUntil: now + restoreQuietMs,
  });
};
