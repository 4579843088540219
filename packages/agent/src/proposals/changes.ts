/**
 * The changes that are made to registers: pure functions from what a proposal reads to what it
 * proposes. Each is applied again in every proposal that is made for it, and knows its own earlier work
 * by an id or by content.
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
 * What the register held when a change was first applied, and what it holds in the present
 * proposal.
 */
export type ReadHistory = { readonly first: unknown; readonly now: unknown };

/** A change of a register; `reading` is given from the second proposal on. */
export type RegisterChange = (current: unknown, reading?: ReadHistory) => ChangeResult;

/** Why an operator's change was refused. */
export const refusalReasons = {
  staleRevision: 'stale-revision',
  /** Another configuration is held under the same version. */
  versionTaken: 'version-taken',
  /** Another order for the same zone was chosen since this one first read the register. */
  overtaken: 'overtaken',
} as const;

const keep: ChangeResult = { kind: 'keep' };

/** A configuration to be taken, with what tells a repeat of it from a new one. */
export type PolicyUpdate = {
  readonly document: Policy;
  readonly ifMatch: number | null;
  readonly changeId: string;
  /** Changes up to this revision may be forgotten. */
  readonly expiredPolicyRevision: number;
};

/** What a configuration's version says about it beside the one held. */
const compareVersions = (held: Policy, sent: Policy): 'newer' | 'older' | 'equal' => {
  if (held.version === undefined || sent.version === undefined || sent.version > held.version) {
    return 'newer';
  }
  return sent.version < held.version ? 'older' : 'equal';
};

/**
 * Takes a configuration. What is held already is acknowledged again. An older version is
 * acknowledged and changes nothing; another content under the version held is refused, since only
 * one may be confirmed under a version.
 */
export const putPolicyChange =
  (order: PolicyUpdate): RegisterChange =>
  (current) => {
    const inForce = current as PolicyRegister | null;
    if (inForce === null) return putFirstPolicy(order);
    if (findRecentChange(inForce.changes, order.changeId) !== undefined) return keep;
    if (isHeldAlready(inForce, order)) return keep;
    if (order.ifMatch !== null && order.ifMatch !== inForce.revision)
      return { kind: 'refuse', reason: refusalReasons.staleRevision };
    switch (compareVersions(inForce.document, order.document)) {
      case 'older':
        return keep;
      case 'equal':
        return { kind: 'refuse', reason: refusalReasons.versionTaken };
      case 'newer':
        return writePolicy(order, inForce.revision, inForce.changes);
    }
  };

/** The first policy of all; it can't be conditional on an earlier revision. */
const putFirstPolicy = (order: PolicyUpdate): ChangeResult =>
  order.ifMatch !== null && order.ifMatch !== 0
    ? { kind: 'refuse', reason: refusalReasons.staleRevision }
    : writePolicy(order, 0, []);

/**
 * Whether the order's very content is in force: sent again under its own version, or under the
 * revision that it replaced, since it was taken then.
 */
const isHeldAlready = (
  { revision, document }: PolicyRegister,
  { ifMatch, document: sent }: PolicyUpdate,
): boolean => {
  const isRepeat = ifMatch === revision - 1;
  const isEqualVersion = compareVersions(document, sent) === 'equal';
  const mayBeInForce = isRepeat || (isEqualVersion && (ifMatch === null || ifMatch === revision));
  return mayBeInForce && hasSameContent(document, sent);
};

const writePolicy = (
  { document, changeId, expiredPolicyRevision: lapsed }: PolicyUpdate,
  revisionBefore: number,
  changesBefore: PolicyRegister['changes'],
): ChangeResult => {
  const revision = revisionBefore + 1;
  const changes = addRecentChange(changesBefore, { id: changeId, revision }, lapsed);
  return { kind: 'write', value: { revision, document, changes } satisfies PolicyRegister };
};

/** An order for a zone, with what tells a repeat of it from a new one. */
export type ZoneOrderChange = {
  readonly zone: string;
  readonly order: ZoneOrder['order'];
  readonly of: ZoneOrder['of'];
  readonly changeId: string;
  /** Changes up to this revision may be forgotten. */
  readonly expiredZonesRevision: number;
};

/** The lists of zones after an order. */
const zonesAfter = (
  old: ZonesRegister,
  { zone, order, of }: ZoneOrderChange,
): Pick<ZonesRegister, 'emptied' | 'closedOrigins'> => {
  const others = (zones: readonly string[]): readonly string[] =>
    zones.filter((each) => each !== zone);
  const withZone = (zones: readonly string[], isIn: boolean): readonly string[] =>
    isIn ? [...others(zones), zone] : others(zones);
  const isEmptied = of === 'origins' ? old.emptied.includes(zone) : order === 'empty';
  // While a zone is emptied as a whole, its origins can't be taken back by themselves.
  const isClosed = order === 'empty' || isEmptied;
  return {
    emptied: of === 'origins' ? old.emptied : withZone(old.emptied, isEmptied),
    closedOrigins: withZone(old.closedOrigins, isClosed),
  };
};

const isInForce = (
  old: ZonesRegister,
  next: Pick<ZonesRegister, 'emptied' | 'closedOrigins'>,
  zone: string,
): boolean =>
  old.emptied.includes(zone) === next.emptied.includes(zone) &&
  old.closedOrigins.includes(zone) === next.closedOrigins.includes(zone);

