/** Examples of docs/callers.md: commands and the responses that the guide shows for them. */
import { spawn } from 'node:child_process';
import { readFile } from 'node:fs/promises';

const GUIDE = new URL('../../../../docs/callers.md', import.meta.url);
const EXAMPLE = /^```sh\n(?<command>[^`]*)^```\n\n```http\n(?<answer>[^`]*)^```$/gm;
const COMMAND_TIMEOUT_MS = 20_000;
/** Placeholder in the guide for a value that differs from run to run. */
const ANY_VALUE = '...';

export interface GuideResponse {
  readonly status: string;
  readonly headers: ReadonlyMap<string, string>;
  readonly body: string;
}

export interface GuideExample {
  readonly command: string;
  readonly expected: GuideResponse;
}

/**
 * All examples in order.
 *
 * @throws Error when a command has no response in the guide
 */
export async function guideExamples(): Promise<GuideExample[]> {
  const text = await readFile(GUIDE, 'utf8');
  const examples = [...text.matchAll(EXAMPLE)].map(({ groups = {} }) => ({
    command: groups.command ?? '',
    expected: parseResponse(groups.answer ?? ''),
  }));
  const commands = text.match(/^```sh$/gm) ?? [];
  if (commands.length !== examples.length) {
    throw new Error(
      `docs/callers.md has ${commands.length} commands, but ${examples.length} with a response`,
    );
  }
  return examples;
}

/** Parses a response as `curl -i` prints it. */
export function parseResponse(text: string): GuideResponse {
  const [head = '', ...rest] = text.replaceAll('\r\n', '\n').split('\n\n');
  const [first = '', ...lines] = head.trimEnd().split('\n');
  const fields = lines.map((line): [string, string] => {
    const [name = '', ...value] = line.split(': ');
    return [name.toLowerCase(), value.join(': ')];
  });
  return { status: first.split(' ')[1] ?? '', headers: new Map(fields), body: rest.join('\n\n') };
}

/** Differences between the shown and the actual response; empty when they match. */
export function differences(shown: GuideResponse, actual: GuideResponse): string[] {
  const values: [string, string | undefined, string | undefined][] = [
    ['status', shown.status, actual.status],
    ...[...shown.headers].map(([name, value]): [string, string | undefined, string | undefined] => [
      name,
      value === ANY_VALUE ? actual.headers.get(name) : value,
      actual.headers.get(name),
    ]),
    ['code', codeOf(shown.body), codeOf(actual.body)],
    ['fields', fieldsOf(shown.body).join(), fieldsOf(shown.body, actual.body).join()],
  ];
  return values
    .filter(([name, expected, got]) => expected !== got || (shown.headers.has(name) && !got))
    .map(([name, expected, got]) => `${name}: shown ${String(expected)}, got ${String(got)}`);
}

/** Runs a command of the guide in a shell and returns what it prints. */
export function runCommand(
  command: string,
  env: Readonly<Record<string, string>>,
): Promise<string> {
  return new Promise((resolve, reject) => {
    const child = spawn('sh', ['-c', command], {
      env: { ...process.env, ...env },
      stdio: ['ignore', 'pipe', 'inherit'],
      timeout: COMMAND_TIMEOUT_MS,
    });
    const chunks: Buffer[] = [];
    child.stdout.on('data', (chunk: Buffer) => chunks.push(chunk));
    child.on('error', reject);
    child.on('close', () => resolve(Buffer.concat(chunks).toString('utf8')));
  });
}

function codeOf(body: string): string | undefined {
  return /"code":(\d+)/.exec(body)?.[1];
}

/** Field names and stream end markers of the shown body that the other body also has. */
function fieldsOf(shown: string, other = shown): string[] {
  const names: string[] = shown.match(/"\w+":|data: \[DONE\]/g) ?? [];
  return [...new Set(names)].filter((name) => other.includes(name));
}
