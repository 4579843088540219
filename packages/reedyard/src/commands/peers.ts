/** Command: the nodes that a node knows. */
import { ReadCommand } from '../base-command.js';

export default class Peers extends ReadCommand {
  static override description =
    'The nodes that a node knows, its partial view, and the delays it pinged.';
  protected override readonly target = '/v1/peers';
}
