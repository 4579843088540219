/**
 * The changes of registers: pure functions from the value that a proposal read to the value that it
 * proposes. A change is applied again in every proposal that includes it, and recognizes by an id or
 * by content that an earlier proposal already wrote it.
 */
import type { ChangeResult } from '@reedyard/consensus';
import type { QuotaAllocation } from '@reedyard/quota-division';
import type { Membership } from '@reedyard/replica';
import type { Policy, ZoneOrder } from '@reedyard/schemas';
import { zonesValueOf } from '../control/registers.js';
import type { ClaimRegister, ClaimState, PolicyRegister, ZonesRegister } from '../messages.js';
import { omitKey } from '../omit-key.js';
import { findRecentChange, addRecentChange } from './change-ids.js';
import { hasSameContent } from './content-equality.js';

/**
 * The register's value when a change was first applied (`first`), and its value in the current
 * proposal (`now`).
 */
export type ReadHistory = { readonly first: unknown; readonly now: unknown };

/** A change of a register; `readHistory` is passed from the change's second proposal on. */
export type RegisterChange = (current: unknown, readHistory?: ReadHistory) => ChangeResult;

/** Why an operator's change was refused. */
export const refusalReasons = {
  /** The revision in If-Match is not the current one. */
  staleRevision: 'stale-revision',
  /** The register contains another configuration with the same version. */
  versionTaken: 'version-taken',
  /** Another order for the same zone was chosen after this order first read the register. */
  overtaken: 'overtaken',
} as const;

const keep: ChangeResult = { kind: 'keep' };

/** A new policy, with the change id and revision that identify a repeated request. */
export type PolicyUpdate = {
  readonly document: Policy;
  readonly ifMatch: number | null;
  readonly changeId: string;
  /** The ids of changes up to this revision may be removed. */
  readonly expiredPolicyRevision: number;
};

/** Compares the version of a sent policy with that of the current one; without versions: newer. */
const compareVersions = (current: Policy, sent: Policy): 'newer' | 'older' | 'equal' => {
  if (
    current.version === undefined ||
    sent.version === undefined ||
    sent.version > current.version
  ) {
    return 'newer';
  }
  return sent.version < current.version ? 'older' : 'equal';
};

/**
 * Writes a new policy. A policy that is already in force is acknowledged again. An older version is
 * acknowledged and changes nothing. Another content with the current version is refused, since only
 * one content may be acknowledged per version.
 */
export const putPolicyChange =
  (policyUpdate: PolicyUpdate): RegisterChange =>
  (current) => {
    const inForce = current as PolicyRegister | null;
    if (inForce === null) return putFirstPolicy(policyUpdate);
    if (findRecentChange(inForce.changes, policyUpdate.changeId) !== undefined) return keep;
    if (isAlreadyInForce(inForce, policyUpdate)) return keep;
    if (policyUpdate.ifMatch !== null && policyUpdate.ifMatch !== inForce.revision)
      return { kind: 'refuse', reason: refusalReasons.staleRevision };
    switch (compareVersions(inForce.document, policyUpdate.document)) {
      case 'older':
        return keep;
      case 'equal':
        return { kind: 'refuse', reason: refusalReasons.versionTaken };
      case 'newer':
        return writePolicy(policyUpdate, inForce.revision, inForce.changes);
    }
  };

/** Writes the first policy, which can't be conditional on an earlier revision. */
const putFirstPolicy = (policyUpdate: PolicyUpdate): ChangeResult =>
  policyUpdate.ifMatch !== null && policyUpdate.ifMatch !== 0
    ? { kind: 'refuse', reason: refusalReasons.staleRevision }
    : writePolicy(policyUpdate, 0, []);

/**
 * Whether the update's content is already in force: the update was written before and is sent again,
 * either with the current version, or conditional on the revision that it replaced.
 */
const isAlreadyInForce = (
  { revision, document }: PolicyRegister,
  { ifMatch, document: sent }: PolicyUpdate,
): boolean => {
  const isRepeat = ifMatch === revision - 1;
  const isEqualVersion = compareVersions(document, sent) === 'equal';
  const mayBeInForce = isRepeat || (isEqualVersion && (ifMatch === null || ifMatch === revision));
  return mayBeInForce && hasSameContent(document, sent);
};

const writePolicy = (
  { document, changeId, expiredPolicyRevision }: PolicyUpdate,
  revisionBefore: number,
  changesBefore: PolicyRegister['changes'],
): ChangeResult => {
  const revision = revisionBefore + 1;
  const changes = addRecentChange(changesBefore, { id: changeId, revision }, expiredPolicyRevision);
  return { kind: 'write', value: { revision, document, changes } satisfies PolicyRegister };
};

