/** Exhaustive exploration of a small state machine by replaying every order of its actions. */

/** An action returns false when it is not enabled in the present state. */
export type Actions<Model> = Readonly<Record<string, (model: Model) => boolean>>;

export interface ExplorationOptions<Model> {
  readonly create: () => Model;
  readonly actions: Actions<Model>;
  /** Says what is wrong with a state, if anything. */
  readonly violation: (model: Model) => string | undefined;
  /** Equal fingerprints behave alike from then on; the second one is not explored further. */
  readonly fingerprint: (model: Model) => string;
  /** Number of actions in the longest order. */
  readonly depth: number;
}

export type ExplorationResult =
  | { readonly kind: 'holds'; readonly states: number }
  | { readonly kind: 'violated'; readonly trace: readonly string[]; readonly message: string };

/**
 * Explores breadth first, so that a violation comes with a shortest order that leads to it.
 *
 * @example explore({ create, actions, violation, fingerprint, depth: 8 }).kind // 'holds'
 */
export function explore<Model>(exploration: ExplorationOptions<Model>): ExplorationResult {
  return exploreLevel(exploration, [[]], new Set(), 0);
}

function exploreLevel<Model>(
  exploration: ExplorationOptions<Model>,
  frontier: readonly (readonly string[])[],
  seen: Set<string>,
  level: number,
): ExplorationResult {
  const { actions, violation, fingerprint, depth } = exploration;
  if (level === depth || frontier.length === 0) return { kind: 'holds', states: seen.size };
  const found: { violation?: ExplorationResult } = {};
  const next = frontier.flatMap((trace) =>
    Object.keys(actions)
      .filter(() => found.violation === undefined)
      .map((name) => [...trace, name])
      .filter((extended) => {
        const model = replay(exploration, extended);
        if (model === undefined) return false;
        const message = violation(model);
        if (message !== undefined) {
          found.violation = { kind: 'violated', trace: extended, message };
        }
        const print = fingerprint(model);
        const isNew = !seen.has(print);
        seen.add(print);
        return isNew;
      }),
  );
  return found.violation ?? exploreLevel(exploration, next, seen, level + 1);
}

/** The state after a trace; undefined when its last action is not enabled. */
function replay<Model>(
  { create, actions }: ExplorationOptions<Model>,
  trace: readonly string[],
): Model | undefined {
  const model = create();
  const enabled = trace.map((name) => actions[name]?.(model) ?? false);
  return enabled.at(-1) ? model : undefined;
}
