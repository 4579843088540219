/** Command: predicts the effects of a policy or of zone orders. */
import { Flags } from '@oclif/core';
import type { NodeRecord } from '@reedyard/agent';
import type { OriginDescription, Policy } from '@reedyard/schemas';
import { plan, type ChangePlan } from '@reedyard/planner';
import { BaseCommand } from '../base-command.js';
import { ClientError, exitCodes } from '../api-client.js';

export default class Plan extends BaseCommand {
  static override description =
    'Show what a policy or zone orders would change: routes, services, origins, shares and load by node. Nothing is sent.';
  static override examples = [
    '<%= config.bin %> plan --policy next.json',
    '<%= config.bin %> plan --empty west',
  ];
  static override flags = {
    policy: Flags.string({ description: 'policy to plan, a JSON file or - for standard input' }),
    empty: Flags.string({ multiple: true, description: 'zone to evacuate' }),
    'take-back': Flags.string({ multiple: true, description: 'zone to restore' }),
    ...BaseCommand.templateFlags,
  };

  async run(): Promise<ChangePlan> {
    const { flags } = await this.parse(Plan);
    if (flags.policy === undefined && flags.empty === undefined && flags['take-back'] === undefined)
      throw new ClientError(exitCodes.usage, 'expected --policy, --empty or --take-back');
    const newPolicy = flags.policy === undefined ? undefined : this.readPolicy(flags.policy, flags);
    const get = async <T>(target: string): Promise<T> =>
      (await this.call(flags.node, 'GET', target)) as T;
    const [{ policy }, status, { peers }, { services }] = await Promise.all([
      get<{ policy: Policy }>('/v1/policy'),
      get<{ emptiedZones: string[]; closedOrigins?: string[]; origins: OriginDescription[] }>(
        '/v1/status',
      ),
      get<{ peers: NodeRecord[] }>('/v1/peers'),
      get<{ services: Record<string, { slices: Record<string, number> }> }>('/v1/shares'),
    ]);
    const zones = new Set(peers.map((node) => node.zone));
    const unknownZones = [...(flags.empty ?? []), ...(flags['take-back'] ?? [])].filter(
      (zone) => !zones.has(zone),
    );
    if (unknownZones.length > 0)
      throw new ClientError(
        exitCodes.refused,
        `no node is in ${unknownZones.join(', ')}; the zones are ${[...zones].sort().join(', ')}`,
      );
    const changes = plan(
      {
        policy,
        evacuatedZones: status.emptiedZones,
        ...(status.closedOrigins === undefined
          ? {}
          : { zonesWithClosedOrigins: status.closedOrigins }),
        origins: status.origins,
        nodes: peers,
        quotaRates: Object.fromEntries(
          Object.entries(services).map(([name, service]) => [name, service.slices]),
        ),
      },
      {
        ...(newPolicy === undefined ? {} : { policy: newPolicy }),
        ...(flags.empty === undefined ? {} : { evacuate: flags.empty }),
        ...(flags['take-back'] === undefined ? {} : { restore: flags['take-back'] }),
      },
    );
    if (!this.jsonEnabled()) this.print(changes);
    return changes;
  }

  private print(changes: ChangePlan): void {
    const rateText = (value: number): string => `${value.toFixed(1)}/s`;
    const lines = [
      ...changes.routes.added.map((name) => `route ${name}: added`),
      ...changes.routes.removed.map((name) => `route ${name}: removed`),
      ...changes.routes.changed.map(
        (change) => `route ${change.route}: ${change.fields.join(', ')} changed`,
      ),
      ...changes.services.map(
        (change) =>
          `service ${change.service}: ${change.change}, ceiling ${change.ceiling.map((ceiling) => ceiling ?? 'none').join(' -> ')}`,
      ),
      ...changes.origins.map(
        (change) => `origin ${change.origin}: ${change.before} -> ${change.after}`,
      ),
      ...changes.nodes.map((change) => `node ${change.node}: ${change.before} -> ${change.after}`),
      ...changes.shares.map(
        (change) =>
          `share of ${change.service} at ${change.node}: ${rateText(change.before)} -> ${rateText(change.after)}`,
      ),
      ...changes.load
        .filter((change) => Math.abs(change.before - change.after) > 0.05)
        .map(
          (change) =>
            `load at ${change.node}: ${rateText(change.before)} -> ${rateText(change.after)}`,
        ),
      ...changes.warnings.map((warning) => `warning: ${warning}`),
    ];
    this.log(lines.length === 0 ? 'nothing would change' : lines.join('\n'));
  }
}
