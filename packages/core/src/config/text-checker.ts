/**
 * Checks successive texts. Parts whose text did not change are not parsed again, and while the main
 * part stays the same only the customers of changed parts are checked. The result is that of
 * `checkText` on the whole text.
 */
import { checkCustomers } from './check-customers.js';
import {
  checkConfig,
  isCustomersPart,
  locateCustomers,
  uncachedParser,
  type ConfigCheckResult,
  type PartParser,
} from './check-text.js';
import type { PartResult } from './parse-part.js';
import type { ConfigPart } from './text-fault.js';
import type { CustomerConfig, CustomersPart, MainPart } from './text-schema.js';

interface CachedPart<Value> {
  readonly part: ConfigPart;
  readonly result: PartResult<Value>;
}

/** The last accepted text: its customers by file, and the file of each id and key. */
interface AcceptedIndex {
  readonly main: { readonly part: ConfigPart; readonly value: MainPart };
  readonly byFile: Map<string, CachedPart<CustomersPart>>;
  readonly fileOfId: Map<string, string>;
  readonly fileOfKey: Map<string, string>;
}

export class ConfigChecker {
  private readonly mains = new Map<string, CachedPart<MainPart>>();

  private readonly lists = new Map<string, CachedPart<CustomersPart>>();

  private accepted: AcceptedIndex | undefined;

  private readonly reader: PartParser = {
    main: (part) => reread(this.mains, part, uncachedParser.main).result,
    customers: (part) => reread(this.lists, part, uncachedParser.customers).result,
  };

  /**
   * Checks a text as `checkText` does.
   *
   * @example new TextChecker().check([{ file: 'config/main', text: 'format: 1' }]).kind // 'rejected'
   */
  check(parts: readonly ConfigPart[]): ConfigCheckResult {
    const files = new Set(parts.map(({ file }) => file));
    [this.mains, this.lists].forEach((held) =>
      [...held.keys()].filter((file) => !files.has(file)).forEach((file) => held.delete(file)),
    );
    return this.checkChanged(parts) ?? this.checkAll(parts);
  }

  private checkAll(parts: readonly ConfigPart[]): ConfigCheckResult {
    const result = checkConfig(parts, this.reader);
    if (result.kind === 'accepted') this.accepted = this.indexOf(parts, result.main);
    return result;
  }

  private indexOf(parts: readonly ConfigPart[], main: MainPart): AcceptedIndex | undefined {
    const part = parts.find((candidate) => !isCustomersPart(candidate));
    // The index needs one part for each name; values of the configuration service always have that.
    if (!part || new Set(parts.map(({ file }) => file)).size < parts.length) return undefined;
    const accepted: AcceptedIndex = {
      main: { part, value: main },
      byFile: new Map(this.lists),
      fileOfId: new Map(),
      fileOfKey: new Map(),
    };
    addCustomers(accepted, part.file, main.customers);
    this.lists.forEach((held, file) => addCustomers(accepted, file, customersOf(held)));
    return accepted;
  }

  /**
   * Checks what differs from the last accepted text. Undefined when that is not enough for the
   * verdict or for the list of faults.
   */
  private checkChanged(parts: readonly ConfigPart[]): ConfigCheckResult | undefined {
    const { accepted } = this;
    if (!accepted || !sameMain(parts, accepted.main.part)) return undefined;
    const lists = parts.filter(isCustomersPart);
    const held = lists.map((part) => reread(this.lists, part, uncachedParser.customers));
    const files = new Set(lists.map(({ file }) => file));
    if (files.size < lists.length) return undefined;
    const changed = held.filter((item) => accepted.byFile.get(item.part.file) !== item);
    const removed = [...accepted.byFile.keys()].filter((file) => !files.has(file));
    if (changed.some(({ result }) => result.kind !== 'parsed')) return undefined;
    const replaced = new Set([...removed, ...changed.map(({ part }) => part.file)]);
    if (!fits(accepted, changed, replaced)) return undefined;

    replaced.forEach((file) => removeCustomers(accepted, file));
    changed.forEach((item) => {
      accepted.byFile.set(item.part.file, item);
      addCustomers(accepted, item.part.file, customersOf(item));
    });
    const { value: main } = accepted.main;
    return {
      kind: 'accepted',
      main,
      customers: [...main.customers, ...held.flatMap(customersOf)],
    };
  }
}

/** Takes the kept result of a part, or parses it when its text is new. */
function reread<Value>(
  kept: Map<string, CachedPart<Value>>,
  part: ConfigPart,
  parse: (part: ConfigPart) => PartResult<Value>,
): CachedPart<Value> {
  const before = kept.get(part.file);
  if (before?.part.text === part.text) return before;
  const held = { part, result: parse(part) };
  kept.set(part.file, held);
  return held;
}

function sameMain(parts: readonly ConfigPart[], before: ConfigPart): boolean {
  const [main, second] = parts.filter((part) => !isCustomersPart(part));
  return !second && main?.file === before.file && main.text === before.text;
}

/** Whether the customers of changed parts are correct together with those of all other parts. */
function fits(
  { main, fileOfId, fileOfKey }: AcceptedIndex,
  changed: readonly CachedPart<CustomersPart>[],
  replaced: ReadonlySet<string>,
): boolean {
  const customers = changed.flatMap(({ part, result }) =>
    result.kind === 'parsed' ? locateCustomers(part, result.value) : [],
  );
  const usedElsewhere = (files: ReadonlyMap<string, string>, name: string): boolean => {
    const file = files.get(name);
    return file !== undefined && !replaced.has(file);
  };
  const ids = new Set(customers.map(({ customer }) => customer.id));
  return (
    checkCustomers(main.part, main.value, customers, false).length === 0 &&
    customers.every(
      ({ customer }) =>
        !usedElsewhere(fileOfId, customer.id) && !usedElsewhere(fileOfKey, customer.key),
    ) &&
    main.value.metrics.customers.every((id) => ids.has(id) || usedElsewhere(fileOfId, id))
  );
}

function customersOf({ result }: CachedPart<CustomersPart>): readonly CustomerConfig[] {
  return result.kind === 'parsed' ? result.value.customers : [];
}

function addCustomers(
  { fileOfId, fileOfKey }: AcceptedIndex,
  file: string,
  customers: readonly CustomerConfig[],
): void {
  customers.forEach(({ id, key }) => {
    fileOfId.set(id, file);
    fileOfKey.set(key, file);
  });
}

function removeCustomers({ byFile, fileOfId, fileOfKey }: AcceptedIndex, file: string): void {
  const held = byFile.get(file);
  if (!held) return;
  customersOf(held).forEach(({ id, key }) => {
    fileOfId.delete(id);
    fileOfKey.delete(key);
  });
  byFile.delete(file);
}
