/** Command: what an order would move; sends nothing. */
import { Flags } from '@oclif/core';
import type { NodeRecord } from '@reedyard/agent';
import type { OriginDescription, Policy } from '@reedyard/schemas';
import { plan, type ChangePlan } from '@reedyard/planner';
import { BaseCommand } from '../base-command.js';
import { ClientError, exitCodes } from '../api-client.js';

export default class Plan extends BaseCommand {
  static override description =
    'Show what a policy or zone orders would move: routes, services, origins, shares and load by node. Nothing is sent.';
  static override examples = [
    '<%= config.bin %> plan --policy next.json',
    '<%= config.bin %> plan --empty west',
  ];
  static override flags = {
    policy: Flags.string({ description: 'policy to plan, a JSON file or - for standard input' }),
    empty: Flags.string({ multiple: true, description: 'zone to empty' }),
    'take-back': Flags.string({ multiple: true, description: 'zone to take back' }),
    ...BaseCommand.templateFlags,
  };

  async run(): Promise<ChangePlan> {
    const { flags } = await this.parse(Plan);
    if (flags.policy === undefined && flags.empty === undefined && flags['take-back'] === undefined)
      throw new ClientError(exitCodes.usage, 'wanted --policy, --empty or --take-back');
    const next = flags.policy === undefined ? undefined : this.readPolicy(flags.policy, flags);
    const read = async <T>(target: string): Promise<T> =>
      (await this.call(flags.node, 'GET', target)) as T;
    const [{ policy }, status, { peers }, { services }] = await Promise.all([
      read<{ policy: Policy }>('/v1/policy'),
      read<{ emptiedZones: string[]; closedOrigins?: string[]; origins: OriginDescription[] }>(
        '/v1/status',
      ),
      read<{ peers: NodeRecord[] }>('/v1/peers'),
      read<{ services: Record<string, { slices: Record<string, number> }> }>('/v1/shares'),
    ]);
    const zones = new Set(peers.map((node) => node.zone));
    const unknown = [...(flags.empty ?? []), ...(flags['take-back'] ?? [])].filter(
      (zone) => !zones.has(zone),
    );
    if (unknown.length > 0)
      throw new ClientError(
        exitCodes.refused,
        `no node stands in ${unknown.join(', ')}; zones are ${[...zones].sort().join(', ')}`,
      );
    const moves = plan(
      {
        policy,
        emptied: status.emptiedZones,
        ...(status.closedOrigins === undefined ? {} : { closedOrigins: status.closedOrigins }),
        origins: status.origins,
        nodes: peers,
        slices: Object.fromEntries(
          Object.entries(services).map(([name, each]) => [name, each.slices]),
        ),
      },
      {
        ...(next === undefined ? {} : { policy: next }),
        ...(flags.empty === undefined ? {} : { empty: flags.empty }),
        ...(flags['take-back'] === undefined ? {} : { takeBack: flags['take-back'] }),
      },
    );
    if (!this.jsonEnabled()) this.tell(moves);
    return moves;
  }

  private tell(moves: ChangePlan): void {
    const rate = (value: number): string => `${value.toFixed(1)}/s`;
    const lines = [
      ...moves.routes.added.map((name) => `route ${name}: added`),
      ...moves.routes.removed.map((name) => `route ${name}: removed`),
      ...moves.routes.changed.map(
        (each) => `route ${each.route}: ${each.fields.join(', ')} changed`,
      ),
      ...moves.services.map(
        (each) =>
          `service ${each.service}: ${each.change}, ceiling ${each.ceiling.map((ceiling) => ceiling ?? 'none').join(' -> ')}`,
      ),
      ...moves.origins.map((each) => `origin ${each.origin}: ${each.before} -> ${each.after}`),
      ...moves.nodes.map((each) => `node ${each.node}: ${each.before} -> ${each.after}`),
      ...moves.shares.map(
        (each) =>
          `share of ${each.service} at ${each.node}: ${rate(each.before)} -> ${rate(each.after)}`,
      ),
      ...moves.load
        .filter((each) => Math.abs(each.before - each.after) > 0.05)
        .map((each) => `load at ${each.node}: ${rate(each.before)} -> ${rate(each.after)}`),
      ...moves.warnings.map((warning) => `warning: ${warning}`),
    ];
    this.log(lines.length === 0 ? 'nothing would move' : lines.join('\n'));
  }
}
