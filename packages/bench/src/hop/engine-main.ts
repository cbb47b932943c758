/** Engine of the hop bench: streams events of fixed size and rate. Prints its port. */
import http, { type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

interface OpenStream {
  readonly res: ServerResponse;
  readonly length: number;
  sent: number;
}

const CONTENT = JSON.stringify({ choices: [{ index: 0, delta: { content: ' rigging' } }] });
const intervalMs = Number(process.argv[2]);
/** Streams by the millisecond of the interval in which they send, so that load is even. */
const phases = Array.from({ length: intervalMs }, () => new Set<OpenStream>());
const clock = { tick: 0, startedAt: performance.now() };

function sendNext(stream: OpenStream, phase: Set<OpenStream>): void {
  const { res, length } = stream;
  const id = stream.sent + 1;
  Object.assign(stream, { sent: id });
  if (id < length) {
    res.write(`id: ${id}\ndata: ${CONTENT}\n\n`);
    return;
  }
  phase.delete(stream);
  res.end(`id: ${id}\ndata: [DONE]\n\n`);
}

setInterval(() => {
  const due = Math.floor(performance.now() - clock.startedAt);
  while (clock.tick < due) {
    clock.tick += 1;
    const phase = phases[clock.tick % intervalMs] ?? new Set();
    phase.forEach((stream) => sendNext(stream, phase));
  }
}, 1);

const server = http.createServer((req, res) => {
  const chunks: Buffer[] = [];
  req.on('data', (chunk: Buffer) => chunks.push(chunk));
  req.on('end', () => {
    const body = JSON.parse(Buffer.concat(chunks).toString('utf8')) as { max_tokens: number };
    res.writeHead(200, { 'content-type': 'text/event-stream', 'stream-id': 's' });
    res.socket?.setNoDelay(true);
    const phase = phases[clock.tick % intervalMs] ?? new Set();
    const stream = { res, length: body.max_tokens, sent: 0 };
    res.on('close', () => phase.delete(stream));
    phase.add(stream);
    sendNext(stream, phase);
  });
});
server.listen(0, '127.0.0.1', () =>
  process.stdout.write(`${(server.address() as AddressInfo).port}\n`),
);
