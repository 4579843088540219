/**
 * Decides whether a machine may be stopped now without harm to the control state.
 *
 * Pure functions over the statuses that nodes reported. Only a node with a lease is trusted, since
 * its view rests on replies of a majority that are at most one lease duration old. The verdict is
 * valid for the moment of the query only: nothing is reserved.
 */
import type { ControlStatus, MemberStatus, NodeStatus } from '@reedyard/agent';

/** Exit codes of `reedyard safe-to-stop`; scripts rely on the numbers, so they must not change. */
export const stopExitCodes = { safe: 0, unsafe: 1, unknown: 2 } as const;

/** A machine that a node knows by gossip, as `GET /v1/peers` lists it. */
export type KnownMachine = {
  readonly id: string;
  readonly address: string;
  readonly replica: { readonly address: string } | null;
  readonly proxy: { readonly callers: string } | null;
};

/** The machine to stop, and the member of the control state on it, if any. */
export type StopTarget = {
  readonly id: string;
  readonly member: MemberStatus | null;
  readonly isSpare: boolean;
};

/** Whether a machine may be stopped, with the reasons. */
export type StopVerdict = {
  readonly verdict: 'safe' | 'unsafe' | 'unknown';
  /** Every reason for the verdict. */
  readonly reasons: readonly string[];
  /** Further losses that are tolerated once the machine is stopped; null if unknown. */
  readonly lossesBorneAfter: number | null;
};

const unknownVerdict = (reason: string): StopVerdict => ({
  verdict: 'unknown',
  reasons: [reason],
  lossesBorneAfter: null,
});

/**
 * The status to trust: the status of a node with a lease, with the newest epoch, and among those with
 * the fewest tolerated losses. Null if no node has a lease.
 *
 * @example
 * authoritativeStatus([isolated, leased]) // leased
 */
export const authoritativeStatus = (statuses: readonly NodeStatus[]): NodeStatus | null => {
  const leasedStatuses = statuses.filter((status) => status.leaseMs > 0);
  const [best] = [...leasedStatuses].sort(
    (left, right) =>
      right.control.epoch - left.control.epoch ||
      left.control.lossesBorne - right.control.lossesBorne,
  );
  return best ?? null;
};

const hostOf = (address: string): string => address.slice(0, address.lastIndexOf(':'));

const isDenotedBy = (
  nameOrAddress: string,
  names: readonly string[],
  addresses: readonly string[],
): boolean =>
  names.includes(nameOrAddress) ||
  addresses.some((address) => address === nameOrAddress || hostOf(address) === nameOrAddress);

const addressesOf = (machine: KnownMachine): readonly string[] => [
  machine.address,
  ...(machine.replica === null ? [] : [machine.replica.address]),
  ...(machine.proxy === null ? [] : [machine.proxy.callers]),
];

/**
 * Every machine that a name or an address may denote. A member whose machine is no longer known by
 * gossip is still found by the member's own name or address.
 *
 * @example
 * findTargets('core-1', status.control, machines)[0]?.member?.state // 'answering'
 */
const findTargets = (
  nameOrAddress: string,
  control: ControlStatus,
  machines: readonly KnownMachine[],
): readonly StopTarget[] => {
  const matchingMachines = machines.filter((machine) =>
    isDenotedBy(nameOrAddress, [machine.id], addressesOf(machine)),
  );
  const targetsKnownByGossip = matchingMachines.map((machine) => ({
    id: machine.id,
    member: control.members.find((member) => member.node === machine.id) ?? null,
    isSpare: control.spares.some((spare) => spare.node === machine.id),
  }));
  const otherTargets = control.members
    .filter((member) => !targetsKnownByGossip.some((target) => target.member === member))
    .filter((member) =>
      isDenotedBy(nameOrAddress, [member.name, member.node ?? ''], [member.address]),
    )
    .map((member) => ({ id: member.node ?? member.name, member, isSpare: false }));
  return [...targetsKnownByGossip, ...otherTargets];
};

const describeMembers = (members: readonly MemberStatus[]): string =>
  members
    .map((member) => `${member.name} is ${member.leaving ? 'leaving' : member.state}`)
    .join(', ');

const isAvailable = (member: MemberStatus): boolean =>
  member.state === 'answering' && !member.leaving;

