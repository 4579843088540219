/** Command: whether a node's agent runs. */
import { ReadCommand } from '../base-command.js';

export default class Live extends ReadCommand {
  static override description =
    "Whether a node's agent runs at all: exit code 0 if it answers, 4 if not.";
  protected override readonly target = '/live';
}
