/**
 * Serves a replica's registers page by page, and its journal, to replicas that may not vote yet.
 */
import { emptyRegister } from '@reedyard/consensus';
import type { ReplicaReply } from './messages.js';
import { isRetired, isVotingMember, type ReplicaState, type Transition, update } from './state.js';

/** Registers in one page of a reply: encoding so many takes some 10 ms. */
export const registersPerPage = 500;

/** Replicas that may read this one concurrently: all others of a cluster of nine founders. */
const maxOpenPageReads = 8;

/** Builds the reply of a replica that may not vote. */
export const buildNotAMemberReply = (state: ReplicaState): ReplicaReply => ({
  kind: 'not-a-member',
  diskId: state.diskId,
  isBlank: !state.hasBegunVoting,
  knowsMembership: state.committedMembership !== null,
});

/**
 * Whether a replaced disk had begun to vote in the slot that it lost. If not, a value may have been
 * chosen with votes of that slot's earlier disk, and this disk never read it.
 */
const hadBegunVotingInLastSlot = (state: ReplicaState): boolean => {
  const predecessors = Object.values(state.committedMembership?.value.predecessors ?? {});
  const slot = predecessors.find(({ disk }) => disk === state.diskId);
  return (slot?.joinedIn ?? 0) <= state.votingEpoch;
};

/**
 * Whether others may read this replica. A retired replica accepts nothing more, so its state is
 * final.
 */
const mayServePages = (state: ReplicaState): boolean =>
  isVotingMember(state) || (isRetired(state) && hadBegunVotingInLastSlot(state));

/** A reader's position: the name of its read, and the index of the next key. */
type PagePosition = { readonly readName: string; readonly index: number };

const pagePositionSeparator = ':';

const parsePagePosition = (position: string | null): PagePosition => {
  const [readName = '', index = '0'] = position?.split(pagePositionSeparator) ?? [];
  return { readName, index: Number(index) };
};

const formatPagePosition = ({ readName, index }: PagePosition): string =>
  `${readName}${pagePositionSeparator}${index}`;

/**
 * Returns one page of the registers to a reader. The keys are listed only once, for the first page:
 * a register written later was not written under a membership in which the reader's slot took part.
 *
 * @param after the reader's position; null for the first page
 */
export const readPage = (transition: Transition, after: string | null): ReplicaReply => {
  const { state } = transition;
  if (!mayServePages(state)) return buildNotAMemberReply(state);
  const position = parsePagePosition(after);
  const openKeys = state.openPageReads[position.readName];
  const readName = openKeys === undefined ? String(state.nextRequestId) : position.readName;
  const from = openKeys === undefined ? 0 : position.index;
  const keys = openKeys ?? [...state.registers.keys()];
  const page = keys.slice(from, from + registersPerPage);
  const next = from + page.length;
  const hasMore = next < keys.length;
  const otherReads = Object.entries(state.openPageReads).filter(([name]) => name !== readName);
  const openReads = hasMore
    ? [...otherReads, [readName, keys] as const].slice(-maxOpenPageReads)
    : otherReads;
  update(transition, {
    nextRequestId: state.nextRequestId + 1,
    openPageReads: Object.fromEntries(openReads),
  });
  return {
    kind: 'page-read',
    diskId: state.diskId,
    membership: state.committedMembership,
    nextPage: hasMore ? formatPagePosition({ readName, index: next }) : null,
    registers: page.map((key) => [key, state.registers.get(key) ?? emptyRegister]),
    entries: hasMore ? [] : state.entries.map(({ key, value }) => ({ key, value })),
  };
};
