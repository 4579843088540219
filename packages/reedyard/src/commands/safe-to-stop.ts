/** Command: whether a machine may be stopped now. */
import { Args, Flags } from '@oclif/core';
import type { NodeStatus } from '@reedyard/agent';
import { BaseCommand } from '../base-command.js';
import { getFromAllNodes } from '../api-client.js';
import { authoritativeStatus, safeToStop, stopExitCodes } from '../safe-to-stop.js';
import type { KnownMachine, StopVerdict } from '../safe-to-stop.js';

type Heard = { readonly status: NodeStatus; readonly machines: readonly KnownMachine[] };

export default class SafeToStop extends BaseCommand {
  static override description =
    'Whether a machine may be taken away now: exit code 0 safe, 1 not safe, 2 unknown.';
  static override examples = [
    '<%= config.bin %> safe-to-stop core-1 -n 10.0.0.1:7080,10.0.0.2:7080,10.0.0.3:7080',
    '<%= config.bin %> safe-to-stop 10.0.0.4:7200 --losses 0',
  ];
  static override args = {
    machine: Args.string({ required: true, description: 'node id, member name, or address' }),
  };
  static override flags = {
    losses: Flags.integer({
      min: 0,
      description: 'further losses to be borne after it; by default those configured, less one',
    }),
  };

  async run(): Promise<StopVerdict> {
    const { args, flags } = await this.parse(SafeToStop);
    const heard = await this.heardFrom(flags.node);
    const status = authoritativeStatus(heard.map((each) => each.status));
    const machines = heard.find((each) => each.status === status)?.machines ?? [];
    const verdict = safeToStop(args.machine, status, machines, flags.losses ?? null);
    if (!this.jsonEnabled()) this.tell(args.machine, verdict);
    process.exitCode = stopExitCodes[verdict.verdict];
    return verdict;
  }

  /** What each node says of itself and of others; nodes that don't answer are left out. */
  private async heardFrom(nodes: string): Promise<readonly Heard[]> {
    const addresses = this.parseAddresses(nodes);
    const [statuses, lists] = await Promise.all([
      getFromAllNodes(addresses, '/v1/status'),
      getFromAllNodes(addresses, '/v1/peers'),
    ]);
    return addresses.flatMap((address) => {
      const status = statuses.get(address) as Partial<NodeStatus> | undefined;
      const list = lists.get(address) as { readonly peers: readonly KnownMachine[] } | undefined;
      if (status?.control === undefined) return [];
      return [{ status: status as NodeStatus, machines: list?.peers ?? [] }];
    });
  }

  private tell(machine: string, verdict: StopVerdict): void {
    this.log([`${machine}: ${verdict.verdict}`, ...verdict.reasons].join('\n  '));
  }
}
