/**
 * Restores values after most disks were lost: members of a cluster that was founded anew take part
 * in nothing until agents have sent them the values that they know to be chosen.
 */
import { compareProposalNumbers, emptyRegister, mergeRegisters } from '@reedyard/consensus';
import { appendEntries } from './journal.js';
import { membershipKey } from './membership.js';
import type { ReplicaOperation } from './messages.js';
import { writeRegister } from './registers.js';
import { type Transition, update } from './state.js';

/**
 * After the cluster was founded anew, replicas take part in nothing until restores by agents have
 * brought nothing new for this time, in milliseconds: six poll intervals of an agent.
 */
const restoreQuietMs = 1_500;

type RestoreOperation = Extract<ReplicaOperation, { kind: 'restore' }>;

/** Adopts values that are newer than the replica's current, with their proposal numbers. */
const restoreRegisters = (
  transition: Transition,
  registers: RestoreOperation['registers'],
  now: number,
): boolean => {
  let isChanged = false;
  for (const [key, accepted] of registers) {
    if (key === membershipKey) continue;
    const current = transition.state.registers.get(key) ?? emptyRegister;
    const isKnown =
      current.accepted !== null &&
      compareProposalNumbers(accepted.proposalNumber, current.accepted.proposalNumber) <= 0;
    if (isKnown) continue;
    const restored = { promised: accepted.proposalNumber, accepted };
    writeRegister(transition, key, mergeRegisters(current, restored), now);
    isChanged = true;
  }
  return isChanged;
};

/** Adopts values and entries from before the loss. Anything new extends the wait for more. */
export const restore = (
  transition: Transition,
  { registers, entries }: RestoreOperation,
  now: number,
): void => {
  const { lastSequence } = transition.state;
  const hasNewRegisters = restoreRegisters(transition, registers, now);
  appendEntries(transition, entries, now);
  const isAnythingNew = hasNewRegisters || transition.state.lastSequence > lastSequence;
  if (isAnythingNew && now < transition.state.recoveringUntil)
    update(transition, { recoveringUntil: now + restoreQuietMs });
};

/**
 * Starts the wait for restores by agents. Every member waits: also a member that kept its disk,
 * since it may lack values that the lost disks had, and a member that read the others before they
 * were restored.
 *
 * @param refoundedEpoch the epoch of the latest founding after a loss; 0 if there was none
 */
export const awaitRestore = (transition: Transition, refoundedEpoch: number, now: number): void => {
  if (refoundedEpoch <= transition.state.lastRefoundedEpoch) return;
  update(transition, {
    lastRefoundedEpoch: refoundedEpoch,
    recoveringUntil: now + restoreQuietMs,
  });
};
