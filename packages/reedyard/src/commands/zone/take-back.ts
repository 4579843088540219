/** Command: restores an evacuated zone. */
import { ZoneCommand } from '../../base-command.js';

export default class ZoneTakeBack extends ZoneCommand {
  static override description = 'Take an emptied zone back into service.';
  protected override readonly order = 'take-back';
}
