/** Command: what a node says of itself and of the control state. */
import type { NodeStatus } from '@reedyard/agent';
import { ReadCommand } from '../base-command.js';
import { statusLines } from '../status-text.js';

export default class Status extends ReadCommand {
  static override description =
    'How a node sees itself and its fleet: lease, members of the control state, config, origins.';
  protected override readonly target = '/v1/status';

  protected override show(body: unknown): void {
    if (!this.jsonEnabled()) this.log(statusLines(body as NodeStatus).join('\n'));
  }
}
