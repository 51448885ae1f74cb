/**
 * Explicit-state model checker: visits every reachable state of a finite model
 * in breadth-first order and checks its invariants.
 */

/** A transition of a model and the state that it leads to. */
export interface ModelStep<State> {
  /** Description of the transition, printed in traces. */
  readonly label: string;
  readonly state: State;
}

/** A model with finitely many states. */
export interface Model<State> {
  readonly initial: State;
  /** Lists all transitions that are enabled in a state. */
  readonly listSteps: (state: State) => readonly ModelStep<State>[];
  /** Encodes a state; states are equal if their texts are. */
  readonly encode: (state: State) => string;
  /** Describes the invariant that a state violates; undefined if none. */
  readonly findViolation: (state: State) => string | undefined;
}

/** Result of an exploration. */
export interface Exploration {
  /** Number of distinct states found. */
  readonly states: number;
  /** Number of transitions followed. */
  readonly steps: number;
  /** Largest distance of a state from the initial one, in transitions. */
  readonly depth: number;
  /** True if every reachable state was visited without a violation. */
  readonly isComplete: boolean;
  /** The first violation, with a shortest path to it. */
  readonly violation:
    | { readonly kind: string; readonly trace: readonly string[] }
    | undefined;
}

interface Visit {
  /** Index of the visit that led here; -1 for the initial state. */
  readonly parent: number;
  readonly label: string;
  readonly depth: number;
}

/**
 * Visits all states in order of their distance from the initial one and stops
 * at the first violation, so the trace to it is as short as possible.
 *
 * @param model - states, transitions and invariants
 * @param maxStates - limit on distinct states, checked after each depth
 * @returns counts, and the violation if there is one
 */
export function runExploration<State>(
  model: Model<State>,
  maxStates: number,
): Exploration {
  const visits: Visit[] = [{ parent: -1, label: "start", depth: 0 }];
  const seen = new Set<string>([model.encode(model.initial)]);
  let frontier: { readonly state: State; readonly index: number }[] = [
    { state: model.initial, index: 0 },
  ];
  let steps = 0;
  let depth = 0;
  while (frontier.length > 0) {
    const next: typeof frontier = [];
    for (const { state, index } of frontier) {
      const kind = model.findViolation(state);
      if (kind !== undefined) {
        const violation = { kind, trace: listTrace(visits, index) };
        return {
          states: seen.size,
          steps,
          depth,
          isComplete: false,
          violation,
        };
      }
      for (const step of model.listSteps(state)) {
        steps += 1;
        const code = model.encode(step.state);
        if (seen.has(code)) {
          continue;
        }
        seen.add(code);
        visits.push({ parent: index, label: step.label, depth: depth + 1 });
        next.push({ state: step.state, index: visits.length - 1 });
      }
    }
    if (seen.size > maxStates) {
      const isComplete = false;
      return {
        states: seen.size,
        steps,
        depth,
        isComplete,
        violation: undefined,
      };
    }
    frontier = next;
    depth += frontier.length > 0 ? 1 : 0;
  }
  return {
    states: seen.size,
    steps,
    depth,
    isComplete: true,
    violation: undefined,
  };
}

function listTrace(visits: readonly Visit[], from: number): readonly string[] {
  const trace: string[] = [];
  let visit = visits[from];
  while (visit !== undefined && visit.parent >= 0) {
    trace.unshift(visit.label);
    visit = visits[visit.parent];
  }
  return trace;
}
