/** Adopts memberships that are known to be committed, and erases the disk that lost its slot. */
import { Map as ImmutableMap } from 'immutable';
import { emptyRegister, higherProposalNumber } from '@reedyard/consensus';
import {
  type CommittedMembership,
  isNewerMembership,
  type Membership,
  membershipKey,
} from './membership.js';
import { writeRegister } from './registers.js';
import { awaitRestore } from './restore.js';
import { isInMembership, isRetired, type ReplicaState, type Transition, update } from './state.js';

/**
 * Returns the membership that this replica has accepted, whether or not it is known to be chosen.
 */
const acceptedMembership = (state: ReplicaState): CommittedMembership | null => {
  const accepted = state.registers.get(membershipKey)?.accepted ?? null;
  if (accepted === null) return null;
  return { proposalNumber: accepted.proposalNumber, value: accepted.value as Membership };
};

/** Raises the membership's register, which must not be older than the committed membership. */
const raiseMembershipRegister = (
  transition: Transition,
  committed: CommittedMembership,
  now: number,
): void => {
  if (!isNewerMembership(committed, acceptedMembership(transition.state))) return;
  const { promised } = transition.state.registers.get(membershipKey) ?? emptyRegister;
  const register = {
    promised: higherProposalNumber(committed.proposalNumber, promised),
    accepted: committed,
  };
  writeRegister(transition, membershipKey, register, now);
};

/** Adopts a membership that is known to be committed, if it is newer than the one known before. */
export const adoptMembership = (
  transition: Transition,
  committed: CommittedMembership | null,
  now: number,
): void => {
  const before = transition.state.committedMembership;
  if (committed === null || !isNewerMembership(committed, before)) return;
  update(transition, { committedMembership: committed });
  // The register is written first, so that it is never older than a membership recorded on disk.
  raiseMembershipRegister(transition, committed, now);
  transition.effects.push({
    kind: 'append-records',
    records: [{ kind: 'membership-committed', membership: committed }],
  });
  const { epoch, refounded = 0 } = committed.value;
  awaitRestore(transition, refounded, now);
  if (epoch <= (before?.value.epoch ?? 0)) return;
  transition.effects.push({
    kind: 'log',
    event: 'members.learned',
    fields: { epoch, seated: isInMembership(transition.state) },
  });
};

/** Returns the new id of an erased disk: its first id, and the epoch in which it was erased. */
const erasedDiskIdOf = (diskId: string, epoch: number): string => {
  const [firstId = ''] = diskId.split('/', 1);
  return `${firstId}/${epoch}`;
};

/**
 * Erases everything that this disk voted for, since its successor has a copy. The replica then
 * waits for a slot as a blank disk, under a new disk id.
 */
export const eraseDisk = (transition: Transition): void => {
  const { state } = transition;
  const { committedMembership: membership, lastSequence: sequence } = state;
  if (membership === null || !isRetired(state)) return;
  const { epoch } = membership.value;
  const diskId = erasedDiskIdOf(state.diskId, epoch);
  update(transition, {
    diskId,
    hasBegunVoting: false,
    votingEpoch: 0,
    registers: ImmutableMap(),
    claimMinuteByKey: ImmutableMap(),
    claimKeysByMinute: ImmutableMap(),
    openPageReads: {},
    entries: [],
    sequenceByEntryKey: ImmutableMap(),
    truncatedUpTo: sequence,
    peerReads: {},
    retirement: null,
  });
  transition.effects.push(
    {
      kind: 'append-records',
      records: [
        { kind: 'disk-erased', diskId },
        { kind: 'membership-committed', membership },
        { kind: 'sequence-reached', sequence },
      ],
    },
    { kind: 'log', event: 'replica.replaced', fields: { epoch, disk: diskId } },
  );
};
