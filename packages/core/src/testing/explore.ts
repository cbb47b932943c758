/** Explores a small state machine exhaustively by replaying every sequence of its actions. */

/** Actions by name. An action returns false when it is not enabled in the current state. */
export type Actions<Model> = Readonly<Record<string, (model: Model) => boolean>>;

export interface ExplorationOptions<Model> {
  readonly create: () => Model;
  readonly actions: Actions<Model>;
  /** Describes the violated invariant; undefined when the state is valid. */
  readonly violation: (model: Model) => string | undefined;
  /**
   * Identifies a state. States with equal fingerprints must behave alike from then on, since only the
   * first of them is explored further.
   */
  readonly fingerprint: (model: Model) => string;
  /** Number of actions in the longest sequence. */
  readonly depth: number;
}

export type ExplorationResult =
  | { readonly kind: 'holds'; readonly states: number }
  | { readonly kind: 'violated'; readonly trace: readonly string[]; readonly message: string };

/**
 * Explores breadth first, so that a violation is reported with a shortest sequence that leads to it.
 *
 * @example explore({ create, actions, violation, fingerprint, depth: 8 }).kind // 'holds'
 */
export function explore<Model>(options: ExplorationOptions<Model>): ExplorationResult {
  return exploreLevel(options, [[]], new Set(), 0);
}

function exploreLevel<Model>(
  options: ExplorationOptions<Model>,
  frontier: readonly (readonly string[])[],
  seen: Set<string>,
  level: number,
): ExplorationResult {
  const { actions, violation, fingerprint, depth } = options;
  if (level === depth || frontier.length === 0) return { kind: 'holds', states: seen.size };
  const found: { violation?: ExplorationResult } = {};
  const next = frontier.flatMap((trace) =>
    Object.keys(actions)
      .filter(() => found.violation === undefined)
      .map((name) => [...trace, name])
      .filter((extended) => {
        const model = replay(options, extended);
        if (model === undefined) return false;
        const message = violation(model);
        if (message !== undefined) {
          found.violation = { kind: 'violated', trace: extended, message };
        }
        const key = fingerprint(model);
        const isNew = !seen.has(key);
        seen.add(key);
        return isNew;
      }),
  );
  return found.violation ?? exploreLevel(options, next, seen, level + 1);
}

/** Returns the state after a trace; undefined when its last action is not enabled. */
function replay<Model>(
  { create, actions }: ExplorationOptions<Model>,
  trace: readonly string[],
): Model | undefined {
  const model = create();
  const enabled = trace.map((name) => actions[name]?.(model) ?? false);
  return enabled.at(-1) ? model : undefined;
}
