/** A process of the hollow fleet. */
import { errorMessage } from '@reedyard/logging';
import { HollowHost, type HostOperations } from './hollow-host.js';

/**
 * A process of a hollow fleet: does what the bench that started it asks, and ends when that one
 * ends.
 */
const host = new HollowHost();
process.on(
  'message',
  (message: {
    readonly id: number;
    readonly method: keyof HostOperations;
    readonly words: readonly unknown[];
  }) => {
    // Called with its host right below.
    // eslint-disable-next-line @typescript-eslint/unbound-method
    const method = host[message.method] as (...words: readonly unknown[]) => Promise<unknown>;
    method.apply(host, [...message.words]).then(
      (value) => process.send?.({ id: message.id, value }),
      (thrown: unknown) => process.send?.({ id: message.id, fault: errorMessage(thrown) }),
    );
  },
);
process.on('disconnect', () => {
  void host.close().finally(() => process.exit(0));
});
