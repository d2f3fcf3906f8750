/**
 * Finds the stage that failed: an event may name it; else the stages are asked for a report, since the first stage also breaks
 * when one behind it dies without saying so.
 */
import { FailureKind, type EnginePort, type EngineReport, type Failure, type Outcome, type PathStage } from '@wigeonlead/protocol'

/** How long a stage may take for a report before it counts as failed, milliseconds. */
export const PROBE_TIMEOUT_MILLISECONDS = 150

/** @returns the targets that are to blame for a failure of a path; none where it doesn't show. */
export async function findFailedTargets (engines: EnginePort, stages: PathStage[], failure: Failure): Promise<string[]> {
  const named = stages.find(stage => stage.target === failure.peer)?.target
  const isHearsay = failure.kind === FailureKind.Broken && named === stages[0]?.target
  if (named !== undefined && !isHearsay && failure.kind !== FailureKind.TimedOut) return [named]
  const found = await probeStages(engines, stages)
  if (found.length > 0 || failure.kind === FailureKind.TimedOut) return found
  return named === undefined ? [] : [named]
}

/** @returns the stages that give no report, or that have work and make nothing of it. */
export async function probeStages (engines: EnginePort, stages: PathStage[]): Promise<string[]> {
  const reports = await Promise.all(stages.map(stage => probe(engines, stage)))
  const silent = stages.filter((_, position) => reports[position]?.ok !== true)
  const stuck = silent.length > 0 ? silent : stages.filter((_, position) => isStuck(reports[position]))
  return stuck.map(stage => stage.target)
}

function isStuck (report: Outcome<EngineReport> | undefined): boolean {
  return report?.ok === true && report.value.queued > 0 && report.value.tokensPerSecond === 0
}

async function probe (engines: EnginePort, stage: PathStage): Promise<Outcome<EngineReport> | undefined> {
  let timer: NodeJS.Timeout | undefined
  const late = new Promise<undefined>(resolve => { timer = setTimeout(() => resolve(undefined), PROBE_TIMEOUT_MILLISECONDS) })
  try {
    return await Promise.race([engines.report(stage, PROBE_TIMEOUT_MILLISECONDS), late])
  } finally {
    clearTimeout(timer)
  }
}
