import { Map as Table } from 'immutable';
import { Limits } from '@reedyard/constants';
import { Ballots, emptyCell } from '@reedyard/consensus';
import {
  newerMembers,
  membersKey,
  type Predecessor,
  type Members,
  type CommittedMembership,
} from './messages.js';
import { keepCell } from './registers.js';
import { isNamed, isRetired, placeOf, set, type ReplicaState, type Work } from './state.js';

/**
 * Membership as one replica knows it: which members are committed, and what follows for this disk.
 */

/**
 * Whether this replica may take part in founding the state: only at the very first start, at a
 * seed's address, blank and not told of members.
 */
export const mayFound = (state: ReplicaState): boolean =>
  state.seeded !== null &&
  state.seeded.firstStart &&
  state.seeded.seeds.includes(state.seeded.address) &&
  state.told === null &&
  !state.voting;

/** Whom it reads before it votes: name and address. */
export const othersOf = (state: ReplicaState): Readonly<Record<string, string>> => {
  if (state.seeded === null) return state.others;
  const { address, seeds } = state.seeded;
  const members = state.told?.value;
  const place = members === undefined ? undefined : placeOf(state, members);
  if (members !== undefined && place !== undefined)
    return Object.fromEntries(
      Object.entries(members.addresses ?? {}).filter(([name]) => name !== place),
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
  const members = state.told?.value;
  const place =
    members === undefined || state.seeded === null ? undefined : placeOf(state, members);
  const found = place === undefined ? undefined : members?.predecessors?.[place];
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
const settleFor = (work: Work, refounded: number, now: number): void => {
  if (refounded > work.state.settledFor)
    set(work, { settledFor: refounded, recoveringUntil: now + Limits.restoring });
};

/** Takes in members that are known to be chosen, if they are newer than those it knew. */
export const adopt = (work: Work, told: CommittedMembership | null, now: number): void => {
  const before = work.state;
  if (told === null || !newerMembers(told, before.told)) return;
  const epochBefore = before.told?.value.epoch ?? 0;
  set(work, { told });
  const cell = before.cells.get(membersKey) ?? emptyCell;
  const accepted =
    cell.accepted === null
      ? null
      : { ballot: cell.accepted.ballot, value: cell.accepted.value as Members };
  if (newerMembers(told, accepted))
    keepCell(
      work,
      membersKey,
      {
        promised: Ballots.compare(cell.promised, told.ballot) > 0 ? cell.promised : told.ballot,
        accepted: told,
      },
      now,
    );
  // After the register itself: told of members, it must show no older ones to a ballot.
  work.effects.push({ kind: 'append', records: [{ kind: 'told', members: told }] });
  settleFor(work, told.value.refounded ?? 0, now);
  if (told.value.epoch > epochBefore)
    work.effects.push({
      kind: 'log',
      event: 'members.learned',
      fields: { epoch: told.value.epoch, seated: isNamed(work.state) },
    });
};

/**
 * Forgets all that this disk voted for, since its successor has it; it waits for a place as a blank
 * one, under a new name.
 */
export const blank = (work: Work): void => {
  const { state } = work;
  const { told } = state;
  if (told === null || !isRetired(state)) return;
  const disk = `${state.disk.split('/', 1)[0] ?? ''}/${told.value.epoch}`;
  set(work, {
    disk,
    voting: false,
    votingEpoch: 0,
    cells: Table(),
    claimsSeen: Table(),
    claimMinutes: Table(),
    dumps: {},
    facts: [],
    factKeys: Table(),
    floor: state.seq,
    readings: {},
    retirement: null,
  });
  work.effects.push(
    {
      kind: 'append',
      records: [
        { kind: 'blanked', disk },
        { kind: 'told', members: told },
        { kind: 'place', seq: state.seq },
      ],
    },
    { kind: 'log', event: 'replica.replaced', fields: { epoch: told.value.epoch, disk } },
  );
};
