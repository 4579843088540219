/** Command: the quotas in force. */
import { ReadCommand } from '../base-command.js';

export default class Shares extends ReadCommand {
  static override description =
    "How each service's bound (its ceiling, or less where its instances carry less) is divided among the nodes.";
  protected override readonly target = '/v1/shares';
}
