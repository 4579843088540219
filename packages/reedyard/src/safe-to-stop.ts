/**
 * Whether a machine may be taken away now without harm to the control state.
 *
 * Pure: it judges the statuses that nodes gave. Only a node that holds a lease is believed, since
 * its view is backed by answers of a majority that are at most a lease old. The verdict holds for
 * the moment of asking: it reserves nothing.
 */
import type { ControlStatus, MemberStatus, NodeStatus } from '@reedyard/agent';

/** Exit codes of `reedyard safe-to-stop`; they stay as they are. */
export const stopExitCodes = { safe: 0, unsafe: 1, unknown: 2 } as const;

/** A machine that a node has heard of, as `GET /v1/peers` lists it. */
export type KnownMachine = {
  readonly id: string;
  readonly address: string;
  readonly replica: { readonly address: string } | null;
  readonly proxy: { readonly callers: string } | null;
};

/** What is to be judged: a machine, and the member of the control state on it, if any. */
export type StopTarget = {
  readonly id: string;
  readonly member: MemberStatus | null;
  readonly isSpare: boolean;
};

export type StopVerdict = {
  readonly verdict: 'safe' | 'unsafe' | 'unknown';
  /** Why; more than one reason may hold. */
  readonly reasons: readonly string[];
  /** Further losses that are borne once the machine is away; null where that is not known. */
  readonly lossesBorneAfter: number | null;
};

const unknown = (reason: string): StopVerdict => ({
  verdict: 'unknown',
  reasons: [reason],
  lossesBorneAfter: null,
});

/**
 * The status to go by: that of a node with a lease, of the newest epoch, the least hopeful first.
 *
 * @example
 * believedStatus([cutOff, leased]) // leased
 */
export const authoritativeStatus = (statuses: readonly NodeStatus[]): NodeStatus | null => {
  const leased = statuses.filter((status) => status.leaseMs > 0);
  const [best] = [...leased].sort(
    (a, b) => b.control.epoch - a.control.epoch || a.control.lossesBorne - b.control.lossesBorne,
  );
  return best ?? null;
};

const hostOf = (address: string): string => address.slice(0, address.lastIndexOf(':'));

const isNamed = (wanted: string, names: readonly string[], addresses: readonly string[]): boolean =>
  names.includes(wanted) ||
  addresses.some((address) => address === wanted || hostOf(address) === wanted);

const addressesOf = (machine: KnownMachine): readonly string[] => [
  machine.address,
  ...(machine.replica === null ? [] : [machine.replica.address]),
  ...(machine.proxy === null ? [] : [machine.proxy.callers]),
];

/**
 * Every machine that a name or an address may mean. A member whose machine gossip no longer
 * tells of is still found, by the member's own name or address.
 *
 * @example
 * findTargets('core-1', status.control, machines)[0]?.member?.state // 'answering'
 */
const findTargets = (
  wanted: string,
  control: ControlStatus,
  machines: readonly KnownMachine[],
): readonly StopTarget[] => {
  const named = machines.filter((machine) => isNamed(wanted, [machine.id], addressesOf(machine)));
  const heard = named.map((machine) => ({
    id: machine.id,
    member: control.members.find((member) => member.node === machine.id) ?? null,
    isSpare: control.spares.some((spare) => spare.node === machine.id),
  }));
  const unheard = control.members
    .filter((member) => !heard.some((target) => target.member === member))
    .filter((member) => isNamed(wanted, [member.name, member.node ?? ''], [member.address]))
    .map((member) => ({ id: member.node ?? member.name, member, isSpare: false }));
  return [...heard, ...unheard];
};

const describeMembers = (members: readonly MemberStatus[]): string =>
  members
    .map((member) => `${member.name} is ${member.leaving ? 'leaving' : member.state}`)
    .join(', ');

const isStaying = (member: MemberStatus): boolean =>
  member.state === 'answering' && !member.leaving;

/** Members that don't vote, or that will soon have gone. */
const absentOf = (control: ControlStatus): readonly MemberStatus[] =>
  control.members.filter((member) => !isStaying(member));

/** What speaks against the loss of one more answer, whoever's it is. */
const objections = (
  control: ControlStatus,
  target: StopTarget,
  after: number,
  wanted: number,
): readonly string[] => {
  const others = absentOf(control).filter((member) => member !== target.member);
  const missing = control.wantedMembers - control.members.length;
  const absence = others.length === 0 ? '' : ` (${describeMembers(others)})`;
  return [
    ...(missing > 0
      ? [`only ${control.members.length} of ${control.wantedMembers} members were found so far`]
      : []),
    ...(after < 0 ? [`no majority of ${control.quorum} would remain${absence}`] : []),
    ...(after >= 0 && after < wanted
      ? [`${after} further losses would be borne, ${wanted} are wanted${absence}`]
      : []),
  ];
};

const judgeMember = (control: ControlStatus, target: StopTarget, wanted: number): StopVerdict => {
  const staying = control.members.filter((member) => member !== target.member && isStaying(member));
  const after = staying.length - control.quorum;
  const reasons = objections(control, target, after, wanted);
  if (reasons.length > 0) return { verdict: 'unsafe', reasons, lossesBorneAfter: after };
  const answering = control.quorum + after;
  const text =
    `${answering} of ${control.members.length} members would still answer, the quorum is ` +
    `${control.quorum}: further losses that are then borne: ${after}`;
  return { verdict: 'safe', reasons: [text], lossesBorneAfter: after };
};

const judgeSpare = (control: ControlStatus): StopVerdict => {
  const absent = absentOf(control);
  const after = control.lossesBorne;
  if (absent.length > 0 && control.spares.length === 1) {
    const text = `it is the only spare disk, and may be wanted: ${describeMembers(absent)}`;
    return { verdict: 'unsafe', reasons: [text], lossesBorneAfter: after };
  }
  return { verdict: 'safe', reasons: ['its disk is a spare'], lossesBorneAfter: after };
};

/**
 * Judges one machine. By default as many losses must be borne after it as the settings want, less
 * the one that taking it away is itself.
 *
 * @example
 * judgeStop(status, target, null).verdict // 'safe'
 */
const judgeStop = (
  status: NodeStatus,
  target: StopTarget,
  wantedLosses: number | null,
): StopVerdict => {
  const { control } = status;
  if (target.member !== null) {
    return judgeMember(control, target, wantedLosses ?? Math.max(0, control.configuredLosses - 1));
  }
  if (target.isSpare) return judgeSpare(control);
  const reasons = ['it holds no part of the control state'];
  return { verdict: 'safe', reasons, lossesBorneAfter: control.lossesBorne };
};

/**
 * The whole judgement, from a name and what was heard.
 *
 * @example
 * safeToStop('core-1', leased, machines, null).verdict // 'safe'
 */
export const safeToStop = (
  wanted: string,
  status: NodeStatus | null,
  machines: readonly KnownMachine[],
  wantedLosses: number | null,
): StopVerdict => {
  if (status === null) return unknown('no node that was asked has a lease: no majority is known');
  const targets = findTargets(wanted, status.control, machines);
  const [target] = targets;
  if (target === undefined) return unknown(`no machine is known as ${wanted}`);
  if (targets.length > 1) {
    return unknown(`${wanted} may be any of ${targets.map((each) => each.id).join(', ')}`);
  }
  return judgeStop(status, target, wantedLosses);
};
