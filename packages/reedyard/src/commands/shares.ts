/** Command: shows the quotas in force. */
import { ReadCommand } from '../base-command.js';

export default class Shares extends ReadCommand {
  static override description =
    "Show how each service's rate limit (its ceiling, or less if its instances have less capacity) is divided among the nodes.";
  protected override readonly target = '/v1/shares';
}
