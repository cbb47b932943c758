/**
 * Validates successive configurations incrementally. Unchanged parts are not parsed again, and while
 * the main part is unchanged only the customers of changed parts are checked. The result equals that
 * of `checkConfig` on the whole configuration.
 */
import { checkCustomers } from './check-customers.js';
import {
  checkConfig,
  isCustomersPart,
  locateCustomers,
  uncachedParser,
  type ConfigCheckResult,
  type PartParser,
} from './check-config.js';
import type { PartResult } from './parse-part.js';
import type { ConfigPart } from './config-error.js';
import type { CustomerConfig, CustomersPart, MainPart } from './config-schema.js';

interface CachedPart<Value> {
  readonly part: ConfigPart;
  readonly result: PartResult<Value>;
}

/** Index of the last accepted configuration: customers by file, and the file of each id and key. */
interface AcceptedIndex {
  readonly main: { readonly part: ConfigPart; readonly value: MainPart };
  readonly byFile: Map<string, CachedPart<CustomersPart>>;
  readonly fileOfId: Map<string, string>;
  readonly fileOfKey: Map<string, string>;
}

export class ConfigChecker {
  private readonly mainParts = new Map<string, CachedPart<MainPart>>();

  private readonly customersParts = new Map<string, CachedPart<CustomersPart>>();

  private accepted: AcceptedIndex | undefined;

  private readonly parser: PartParser = {
    main: (part) => parseCached(this.mainParts, part, uncachedParser.main).result,
    customers: (part) => parseCached(this.customersParts, part, uncachedParser.customers).result,
  };

  /**
   * Validates a configuration with the same result as `checkConfig`.
   *
   * @example new ConfigChecker().check([{ file: 'config/main', text: 'format: 1' }]).kind // 'rejected'
   */
  check(parts: readonly ConfigPart[]): ConfigCheckResult {
    const files = new Set(parts.map(({ file }) => file));
    [this.mainParts, this.customersParts].forEach((cache) =>
      [...cache.keys()].filter((file) => !files.has(file)).forEach((file) => cache.delete(file)),
    );
    return this.checkChanged(parts) ?? this.checkAll(parts);
  }

  private checkAll(parts: readonly ConfigPart[]): ConfigCheckResult {
    const result = checkConfig(parts, this.parser);
    if (result.kind === 'accepted') this.accepted = this.indexOf(parts, result.main);
    return result;
  }

  private indexOf(parts: readonly ConfigPart[], main: MainPart): AcceptedIndex | undefined {
    const part = parts.find((candidate) => !isCustomersPart(candidate));
    // The index needs unique part names; values of the configuration service always have them.
    if (!part || new Set(parts.map(({ file }) => file)).size < parts.length) return undefined;
    const accepted: AcceptedIndex = {
      main: { part, value: main },
      byFile: new Map(this.customersParts),
      fileOfId: new Map(),
      fileOfKey: new Map(),
    };
    addCustomers(accepted, part.file, main.customers);
    this.customersParts.forEach((cached, file) =>
      addCustomers(accepted, file, customersOf(cached)),
    );
    return accepted;
  }

  /**
   * Checks only what differs from the last accepted configuration. Undefined when a full check is
   * needed to decide or to list the errors.
   */
  private checkChanged(parts: readonly ConfigPart[]): ConfigCheckResult | undefined {
    const { accepted } = this;
    if (!accepted || !isSameMain(parts, accepted.main.part)) return undefined;
    const customersParts = parts.filter(isCustomersPart);
    const cached = customersParts.map((part) =>
      parseCached(this.customersParts, part, uncachedParser.customers),
    );
    const files = new Set(customersParts.map(({ file }) => file));
    if (files.size < customersParts.length) return undefined;
    const changed = cached.filter((item) => accepted.byFile.get(item.part.file) !== item);
    const removed = [...accepted.byFile.keys()].filter((file) => !files.has(file));
    if (changed.some(({ result }) => result.kind !== 'parsed')) return undefined;
    const replaced = new Set([...removed, ...changed.map(({ part }) => part.file)]);
    if (!areCustomersValid(accepted, changed, replaced)) return undefined;

    replaced.forEach((file) => removeCustomers(accepted, file));
    changed.forEach((item) => {
      accepted.byFile.set(item.part.file, item);
      addCustomers(accepted, item.part.file, customersOf(item));
    });
    const { value: main } = accepted.main;
    return {
      kind: 'accepted',
      main,
      customers: [...main.customers, ...cached.flatMap(customersOf)],
    };
  }
}

/** Returns the cached result of a part, or parses the part when its text has changed. */
function parseCached<Value>(
  cache: Map<string, CachedPart<Value>>,
  part: ConfigPart,
  parse: (part: ConfigPart) => PartResult<Value>,
): CachedPart<Value> {
  const before = cache.get(part.file);
  if (before?.part.text === part.text) return before;
  const parsed = { part, result: parse(part) };
  cache.set(part.file, parsed);
  return parsed;
}

function isSameMain(parts: readonly ConfigPart[], before: ConfigPart): boolean {
  const [main, second] = parts.filter((part) => !isCustomersPart(part));
  return !second && main?.file === before.file && main.text === before.text;
}

/** Whether the customers of changed parts are valid together with those of all unchanged parts. */
function areCustomersValid(
  { main, fileOfId, fileOfKey }: AcceptedIndex,
  changed: readonly CachedPart<CustomersPart>[],
  replaced: ReadonlySet<string>,
): boolean {
  const customers = changed.flatMap(({ part, result }) =>
    result.kind === 'parsed' ? locateCustomers(part, result.value) : [],
  );
  const isUsedInOtherFile = (files: ReadonlyMap<string, string>, name: string): boolean => {
    const file = files.get(name);
    return file !== undefined && !replaced.has(file);
  };
  const ids = new Set(customers.map(({ customer }) => customer.id));
  return (
    checkCustomers(main.part, main.value, customers, false).length === 0 &&
    customers.every(
      ({ customer }) =>
        !isUsedInOtherFile(fileOfId, customer.id) && !isUsedInOtherFile(fileOfKey, customer.key),
    ) &&
    main.value.metrics.customers.every((id) => ids.has(id) || isUsedInOtherFile(fileOfId, id))
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
  const cached = byFile.get(file);
  if (!cached) return;
  customersOf(cached).forEach(({ id, key }) => {
    fileOfId.delete(id);
    fileOfKey.delete(key);
  });
  byFile.delete(file);
}
