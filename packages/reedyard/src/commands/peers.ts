/** Command: lists the nodes that a node knows. */
import { ReadCommand } from '../base-command.js';

export default class Peers extends ReadCommand {
  static override description =
    'List the nodes that a node knows, its partial view, and the delays that it measured by pings.';
  protected override readonly target = '/v1/peers';
}
