import { Map as Table } from 'immutable';
import { compareProposalNumbers, emptyRegister } from '@reedyard/consensus';
import { Limits } from '@reedyard/constants';
import {
  type CommittedMembership,
  isNewerMembership,
  type Membership,
  membershipKey,
  type Predecessor,
} from './messages.js';
import { keepCell } from './registers.js';
import {
  isInMembership,
  isRetired,
  type ReplicaState,
  slotOf,
  type Transition,
  update,
} from './state.js';

/**
 * Membership as one replica knows it: which members are committed, and what follows for this disk.
 */

/**
 * Whether this replica may take part in founding the state: only at the very first start, at a
 * seed's address, blank and not told of members.
 */
export const mayFound = (state: ReplicaState): boolean =>
  state.bootstrap !== null &&
  state.bootstrap.isFirstStart &&
  state.bootstrap.seeds.includes(state.bootstrap.address) &&
  state.committedMembership === null &&
  !state.isVoting;

/** Whom it reads before it votes: name and address. */
export const othersOf = (state: ReplicaState): Readonly<Record<string, string>> => {
  if (state.bootstrap === null) return state.otherFounders;
  const { address, seeds } = state.bootstrap;
  const members = state.committedMembership?.value;
  const slot = members === undefined ? undefined : slotOf(state, members);
  if (members !== undefined && slot !== undefined)
    return Object.fromEntries(
      Object.entries(members.addresses ?? {}).filter(([name]) => name !== slot),
    );
  return mayFound(state)
    ? Object.fromEntries(seeds.filter((seed) => seed !== address).map((seed) => [seed, seed]))
    : {};
};

/** Name of the reading of the disk that a new member took over from. */
const predecessorReading = (disk: string): string => `predecessor ${disk}`;

/** The disk that this one took over from, where it took over from another machine. */
export const predecessorOf = (
  state: ReplicaState,
): (Predecessor & { readonly reading: string }) | null => {
  const members = state.committedMembership?.value;
  const slot =
    members === undefined || state.bootstrap === null ? undefined : slotOf(state, members);
  const found = slot === undefined ? undefined : members?.predecessors?.[slot];
  // A disk that is a member again goes on voting, in a place of its own: its votes must not count
  // twice.
  if (
    members === undefined ||
    found === undefined ||
    Object.values(members.disks).includes(found.disk)
  )
    return null;
  return { ...found, reading: predecessorReading(found.disk) };
};

/**
 * After most disks were lost every member waits for what agents tell again: also one that kept its
 * disk, since it may lack what the others had, and one that read the others before they were told.
 */
const settleFor = (transition: Transition, refounded: number, now: number): void => {
  if (refounded > transition.state.lastRefoundedEpoch)
    update(transition, { lastRefoundedEpoch: refounded, recoveringUntil: now + Limits.restoring });
};

/** Takes in members that are known to be chosen, if they are newer than those it knew. */
export const adopt = (
  transition: Transition,
  committed: CommittedMembership | null,
  now: number,
): void => {
  const before = transition.state;
  if (committed === null || !isNewerMembership(committed, before.committedMembership)) return;
  const epochBefore = before.committedMembership?.value.epoch ?? 0;
  update(transition, { committedMembership: committed });
  const register = before.registers.get(membershipKey) ?? emptyRegister;
  const accepted =
    register.accepted === null
      ? null
      : {
          proposalNumber: register.accepted.proposalNumber,
          value: register.accepted.value as Membership,
        };
  if (isNewerMembership(committed, accepted))
    keepCell(
      transition,
      membershipKey,
      {
        promised:
          compareProposalNumbers(register.promised, committed.proposalNumber) > 0
            ? register.promised
            : committed.proposalNumber,
        accepted: committed,
      },
      now,
    );
  // After the register itself: told of members, it must show no older ones to a ballot.
  transition.effects.push({
    kind: 'append-records',
    records: [{ kind: 'membership-committed', membership: committed }],
  });
  settleFor(transition, committed.value.refounded ?? 0, now);
  if (committed.value.epoch > epochBefore)
    transition.effects.push({
      kind: 'log',
      event: 'members.learned',
      fields: { epoch: committed.value.epoch, seated: isInMembership(transition.state) },
    });
};

/**
 * Forgets all that this disk voted for, since its successor has it; it waits for a place as a blank
 * one, under a new name.
 */
export const blank = (transition: Transition): void => {
  const { state } = transition;
  const { committedMembership: committed } = state;
  if (committed === null || !isRetired(state)) return;
  const disk = `${state.diskId.split('/', 1)[0] ?? ''}/${committed.value.epoch}`;
  update(transition, {
    diskId: disk,
    isVoting: false,
    votingEpoch: 0,
    registers: Table(),
    claimMinuteByKey: Table(),
    claimKeysByMinute: Table(),
    openPageReads: {},
    entries: [],
    sequenceByEntryKey: Table(),
    truncatedUpTo: state.lastSequence,
    peerReads: {},
    retirement: null,
  });
  transition.effects.push(
    {
      kind: 'append-records',
      records: [
        { kind: 'disk-erased', diskId: disk },
        { kind: 'membership-committed', membership: committed },
        { kind: 'sequence-reached', sequence: state.lastSequence },
      ],
    },
    { kind: 'log', event: 'replica.replaced', fields: { epoch: committed.value.epoch, disk } },
  );
};
