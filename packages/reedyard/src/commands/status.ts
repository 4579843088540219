/** Command: shows the status of a node and of the control state. */
import type { NodeStatus } from '@reedyard/agent';
import { ReadCommand } from '../base-command.js';
import { statusLines } from '../status-text.js';

export default class Status extends ReadCommand {
  static override description =
    'Show how a node sees itself and the system: lease, members of the control state, config, origins.';
  protected override readonly target = '/v1/status';

  protected override show(body: unknown): void {
    if (!this.jsonEnabled()) this.log(statusLines(body as NodeStatus).join('\n'));
  }
}
