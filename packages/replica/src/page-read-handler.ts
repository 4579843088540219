/** How a replica is read by others: its registers page by page, then its journal. */
import { emptyRegister } from '@reedyard/consensus';
import type { ReplicaReply } from './messages.js';
import { isRetired, isVotingMember, type ReplicaState, type Transition, update } from './state.js';

/** registers in one page for a replica that reads another: some 10 ms of encoding. */
export const registersPerPage = 500;

/** replicas that one replica lets read it at once: all others of a founding set of nine. */
const maxOpenPageReads = 8;

/** The reply of a replica that may not vote. */
export const buildNotAMemberReply = (state: ReplicaState): ReplicaReply => ({
  kind: 'not-a-member',
  diskId: state.diskId,
  isBlank: !state.hasBegunVoting,
  knowsMembership: state.committedMembership !== null,
});

/**
 * Whether a replaced disk had begun to vote in the slot that was taken from it. If not, a value may
 * have been chosen with that slot, before it, which it never read.
 */
const votedInLastSlot = (state: ReplicaState): boolean => {
  const predecessors = Object.values(state.committedMembership?.value.predecessors ?? {});
  const slot = predecessors.find(({ disk }) => disk === state.diskId);
  return (slot?.joinedIn ?? 0) <= state.votingEpoch;
};

/** A retired replica accepts nothing more, so what it shows is all that it ever will. */
const mayBeRead = (state: ReplicaState): boolean =>
  isVotingMember(state) || (isRetired(state) && votedInLastSlot(state));

/** A reader's position: the name of its reading, and the index of the next key. */
type PagePosition = { readonly reading: string; readonly index: number };

const pagePositionSeparator = ':';

const parsePagePosition = (position: string | null): PagePosition => {
  const [reading = '', index = '0'] = position?.split(pagePositionSeparator) ?? [];
  return { reading, index: Number(index) };
};

const formatPagePosition = ({ reading, index }: PagePosition): string =>
  `${reading}${pagePositionSeparator}${index}`;

/**
 * One page of the registers for a reader. The keys are listed once, at its first page: a register
 * that is written later was not written under a membership that the reader's slot took part in.
 *
 * @param after the reader's position; null for the first page
 */
export const readPage = (transition: Transition, after: string | null): ReplicaReply => {
  const { state } = transition;
  if (!mayBeRead(state)) return buildNotAMemberReply(state);
  const given = parsePagePosition(after);
  const openKeys = state.openPageReads[given.reading];
  const reading = openKeys === undefined ? String(state.nextRequestId) : given.reading;
  const from = openKeys === undefined ? 0 : given.index;
  const keys = openKeys ?? [...state.registers.keys()];
  const page = keys.slice(from, from + registersPerPage);
  const next = from + page.length;
  const hasMore = next < keys.length;
  const otherReads = Object.entries(state.openPageReads).filter(([name]) => name !== reading);
  const openReads = hasMore
    ? [...otherReads, [reading, keys] as const].slice(-maxOpenPageReads)
    : otherReads;
  update(transition, {
    nextRequestId: state.nextRequestId + 1,
    openPageReads: Object.fromEntries(openReads),
  });
  return {
    kind: 'page-read',
    diskId: state.diskId,
    membership: state.committedMembership,
    nextPage: hasMore ? formatPagePosition({ reading, index: next }) : null,
    registers: page.map((key) => [key, state.registers.get(key) ?? emptyRegister]),
    entries: hasMore ? [] : state.entries.map(({ key, value }) => ({ key, value })),
  };
};
