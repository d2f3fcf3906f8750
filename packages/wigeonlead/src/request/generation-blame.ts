/**
 * Finds the stage that failed. The failure may name it. Otherwise each stage is probed for a load report, since the stream from the first
 * stage also breaks when a later stage dies and no failure of that stage is reported.
 */
import { FailureKind, type EnginePort, type EngineReport, type Failure, type Outcome, type PathStage } from '@wigeonlead/protocol'

/** A stage that sends no report within this time counts as failed, milliseconds. */
export const PROBE_TIMEOUT_MILLISECONDS = 150

/** @returns the targets that caused the failure of a path; empty if that is unknown. */
export async function findFailedTargets (engines: EnginePort, stages: PathStage[], failure: Failure): Promise<string[]> {
  const named = stages.find(stage => stage.target === failure.peer)?.target
  const isIndirect = failure.kind === FailureKind.Broken && named === stages[0]?.target
  if (named !== undefined && !isIndirect && failure.kind !== FailureKind.TimedOut) return [named]
  const probed = await probeStages(engines, stages)
  if (probed.length > 0 || failure.kind === FailureKind.TimedOut) return probed
  return named === undefined ? [] : [named]
}

/** @returns the targets that send no report or, if all send one, those that have queued work but generate no tokens. */
export async function probeStages (engines: EnginePort, stages: PathStage[]): Promise<string[]> {
  const reports = await Promise.all(stages.map(stage => probe(engines, stage)))
  const silent = stages.filter((_, position) => reports[position]?.ok !== true)
  const faulty = silent.length > 0 ? silent : stages.filter((_, position) => isStalled(reports[position]))
  return faulty.map(stage => stage.target)
}

function isStalled (report: Outcome<EngineReport> | undefined): boolean {
  return report?.ok === true && report.value.queued > 0 && report.value.tokensPerSecond === 0
}

async function probe (engines: EnginePort, stage: PathStage): Promise<Outcome<EngineReport> | undefined> {
  let timer: NodeJS.Timeout | undefined
  const timeout = new Promise<undefined>(resolve => { timer = setTimeout(() => resolve(undefined), PROBE_TIMEOUT_MILLISECONDS) })
  try {
    return await Promise.race([engines.report(stage, PROBE_TIMEOUT_MILLISECONDS), timeout])
  } finally {
    clearTimeout(timer)
  }
}
