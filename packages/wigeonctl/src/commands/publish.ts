/**
 * `wigeonctl publish`: checks a manifest and puts it in force by one compare-and-swap.
 */
import { PublishResult, checkManifestText, describeFailure, publishManifest, type PublishOutcome } from '@wigeonlead/protocol'
import { match } from 'ts-pattern'
import { ExitCode, type CommandOutput, type ToolPorts } from '../tool.js'
import { invalidManifest } from './check.js'

/** Checks the text of a manifest and publishes the manifest if it is valid. */
export async function publishCommand (ports: ToolPorts, text: string): Promise<CommandOutput> {
  const check = checkManifestText(text)
  if (!check.ok) return invalidManifest(check.faults)
  return renderPublishOutcome(await publishManifest(ports.keyValue, ports.random, check.manifest))
}

/** Returns the output for the outcome of a change of the configuration head. */
export function renderPublishOutcome (outcome: PublishOutcome): CommandOutput {
  return match(outcome)
    .with({ kind: PublishResult.Accepted }, ({ head }) => ({
      code: ExitCode.Success, text: `generation ${head.generation} is accepted`, value: { result: outcome.kind, generation: head.generation }
    }))
    .with({ kind: PublishResult.Superseded }, ({ winner }) => ({
      code: ExitCode.Superseded,
      text: `generation ${winner.generation} of another operator was accepted instead; this change is not in force`,
      value: { result: outcome.kind, generation: winner.generation }
    }))
    .with({ kind: PublishResult.Unknown }, ({ failure }) => ({
      code: ExitCode.Unknown,
      text: `whether the change was accepted is not known: ${describeFailure(failure)}`,
      value: { result: outcome.kind, failure: describeFailure(failure) }
    }))
    .with({ kind: PublishResult.Failed }, ({ failure }) => ({
      code: ExitCode.Failed,
      text: `nothing was changed: ${describeFailure(failure)}`,
      value: { result: outcome.kind, failure: describeFailure(failure) }
    }))
    .exhaustive()
}
