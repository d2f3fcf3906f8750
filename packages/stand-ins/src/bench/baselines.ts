/**
 * Baseline path-choice policies that the experiments compare with the router's own policy. Each baseline picks the stages of a path one
 * after the other by its own rule, among the targets that have free capacity and from which the model's last layer can still be reached.
 */
import { FailureKind, Step, failed, success, type Outcome, type PathStage } from '@wigeonlead/protocol'
import { createPathChooser, type PathChooser, type PathPolicyDependencies, type PathQuery, type StageOption } from 'wigeonlead'

/** Creates a path chooser; undefined selects the router's own policy. */
export type PathPolicy = ((dependencies: PathPolicyDependencies) => PathChooser) | undefined

/** Picks the next stage among the usable options. */
type PickOption = (options: StageOption[]) => StageOption | undefined

/** The router's own policy and the baselines, by the name under which results are recorded. */
export const POLICIES: Record<string, PathPolicy> = {
  wigeonlead: undefined,
  random: dependencies => createStagewiseChooser(
    dependencies, options => options[Math.floor(dependencies.random.nextFloat() * options.length)]
  ),
  'round robin': dependencies => createStagewiseChooser(dependencies, createRoundRobin()),
  'least reported load': dependencies => createStagewiseChooser(dependencies, options => pickLeastReportedLoad(dependencies, options)),
  'feedback-weighted random': createFeedbackWeightedChooser
}

function createStagewiseChooser (dependencies: PathPolicyDependencies, pick: PickOption): PathChooser {
  const routerChooser = createPathChooser(dependencies)
  return { ...routerChooser, choose: query => choosePathStagewise(dependencies, query, pick) }
}

/** Creates a round robin with a separate counter for each layer boundary. */
function createRoundRobin (): PickOption {
  const pickCounts = new Map<number, number>()
  return options => {
    const boundary = options[0]?.from ?? 0
    const pickCount = pickCounts.get(boundary) ?? 0
    pickCounts.set(boundary, pickCount + 1)
    return options[pickCount % options.length]
  }
}

function pickLeastReportedLoad (dependencies: PathPolicyDependencies, options: StageOption[]): StageOption | undefined {
  const loadOf = ({ target }: StageOption): number => (dependencies.reports.load(target.name)?.running ?? 0) / target.capacity
  return options.reduce((left, right) => loadOf(right) < loadOf(left) ? right : left)
}

const LATENCY_AVERAGE_WEIGHT = 0.5
const INITIAL_LATENCY_MILLISECONDS = 10
const MISSING_ANSWER_FACTOR = 2

/**
 * Creates a chooser modelled on probabilistic multicast trees (Johnston, McIntyre, Wolff, Papachristou): a random choice weighted by
 * 1/latency. Latencies are moving averages with weight 1/2. When no token arrives, the latency of each target on the path is doubled.
 */
function createFeedbackWeightedChooser (dependencies: PathPolicyDependencies): PathChooser {
  const latencies = new Map<string, number>()
  const latencyOf = (target: string): number => latencies.get(target) ?? INITIAL_LATENCY_MILLISECONDS
  const routerChooser = createPathChooser(dependencies)

  function pick (options: StageOption[]): StageOption | undefined {
    const weights = options.map(({ target }) => 1 / latencyOf(target.name))
    let remainingWeight = dependencies.random.nextFloat() * weights.reduce((sum, weight) => sum + weight, 0)
    return options.find((_, position) => (remainingWeight -= weights[position] ?? 0) <= 0) ?? options[0]
  }

  function updateLatencies (stages: PathStage[], milliseconds: number): void {
    for (const { target } of stages) latencies.set(target, latencyOf(target) + LATENCY_AVERAGE_WEIGHT * (milliseconds - latencyOf(target)))
  }

  return {
    choose: query => choosePathStagewise(dependencies, query, pick),
    beginRun (query, stages, characters) {
      const run = routerChooser.beginRun(query, stages, characters)
      let isAnswerMissing = true
      return {
        ...run,
        recordToken (milliseconds) {
          isAnswerMissing = false
          updateLatencies(stages, milliseconds)
          run.recordToken(milliseconds)
        },
        end () {
          if (isAnswerMissing) for (const { target } of stages) latencies.set(target, latencyOf(target) * MISSING_ANSWER_FACTOR)
          run.end()
        }
      }
    }
  }
}

/** Chooses a path without targets that took part in a failure of this request, or among all targets if there is no such path. */
function choosePathStagewise (dependencies: PathPolicyDependencies, query: PathQuery, pick: PickOption): Outcome<PathStage[]> {
  const failedTargets = new Set(query.failureScores?.keys())
  const pathWithoutFailedTargets = failedTargets.size === 0 ? undefined : choosePathAvoiding(dependencies, query, pick, failedTargets)
  return pathWithoutFailedTargets?.ok === true ? pathWithoutFailedTargets : choosePathAvoiding(dependencies, query, pick, new Set())
}

/** Chooses the stages in layer order, without options from which the last layer can't be reached. */
function choosePathAvoiding (
  dependencies: PathPolicyDependencies, query: PathQuery, pick: PickOption, avoidedTargets: ReadonlySet<string>
): Outcome<PathStage[]> {
  const { layers } = query.model.model
  const usableOptions = query.model.options.filter(({ target }) => !query.excluded.has(target.name) && !avoidedTargets.has(target.name) &&
    (query.needsCapacity !== true ||
      dependencies.targets.inFlight(target.name) < dependencies.targets.window(target.name, target.capacity)))
  const boundariesReachingEnd = new Set([layers])
  for (const option of [...usableOptions].reverse()) if (boundariesReachingEnd.has(option.to)) boundariesReachingEnd.add(option.from)
  const stages: PathStage[] = []
  let boundary = 0
  while (boundary < layers) {
    const options = usableOptions.filter(({ from, to }) => from === boundary && boundariesReachingEnd.has(to))
    const option = options.length > 0 ? pick(options) : undefined
    if (option === undefined) return failed({ kind: FailureKind.Refused, step: Step.PathChoice, peer: 'local', detail: 'no path' })
    stages.push({ target: option.target.name, address: option.target.address, layers: { from: option.from, to: option.to } })
    boundary = option.to
  }
  return success(stages)
}
