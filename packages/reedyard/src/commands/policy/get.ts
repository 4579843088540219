/** Command: reads the policy in force. */
import { ReadCommand } from '../../base-command.js';

export default class PolicyGet extends ReadCommand {
  static override description =
    'Read the policy through a majority of disks: never older than the newest acknowledged one.';
  protected override readonly target = '/v1/policy';
}
