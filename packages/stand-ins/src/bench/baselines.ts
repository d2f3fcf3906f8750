/**
 * Baselines of path choice. Each picks the stages one by one by its own rule, among the targets that have room and lead to a whole path.
 */
import { FailureKind, Step, failed, success, type Outcome, type PathStage } from '@wigeonlead/protocol'
import { createPathChooser, type PathChooser, type PathPolicyParts, type PathQuery, type StageOption } from 'wigeonlead'

/** Makes a path chooser; undefined stands for the router's own. */
export type PathPolicy = ((parts: PathPolicyParts) => PathChooser) | undefined

/** Picks one of several options. */
type Pick = (options: StageOption[]) => StageOption | undefined

/** The router's own policy and the baselines, by name. */
export const POLICIES: Record<string, PathPolicy> = {
  wigeonlead: undefined,
  random: parts => createStagewise(parts, options => options[Math.floor(parts.random.nextFloat() * options.length)]),
  'round robin': parts => createStagewise(parts, createRoundRobin()),
  'least reported load': parts => createStagewise(parts, options => leastReported(parts, options)),
  'feedback-weighted random': createFeedbackWeighted
}

function createStagewise (parts: PathPolicyParts, pick: Pick): PathChooser {
  const own = createPathChooser(parts)
  return { ...own, choose: query => chooseStagewise(parts, query, pick) }
}

function createRoundRobin (): Pick {
  const turns = new Map<number, number>()
  return options => {
    const from = options[0]?.from ?? 0
    const turn = turns.get(from) ?? 0
    turns.set(from, turn + 1)
    return options[turn % options.length]
  }
}

function leastReported (parts: PathPolicyParts, options: StageOption[]): StageOption | undefined {
  const loadOf = ({ target }: StageOption): number => (parts.reports.load(target.name)?.running ?? 0) / target.capacity
  return options.reduce((left, right) => loadOf(right) < loadOf(left) ? right : left)
}

const FEEDBACK_GAIN = 0.5
const FIRST_LATENCY_MILLISECONDS = 10
const MISSING_FACTOR = 2

/**
 * Probabilistic multicast trees (Johnston, McIntyre, Wolff, Papachristou): a random choice weighted by 1/latency, where the
 * latency is averaged with weight 1/2 and a target whose answer is missing is penalised.
 */
function createFeedbackWeighted (parts: PathPolicyParts): PathChooser {
  const latencies = new Map<string, number>()
  const latencyOf = (target: string): number => latencies.get(target) ?? FIRST_LATENCY_MILLISECONDS
  const own = createPathChooser(parts)

  function pick (options: StageOption[]): StageOption | undefined {
    const weights = options.map(({ target }) => 1 / latencyOf(target.name))
    let left = parts.random.nextFloat() * weights.reduce((sum, weight) => sum + weight, 0)
    return options.find((_, position) => (left -= weights[position] ?? 0) <= 0) ?? options[0]
  }

  function learn (stages: PathStage[], milliseconds: number): void {
    for (const { target } of stages) latencies.set(target, latencyOf(target) + FEEDBACK_GAIN * (milliseconds - latencyOf(target)))
  }

  return {
    choose: query => chooseStagewise(parts, query, pick),
    follow (query, stages, characters) {
      const run = own.follow(query, stages, characters)
      let isMissing = true
      return {
        ...run,
        recordToken (milliseconds) {
          isMissing = false
          learn(stages, milliseconds)
          run.recordToken(milliseconds)
        },
        end () {
          if (isMissing) for (const { target } of stages) latencies.set(target, latencyOf(target) * MISSING_FACTOR)
          run.end()
        }
      }
    }
  }
}

function chooseStagewise (parts: PathPolicyParts, query: PathQuery, pick: Pick): Outcome<PathStage[]> {
  const struck = new Set(query.strikes?.keys())
  const sound = struck.size === 0 ? undefined : tryStagewise(parts, query, pick, struck)
  return sound?.ok === true ? sound : tryStagewise(parts, query, pick, new Set())
}

function tryStagewise (parts: PathPolicyParts, query: PathQuery, pick: Pick, avoided: ReadonlySet<string>): Outcome<PathStage[]> {
  const { layers } = query.model.model
  const usable = query.model.options.filter(({ target }) => !query.excluded.has(target.name) && !avoided.has(target.name) &&
    (query.needsRoom !== true || parts.targets.inFlight(target.name) < parts.targets.window(target.name, target.capacity)))
  const leading = new Set([layers])
  for (const option of [...usable].reverse()) if (leading.has(option.to)) leading.add(option.from)
  const stages: PathStage[] = []
  let at = 0
  while (at < layers) {
    const options = usable.filter(({ from, to }) => from === at && leading.has(to))
    const option = options.length > 0 ? pick(options) : undefined
    if (option === undefined) return failed({ kind: FailureKind.Refused, step: Step.PathChoice, peer: 'local', detail: 'no path' })
    stages.push({ target: option.target.name, address: option.target.address, layers: { from: option.from, to: option.to } })
    at = option.to
  }
  return success(stages)
}
