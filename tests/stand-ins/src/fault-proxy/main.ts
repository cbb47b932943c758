/**
 * TCP proxy that injects faults. Its control port adds listeners (`POST /links`), changes delay,
 * rate and cuts between two endpoints (`POST /flows`) and sets faults of their connections
 * (`POST /faults`) or resets the connections (`POST /reset`).
 */
import { Command } from 'commander';
import { readJson, sendJson, serveTestPort, type RequestContext } from '../common/http-server.js';
import { Flow, type FlowSettings } from './flow.js';
import { Link, type LinkFaults, type LinkOptions } from './link.js';

/** Two ends of a link, each a failure domain, a VM or `platform`; `*` matches any. */
interface LinkEndpoints {
  readonly from: string;
  readonly to: string;
}

const options = new Command('fault-proxy')
  .requiredOption('--test-port <port>', 'control port', Number)
  .parse()
  .opts<{ testPort: number }>();

const flows = new Map<string, Flow>();
const links: Link[] = [];

await serveTestPort(options.testPort, {}, handle);

async function handle({ req, res, route }: RequestContext): Promise<void> {
  if (route === 'POST /links') {
    await Promise.all((await readJson<LinkOptions[]>(req)).map(addLink));
    sendJson(res, 200, {});
  } else if (route === 'POST /flows') {
    const { from, to, both, ...settings } = await readJson<
      LinkEndpoints & { both?: boolean } & Partial<FlowSettings>
    >(req);
    const changed = [...flows].filter(
      ([name]) => matches(name, { from, to }) || (both && matches(name, { from: to, to: from })),
    );
    changed.forEach(([, flow]) => flow.change(settings));
    sendJson(res, changed.length > 0 ? 200 : 404, { changed: changed.length });
  } else if (route === 'POST /faults') {
    const { from, to, ...faults } = await readJson<LinkEndpoints & Partial<LinkFaults>>(req);
    linksBetween({ from, to }).forEach((link) => Object.assign(link.faults, faults));
    sendJson(res, 200, {});
  } else if (route === 'POST /reset') {
    linksBetween(await readJson<LinkEndpoints>(req)).forEach((link) => link.reset());
    sendJson(res, 200, {});
  } else if (route === 'GET /flows') {
    const entries = [...flows].map(([name, { settings, bytes }]) => [name, { ...settings, bytes }]);
    sendJson(res, 200, Object.fromEntries(entries));
  } else sendJson(res, 404, { error: 'no such path' });
}

async function addLink(link: LinkOptions): Promise<void> {
  const added = new Link(link, flowOf(link.from, link.to), flowOf(link.to, link.from));
  links.push(added);
  await added.listen();
}

function flowOf(from: string, to: string): Flow {
  const name = `${from}>${to}`;
  const flow = flows.get(name) ?? new Flow();
  flows.set(name, flow);
  return flow;
}

function linksBetween(endpoints: LinkEndpoints): Link[] {
  return links.filter(({ options: { from, to } }) => matches(`${from}>${to}`, endpoints));
}

function matches(name: string, { from, to }: LinkEndpoints): boolean {
  const [first = '', second = ''] = name.split('>');
  return (from === '*' || from === first) && (to === '*' || to === second);
}
