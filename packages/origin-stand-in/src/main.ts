#!/usr/bin/env node
/** Starts an origin for tests. */
import { parseArgs } from 'node:util';
import http from 'node:http';
import { openLogger } from '@reedyard/logging';
import { startOriginStandIn } from './index.js';

const { values } = parseArgs({
  options: {
    service: { type: 'string' },
    instance: { type: 'string' },
    incarnation: { type: 'string', default: String(Date.now()) },
    host: { type: 'string', default: '127.0.0.1' },
    port: { type: 'string', default: '0' },
    'control-port': { type: 'string', default: '0' },
    zone: { type: 'string', default: 'zone-1' },
    region: { type: 'string', default: 'region-1' },
    capacity: { type: 'string', default: '200' },
    api: { type: 'string', multiple: true },
    'max-age': { type: 'string', default: '60' },
    cold: { type: 'boolean', default: false },
  },
});
if (values.service === undefined || values.instance === undefined || values.api === undefined) {
  process.stderr.write(
    'origin-stand-in --service NAME --instance NAME --api IP:PORT [--api …] [--host IP] [--port N] [--control-port N] [--zone H] [--region R] [--capacity N] [--max-age S] [--cold]\n',
  );
  process.exit(2);
}
const logger = openLogger({
  program: 'origin-stand-in',
  service: values.service,
  instance: values.instance,
});
const standIn = await startOriginStandIn({
  service: values.service,
  instance: values.instance,
  incarnation: Number(values.incarnation),
  host: values.host,
  port: Number(values.port),
  zone: values.zone,
  region: values.region,
  capacity: Number(values.capacity),
  agentApis: values.api,
  announceIntervalMs: 2_000,
  maxAge: Number(values['max-age']),
  mode: { state: values.cold ? 'cold' : 'warm' },
});
logger.info('started', { address: standIn.address });

// Commands of the bench: POST /become with a part of a mode, /rename, /turn; GET /ran.
http
  .createServer((request, response) => {
    let text = '';
    request.on('data', (chunk) => {
      text += String(chunk);
    });
    request.on('end', () => {
      const body = text === '' ? {} : (JSON.parse(text) as Record<string, unknown>);
      if (request.url === '/become') standIn.setMode(body);
      if (request.url === '/rename') standIn.rename(body);
      if (request.url === '/turn') standIn.startNewGeneration();
      response.end(
        JSON.stringify({ ran: standIn.ran(), got: standIn.requestCount(), mode: standIn.mode() }),
      );
    });
  })
  .listen(Number(values['control-port']), values.host);
process.on('SIGTERM', () => {
  standIn.setMode({ draining: true });
  void standIn.announce().then(() => process.exit(0));
});
