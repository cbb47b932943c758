/** Requests of clients. */
import http from 'node:http';

let lastId = 0;
const RUN = Math.random().toString(16).slice(2, 8);
export const newId = () => {
  lastId += 1;
  return `${RUN}${String(lastId).padStart(6, '0')}`;
};

/** Sends a request on a new connection; resolves with what was received, also of a broken answer. */
export function send(address, { method, path, headers = {}, body, timeoutMs = 30000, onData }) {
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    const chunks = [];
    const state = { status: 0, headers: {}, complete: false, error: '' };
    const finish = () => resolve({ ...state, body: Buffer.concat(chunks) });
    const req = http.request({ host, port, method, path, headers, agent: false }, (res) => {
      state.status = res.statusCode;
      state.headers = res.headers;
      res.on('data', (chunk) => {
        chunks.push(chunk);
        onData?.(chunk);
      });
      res.on('error', (err) => {
        state.error = err.message;
      });
      res.on('close', () => {
        state.complete = res.complete;
        finish();
      });
    });
    req.setTimeout(timeoutMs, () => req.destroy(new Error('client gave up')));
    req.on('error', (err) => {
      state.error = err.message;
      finish();
    });
    req.end(body);
  });
}
