/** Fetches the status of a control daemon over HTTP. */
import http from 'node:http';
import type { StatusResult } from '@marjoramcart/core';
import { readBody } from '@marjoramcart/runtime';

const TIMEOUT_MS = 3000;
const MAX_RESPONSE_BYTES = 64 * 1024 * 1024;

/**
 * Fetches `/status` from the admin listener of a control daemon.
 *
 * @throws Error when the daemon can't be reached within 3 s or the response is not a status.
 * @example await fetchStatus('127.0.0.1:7003')
 */
export function fetchStatus(address: string): Promise<StatusResult> {
  return new Promise((resolve, reject) => {
    const url = URL.canParse(`http://${address}/status`)
      ? new URL(`http://${address}/status`)
      : undefined;
    if (!url) {
      reject(new Error('invalid address: expected ip:port'));
      return;
    }
    const req = http.get(url, { agent: false, timeout: TIMEOUT_MS }, (res) => {
      readBody(res, { maxBytes: MAX_RESPONSE_BYTES, timeoutMs: TIMEOUT_MS })
        .then((body) => {
          if (res.statusCode !== 200) throw new Error(`HTTP status ${res.statusCode}`);
          if (body.kind !== 'complete') throw new Error(`the response is ${body.kind}`);
          resolve(parseStatus(body.data.toString('utf8')));
        })
        .catch((err: unknown) => {
          req.destroy();
          reject(err instanceof Error ? err : new Error(String(err)));
        });
    });
    req.on('timeout', () => req.destroy(new Error(`no response within ${TIMEOUT_MS} ms`)));
    req.on('error', reject);
  });
}

function parseStatus(text: string): StatusResult {
  const status = JSON.parse(text) as Partial<StatusResult>;
  const lists = [status.processes, status.summaries, status.gaps];
  if (!status.control || typeof status.revision !== 'number' || !lists.every(Array.isArray)) {
    throw new Error('the response is not the status of a control daemon');
  }
  return status as StatusResult;
}