/** An order for a zone, with the change id that identifies a repeated request. */
export type ZoneOrderChange = {
  readonly zone: string;
  readonly order: ZoneOrder['order'];
  readonly of: ZoneOrder['of'];
  readonly changeId: string;
  /** The ids of changes up to this revision may be removed. */
  readonly expiredZonesRevision: number;
};

/** The lists of evacuated zones and of zones with closed origins after an order. */
const zonesAfter = (
  current: ZonesRegister,
  { zone, order, of }: ZoneOrderChange,
): Pick<ZonesRegister, 'emptied' | 'closedOrigins'> => {
  const others = (zones: readonly string[]): readonly string[] =>
    zones.filter((each) => each !== zone);
  const withZone = (zones: readonly string[], isMember: boolean): readonly string[] =>
    isMember ? [...others(zones), zone] : others(zones);
  const isEmptied = of === 'origins' ? current.emptied.includes(zone) : order === 'empty';
  // The origins of an evacuated zone can't be restored without the rest of the zone.
  const isClosed = order === 'empty' || isEmptied;
  return {
    emptied: of === 'origins' ? current.emptied : withZone(current.emptied, isEmptied),
    closedOrigins: withZone(current.closedOrigins, isClosed),
  };
};

const isInForce = (
  current: ZonesRegister,
  next: Pick<ZonesRegister, 'emptied' | 'closedOrigins'>,
  zone: string,
): boolean =>
  current.emptied.includes(zone) === next.emptied.includes(zone) &&
  current.closedOrigins.includes(zone) === next.closedOrigins.includes(zone);

/** Whether another order for the zone was chosen after this order first read the register. */
const isOvertaken = (readHistory: ReadHistory | undefined, zone: string): boolean =>
  readHistory !== undefined &&
  zonesValueOf(readHistory.first).lastOrders[zone] !==
    zonesValueOf(readHistory.now).lastOrders[zone];

/**
 * Applies an order for a zone. Every chosen order records its revision with the zone, even if the
 * order changes nothing else: an older order that is still being proposed then detects that it was
 * overtaken, and does not undo the newer order.
 */
export const zoneOrderChange =
  (zoneOrder: ZoneOrderChange): RegisterChange =>
  (current, readHistory) => {
    const before = zonesValueOf(current);
    if (findRecentChange(before.changes, zoneOrder.changeId) !== undefined) return keep;
    const { zone } = zoneOrder;
    const next = zonesAfter(before, zoneOrder);
    if (isOvertaken(readHistory, zone)) {
      return isInForce(before, next, zone)
        ? keep
        : { kind: 'refuse', reason: refusalReasons.overtaken };
    }
    const revision = before.revision + 1;
    const isReopened = before.closedOrigins.includes(zone) && !next.closedOrigins.includes(zone);
    const value: ZonesRegister = {
      ...next,
      revision,
      reopened: isReopened ? { ...before.reopened, [zone]: revision } : before.reopened,
      lastOrders: { ...before.lastOrders, [zone]: revision },
      changes: addRecentChange(
        before.changes,
        { id: zoneOrder.changeId, revision },
        zoneOrder.expiredZonesRevision,
      ),
    };
    return { kind: 'write', value };
  };

/**
 * Claims an idempotency key for one request. Refused where the key was claimed for a request with
 * another digest. A claim that ended as not run may be replaced by a claim with another token, and a
 * repeat of a pending claim is granted again. Any other claim is refused with the existing claim's
 * state.
 */
export const claimChange =
  (token: string, node: string, life: string, digest: string): RegisterChange =>
  (current) => {
    const before = current as ClaimRegister | null;
    if (before !== null && before.digest !== digest) return { kind: 'refuse', reason: 'other' };
    if (before === null || (before.state === 'not-run' && before.token !== token)) {
      return {
        kind: 'write',
        value: { token, state: 'pending', node, life, digest } satisfies ClaimRegister,
      };
    }
    return before.token === token && before.state === 'pending'
      ? keep
      : { kind: 'refuse', reason: before.state };
  };

/** Records the state of a claimed request; no effect where another token has the claim. */
export const settleClaimChange =
  (token: string, state: ClaimState): RegisterChange =>
  (current) => {
    const before = current as ClaimRegister | null;
    if (before === null || before.token !== token || before.state === state) return keep;
    return { kind: 'write', value: { ...before, state } satisfies ClaimRegister };
  };

/**
 * Writes a quota leader's next allocation. Refused unless the leader's term is the current one and
 * the allocation's beat is higher than the current beat.
 */
