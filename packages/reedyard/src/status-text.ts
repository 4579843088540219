/** Formats a node's status for people, as `reedyard status` prints it: plain text in columns. */
import type { ControlStatus, MemberStatus, NodeStatus, OriginStatus } from '@reedyard/agent';

const columnGap = '  ';
const secondMs = 1_000;

const formatTable = (rows: readonly (readonly string[])[]): readonly string[] => {
  const widths = (rows[0] ?? []).map((_cell, column) =>
    Math.max(...rows.map((row) => (row[column] ?? '').length)),
  );
  return rows.map((row) =>
    row
      .map((cell, column) => cell.padEnd(widths[column] ?? 0))
      .join(columnGap)
      .trimEnd(),
  );
};

const listText = (names: readonly string[]): string =>
  names.length === 0 ? 'none' : names.join(', ');

const ageText = (ageMs: number | null): string =>
  ageMs === null ? 'never' : `${(ageMs / secondMs).toFixed(1)} s`;

const noteOf = (member: MemberStatus): string => {
  if (member.leaving) return 'leaving';
  return member.state === 'answering' ? '' : (member.outcome ?? '');
};

const memberRow = (member: MemberStatus): readonly string[] => [
  member.name,
  member.node ?? '?',
  member.address,
  member.zone ?? '?',
  member.disk ?? '?',
  ageText(member.lastAnswerAgeMs),
  member.state,
  noteOf(member),
];

const memberHeadings = ['member', 'node', 'address', 'zone', 'disk', 'last answer', 'state', ''];

/**
 * States in words how many more losses are tolerated.
 *
 * @example
 * lossesText(-1) // 'NO MAJORITY: 1 more must answer'
 */
const lossesText = (lossesBorne: number): string => {
  if (lossesBorne < 0) return `NO MAJORITY: ${-lossesBorne} more must answer`;
  if (lossesBorne === 0) return 'NO further loss is tolerated';
  return lossesBorne === 1
    ? '1 more loss is tolerated'
    : `${lossesBorne} more losses are tolerated`;
};

const controlLines = (control: ControlStatus): readonly string[] => {
  const answeringCount = control.members.filter((member) => member.state === 'answering').length;
  const missingCount = control.wantedMembers - control.members.length;
  return [
    `control state: epoch ${control.epoch}, ${answeringCount} of ${control.members.length} members answer, ` +
      `quorum ${control.quorum}; ${lossesText(control.lossesBorne)}`,
    ...(missingCount > 0
      ? [`  ${missingCount} more members are needed before changes are accepted`]
      : []),
    ...formatTable([memberHeadings, ...control.members.map(memberRow)]).map((line) => `  ${line}`),
    `  recovering: ${listText(control.recovering)}`,
    `  spare disks: ${listText(control.spares.map((spare) => `${spare.node} (${spare.address})`))}`,
  ];
};

const originLines = (origins: readonly OriginStatus[]): readonly string[] => {
  const excludedOrigins = origins.filter((origin) => !origin.admitted);
  return [
    `origins: ${origins.length} known, ${origins.length - excludedOrigins.length} admitted`,
    ...excludedOrigins.map(
      (origin) => `  ${origin.service}/${origin.instance}: ${origin.reason ?? '?'}`,
    ),
  ];
};

const leaseText = ({ leaseMs, unreachable }: NodeStatus): string => {
  if (leaseMs > 0) return `${leaseMs} ms remaining`;
  const reason = unreachable ? 'no majority of replicas answers' : 'it is being renewed';
  return `NONE, and ${reason}: the information below may be out of date`;
};

/**
 * Formats a node's status as lines of text.
 *
 * @example
 * statusLines(status).join('\n')
 */
export const statusLines = (status: NodeStatus): readonly string[] => [
  `node ${status.node}, zone ${status.zone}, region ${status.region}`,
  `lease: ${leaseText(status)}`,
  ...controlLines(status.control),
  `config: revision ${status.policyRevision}`,
  `evacuated zones: ${listText(status.emptiedZones)}; ` +
    `zones whose origins are closed: ${listText(status.closedOrigins)}`,
  status.quotaLeadership === null
    ? 'quota leader: none yet'
    : `quota leader: ${status.quotaLeadership.holder}, term ${status.quotaLeadership.term}`,
  ...originLines(status.origins),
];
