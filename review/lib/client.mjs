/** A client that keeps one connection and sends its requests on it, one after the other. */
import http from 'node:http';
import { clearTimeout, setTimeout } from 'node:timers';
import { newRequestId, sleep } from './fleet.mjs';

export class KeptClient {
  /** `next` returns the next request; the client pauses for `pauseMs` on average. */
  constructor({ front, next, pauseMs = 0, timeLeftMs = 2_500, seen }) {
    Object.assign(this, { front, next, pauseMs, timeLeftMs, seen });
    this.agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
    this.isOver = false;
  }

  async run() {
    while (!this.isOver) {
      const outcome = await this.#send(this.next());
      this.seen.push(outcome);
      await sleep(outcome.status === 0 ? 200 : 2 * Math.random() * this.pauseMs);
    }
    this.agent.destroy();
  }

  stop() {
    this.isOver = true;
  }

  #send({ method, target, body = '' }) {
    const { front, agent, timeLeftMs } = this;
    const id = newRequestId();
    const sentAt = Date.now();
    return new Promise((resolve) => {
      let hasGivenUp = false;
      const request = http.request(
        {
          host: front.host,
          port: front.port,
          method,
          path: target,
          agent,
          headers: {
            host: 'site.example',
            'request-id': id,
            'time-left-ms': String(timeLeftMs),
            ...(method === 'GET' ? {} : { 'content-length': body.length }),
          },
        },
        (response) => {
          const chunks = [];
          response.on('data', (chunk) => chunks.push(chunk));
          response.on('error', () => undefined);
          response.on('close', () =>
            finish({
              status: response.complete ? response.statusCode : 0,
              seal: response.headers['server-seal'] ?? null,
              text: chunks.join(''),
              why: response.complete ? '' : 'the answer was cut',
            }),
          );
        },
      );
      const timer = setTimeout(() => {
        hasGivenUp = true;
        request.destroy(new Error('gave up'));
      }, timeLeftMs);
      const finish = (outcome) => {
        clearTimeout(timer);
        resolve({
          id,
          method,
          target,
          front: front.name,
          sentAt,
          endedAt: Date.now(),
          isKept: request.reusedSocket,
          hasGivenUp,
          ...outcome,
        });
      };
      request.on('error', (error) => finish({ status: 0, why: error.message }));
      request.end(body);
    });
  }
}
