/** Command: evacuates a zone. */
import { ZoneCommand } from '../../base-command.js';

export default class ZoneEmpty extends ZoneCommand {
  static override description =
    'Evacuate a zone: its nodes are no longer ready, and its nodes and origins get no more requests.';
  protected override readonly order = 'empty';
}
