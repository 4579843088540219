/** Command: checks whether a machine may be stopped now. */
import { Args, Flags } from '@oclif/core';
import type { NodeStatus } from '@reedyard/agent';
import { BaseCommand } from '../base-command.js';
import { getFromAllNodes } from '../api-client.js';
import { authoritativeStatus, safeToStop, stopExitCodes } from '../safe-to-stop.js';
import type { KnownMachine, StopVerdict } from '../safe-to-stop.js';

/** The replies of one node: its status, and the machines that it knows. */
type NodeReport = { readonly status: NodeStatus; readonly machines: readonly KnownMachine[] };

export default class SafeToStop extends BaseCommand {
  static override description =
    'Check whether a machine may be stopped now: exit code 0 safe, 1 not safe, 2 unknown.';
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
      description:
        'further losses that must be tolerated afterwards; default: the configured number minus one',
    }),
  };

  async run(): Promise<StopVerdict> {
    const { args, flags } = await this.parse(SafeToStop);
    const reports = await this.queryNodes(flags.node);
    const status = authoritativeStatus(reports.map((report) => report.status));
    const machines = reports.find((report) => report.status === status)?.machines ?? [];
    const verdict = safeToStop(args.machine, status, machines, flags.losses ?? null);
    if (!this.jsonEnabled()) this.print(args.machine, verdict);
    process.exitCode = stopExitCodes[verdict.verdict];
    return verdict;
  }

  /** Queries the status and the known machines of each node; nodes that don't respond are left out. */
  private async queryNodes(nodes: string): Promise<readonly NodeReport[]> {
    const addresses = this.parseAddresses(nodes);
    const [statuses, peerLists] = await Promise.all([
      getFromAllNodes(addresses, '/v1/status'),
      getFromAllNodes(addresses, '/v1/peers'),
    ]);
    return addresses.flatMap((address) => {
      const status = statuses.get(address) as Partial<NodeStatus> | undefined;
      const peerList = peerLists.get(address) as
        { readonly peers: readonly KnownMachine[] } | undefined;
      if (status?.control === undefined) return [];
      return [{ status: status as NodeStatus, machines: peerList?.peers ?? [] }];
    });
  }

  private print(machine: string, verdict: StopVerdict): void {
    this.log([`${machine}: ${verdict.verdict}`, ...verdict.reasons].join('\n  '));
  }
}