/** Members that don't vote, or that are about to leave. */
const unavailableMembersOf = (control: ControlStatus): readonly MemberStatus[] =>
  control.members.filter((member) => !isAvailable(member));

/** The reasons against stopping a member. */
const reasonsAgainstStop = (
  control: ControlStatus,
  target: StopTarget,
  toleratedLossesAfter: number,
  requiredLosses: number,
): readonly string[] => {
  const otherUnavailable = unavailableMembersOf(control).filter(
    (member) => member !== target.member,
  );
  const missingCount = control.wantedMembers - control.members.length;
  const unavailableText =
    otherUnavailable.length === 0 ? '' : ` (${describeMembers(otherUnavailable)})`;
  return [
    ...(missingCount > 0
      ? [`only ${control.members.length} of ${control.wantedMembers} members are known so far`]
      : []),
    ...(toleratedLossesAfter < 0
      ? [`no majority of ${control.quorum} would remain${unavailableText}`]
      : []),
    ...(toleratedLossesAfter >= 0 && toleratedLossesAfter < requiredLosses
      ? [
          `${toleratedLossesAfter} further losses would be tolerated, ${requiredLosses} are required${unavailableText}`,
        ]
      : []),
  ];
};

const assessMember = (
  control: ControlStatus,
  target: StopTarget,
  requiredLosses: number,
): StopVerdict => {
  const remainingMembers = control.members.filter(
    (member) => member !== target.member && isAvailable(member),
  );
  const toleratedLossesAfter = remainingMembers.length - control.quorum;
  const reasons = reasonsAgainstStop(control, target, toleratedLossesAfter, requiredLosses);
  if (reasons.length > 0)
    return { verdict: 'unsafe', reasons, lossesBorneAfter: toleratedLossesAfter };
  const answeringCount = control.quorum + toleratedLossesAfter;
  const text =
    `${answeringCount} of ${control.members.length} members would still answer, the quorum is ` +
    `${control.quorum}; further losses tolerated afterwards: ${toleratedLossesAfter}`;
  return { verdict: 'safe', reasons: [text], lossesBorneAfter: toleratedLossesAfter };
};

const assessSpare = (control: ControlStatus): StopVerdict => {
  const unavailable = unavailableMembersOf(control);
  const toleratedLossesAfter = control.lossesBorne;
  if (unavailable.length > 0 && control.spares.length === 1) {
    const text = `its disk is the only spare and may be needed: ${describeMembers(unavailable)}`;
    return { verdict: 'unsafe', reasons: [text], lossesBorneAfter: toleratedLossesAfter };
  }
  return {
    verdict: 'safe',
    reasons: ['its disk is a spare'],
    lossesBorneAfter: toleratedLossesAfter,
  };
};

/**
 * Assesses one machine. By default the number of losses that must be tolerated afterwards is the
 * configured number minus one, since stopping the machine is itself one of those losses.
 *
 * @example
 * assessStop(status, target, null).verdict // 'safe'
 */
const assessStop = (
  status: NodeStatus,
  target: StopTarget,
  requiredLosses: number | null,
): StopVerdict => {
  const { control } = status;
  if (target.member !== null) {
    return assessMember(
      control,
      target,
      requiredLosses ?? Math.max(0, control.configuredLosses - 1),
    );
  }
  if (target.isSpare) return assessSpare(control);
  const reasons = ['it stores no part of the control state'];
  return { verdict: 'safe', reasons, lossesBorneAfter: control.lossesBorne };
};

/**
 * Decides whether the machine with a given name or address may be stopped.
 *
 * @example
 * safeToStop('core-1', leased, machines, null).verdict // 'safe'
 */
export const safeToStop = (
  nameOrAddress: string,
  status: NodeStatus | null,
  machines: readonly KnownMachine[],
  requiredLosses: number | null,
): StopVerdict => {
  if (status === null)
    return unknownVerdict('none of the queried nodes has a lease, so no majority is known');
  const targets = findTargets(nameOrAddress, status.control, machines);
  const [target] = targets;
  if (target === undefined) return unknownVerdict(`no machine is known as ${nameOrAddress}`);
  if (targets.length > 1) {
    return unknownVerdict(
      `${nameOrAddress} may denote any of ${targets.map((candidate) => candidate.id).join(', ')}`,
    );
  }
  return assessStop(status, target, requiredLosses);
};