export const publishAllocationChange =
  (goal: QuotaAllocation): RegisterChange =>
  (current) => {
    const inForce = current as QuotaAllocation | null;
    const isOwnTerm =
      inForce !== null && inForce.term === goal.term && inForce.holder === goal.holder;
    if (isOwnTerm && inForce.beat === goal.beat) return keep;
    return isOwnTerm && inForce.beat < goal.beat
      ? { kind: 'write', value: goal }
      : { kind: 'refuse', reason: 'fenced' };
  };

/** An allocation's term and beat, which together identify the allocation. */
const allocationId = (allocation: QuotaAllocation | null): string =>
  `${allocation?.term ?? 0}/${allocation?.beat ?? 0}`;

/**
 * Takes over the quota leadership, with the quotas in force. Refused if another allocation was
 * published since `lastSeen`, the allocation whose leader had timed out.
 */
export const takeQuotaLeadershipChange =
  (lastSeen: QuotaAllocation | null, goal: QuotaAllocation): RegisterChange =>
  (current) => {
    const inForce = current as QuotaAllocation | null;
    const isTaken = inForce?.term === goal.term && inForce.holder === goal.holder;
    if (isTaken) return keep;
    if (allocationId(inForce) !== allocationId(lastSeen))
      return { kind: 'refuse', reason: 'not vacant' };
    const { slices = {}, seated = [] } = inForce ?? {};
    return { kind: 'write', value: { ...goal, slices, seated } };
  };

/**
 * The membership's predecessors, without that of a member whose disk was replaced. The field is
 * omitted where the membership has none.
 */
const predecessorsWithout = (
  membership: Membership,
  replacedMember: string | undefined,
): Pick<Membership, 'predecessors'> => {
  if (membership.predecessors === undefined) return {};
  if (replacedMember === undefined) return { predecessors: membership.predecessors };
  return { predecessors: omitKey(membership.predecessors, replacedMember) };
};

const membershipChanged: ChangeResult = {
  kind: 'refuse',
  reason: 'the members have changed',
};

/** The next epoch of a membership, in which a slot has the given disk and, if given, address. */
const withSlot = (
  before: Membership,
  slot: string,
  diskId: string,
  address: string | undefined,
): Membership => {
  const epoch = before.epoch + 1;
  const isNewDisk = before.disks[slot] !== diskId;
  return {
    ...before,
    epoch,
    disks: { ...before.disks, [slot]: diskId },
    ...(address === undefined ? {} : { addresses: { ...before.addresses, [slot]: address } }),
    ...predecessorsWithout(before, isNewDisk ? slot : undefined),
    ...(isNewDisk ? { joinedIn: { ...before.joinedIn, [slot]: epoch } } : {}),
  };
};

/**
 * Assigns a disk or an address to a slot. Refused unless the membership is still in the epoch that
 * the proposer knows: each epoch changes one slot and is chosen by the members of the epoch before.
 */
export const assignSlotChange =
  (known: Membership, slot: string, diskId: string, address?: string): RegisterChange =>
  (current) => {
    const before = current as Membership | null;
    if (before === null) return keep;
    const isSameAddress = address === undefined || before.addresses?.[slot] === address;
    if (before.disks[slot] === diskId && isSameAddress) return keep;
    if (before.epoch !== known.epoch) return membershipChanged;
    return { kind: 'write', value: withSlot(before, slot, diskId, address) };
  };

/**
 * Removes a member and adds another one, whose disk has no slot, in its place. The removed member is
 * recorded as the predecessor of the new one.
 */
export const replaceMemberChange =
  (
    known: Membership,
    removedMember: string,
    newMember: string,
    diskId: string,
    address: string,
  ): RegisterChange =>
  (current) => {
    const before = current as Membership | null;
    if (before === null || before.disks[newMember] === diskId) return keep;
    if (before.epoch !== known.epoch || before.disks[removedMember] === undefined) {
      return membershipChanged;
    }
    const disks = { ...omitKey(before.disks, removedMember), [newMember]: diskId };
    const addresses = { ...omitKey(before.addresses ?? {}, removedMember), [newMember]: address };
    const joinedInEpoch = before.joinedIn?.[removedMember];
    const predecessor = {
      disk: before.disks[removedMember],
      address: before.addresses?.[removedMember] ?? '',
      ...(joinedInEpoch === undefined ? {} : { joinedIn: joinedInEpoch }),
    };
    const predecessors = {
      ...omitKey(before.predecessors ?? {}, removedMember),
      [newMember]: predecessor,
    };
    const joinedIn = {
      ...omitKey(before.joinedIn ?? {}, removedMember),
      [newMember]: before.epoch + 1,
    };
    const value = { ...before, epoch: before.epoch + 1, disks, addresses, predecessors, joinedIn };
    return { kind: 'write', value: value satisfies Membership };
  };