/** Whether another order for the zone was chosen since this one first read the register. */
const isOvertaken = (reading: ReadHistory | undefined, zone: string): boolean =>
  reading !== undefined &&
  zonesValueOf(reading.first).lastOrders[zone] !== zonesValueOf(reading.now).lastOrders[zone];

/**
 * Carries out an order for a zone. Every order that is chosen leaves its revision with the zone,
 * also one that changes nothing else: an older order that is still being proposed finds then that
 * it was overtaken, and does not undo it.
 */
export const zoneOrderChange =
  (sent: ZoneOrderChange): RegisterChange =>
  (current, reading) => {
    const old = zonesValueOf(current);
    if (findRecentChange(old.changes, sent.changeId) !== undefined) return keep;
    const { zone } = sent;
    const next = zonesAfter(old, sent);
    if (isOvertaken(reading, zone)) {
      return isInForce(old, next, zone)
        ? keep
        : { kind: 'refuse', reason: refusalReasons.overtaken };
    }
    const revision = old.revision + 1;
    const isReopened = old.closedOrigins.includes(zone) && !next.closedOrigins.includes(zone);
    const value: ZonesRegister = {
      ...next,
      revision,
      reopened: isReopened ? { ...old.reopened, [zone]: revision } : old.reopened,
      lastOrders: { ...old.lastOrders, [zone]: revision },
      changes: addRecentChange(
        old.changes,
        { id: sent.changeId, revision },
        sent.expiredZonesRevision,
      ),
    };
    return { kind: 'write', value };
  };

/** Claims a key for one request. */
export const claimChange =
  (token: string, node: string, life: string, digest: string): RegisterChange =>
  (current) => {
    const old = current as ClaimRegister | null;
    if (old !== null && old.digest !== digest) return { kind: 'refuse', reason: 'other' };
    if (old === null || (old.state === 'not-run' && old.token !== token)) {
      return {
        kind: 'write',
        value: { token, state: 'pending', node, life, digest } satisfies ClaimRegister,
      };
    }
    return old.token === token && old.state === 'pending'
      ? keep
      : { kind: 'refuse', reason: old.state };
  };

/** Records what became of a claimed request. */
export const settleClaimChange =
  (token: string, state: ClaimState): RegisterChange =>
  (current) => {
    const old = current as ClaimRegister | null;
    if (old === null || old.token !== token || old.state === state) return keep;
    return { kind: 'write', value: { ...old, state } satisfies ClaimRegister };
  };

/** A quota leader's next allocation, fenced by its term. */
export const publishAllocationChange =
  (goal: QuotaAllocation): RegisterChange =>
  (current) => {
    const old = current as QuotaAllocation | null;
    const isOwn = old !== null && old.term === goal.term && old.holder === goal.holder;
    if (isOwn && old.beat === goal.beat) return keep;
    return isOwn && old.beat < goal.beat
      ? { kind: 'write', value: goal }
      : { kind: 'refuse', reason: 'fenced' };
  };

/** What tells one allocation from the next. */
const allocationId = (allocation: QuotaAllocation | null): string =>
  `${allocation?.term ?? 0}/${allocation?.beat ?? 0}`;

/** Takes the quota leadership where it was found vacant, unless anything moved since. */
export const takeQuotaLeadershipChange =
  (seen: QuotaAllocation | null, goal: QuotaAllocation): RegisterChange =>
  (current) => {
    const inForce = current as QuotaAllocation | null;
    const isTaken = inForce?.term === goal.term && inForce.holder === goal.holder;
    if (isTaken) return keep;
    if (allocationId(inForce) !== allocationId(seen))
      return { kind: 'refuse', reason: 'not vacant' };
    const { slices = {}, seated = [] } = inForce ?? {};
    return { kind: 'write', value: { ...goal, slices, seated } };
  };

/**
 * Predecessors of the members, but for one whose disk is now another; left out where there are
 * none.
 */
const predecessorsWithout = (
  members: Membership,
  member: string | undefined,
): Pick<Membership, 'predecessors'> => {
  if (members.predecessors === undefined) return {};
  if (member === undefined) return { predecessors: members.predecessors };
  return { predecessors: omitKey(members.predecessors, member) };
};

const membershipChanged: ChangeResult = {
  kind: 'refuse',
  reason: 'the members have changed',
};

/** The fields that change where a slot gets another disk, and where its address changes. */
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

/** Gives a slot to another disk: one at a time, and only by the members just before. */
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

/** Gives a slot up, and another, of a disk without one, in its stead. */
export const replaceMemberChange =
  (
    known: Membership,
    gone: string,
    replica: string,
    disk: string,
    address: string,
  ): RegisterChange =>
  (current) => {
    const old = current as Membership | null;
    if (old === null || old.disks[replica] === disk) return keep;
    if (old.epoch !== known.epoch || old.disks[gone] === undefined) {
      return membershipChanged;
    }
    const disks = { ...omitKey(old.disks, gone), [replica]: disk };
    const addresses = { ...omitKey(old.addresses ?? {}, gone), [replica]: address };
    const since = old.joinedIn?.[gone];
    const predecessor = {
      disk: old.disks[gone],
      address: old.addresses?.[gone] ?? '',
      ...(since === undefined ? {} : { joinedIn: since }),
    };
    const predecessors = { ...omitKey(old.predecessors ?? {}, gone), [replica]: predecessor };
    const joinedIn = { ...omitKey(old.joinedIn ?? {}, gone), [replica]: old.epoch + 1 };
    const value = { ...old, epoch: old.epoch + 1, disks, addresses, predecessors, joinedIn };
    return { kind: 'write', value: value satisfies Membership };
  };
