/**
 * `wigeonctl check`: checks a manifest as a whole.
 */
import { checkManifestText, type Manifest } from '@wigeonlead/protocol'
import { ExitCode, type CommandOutput } from '../tool.js'

/** Checks a manifest's text. */
export function checkCommand (text: string): CommandOutput {
  const check = checkManifestText(text)
  if (!check.ok) return faultyManifest(check.faults)
  return { code: ExitCode.Done, text: `the manifest is right: ${summary(check.manifest)}`, value: { ok: true } }
}

/** @returns what is printed for a faulty manifest. */
export function faultyManifest (faults: Array<{ at: string, message: string }>): CommandOutput {
  return { code: ExitCode.Faulty, text: faults.map(fault => `${fault.at}: ${fault.message}`).join('\n'), value: { ok: false, faults } }
}

function summary (manifest: Manifest): string {
  const { models, targets, services, workspaces } = manifest
  return [count(models, 'model'), count(targets, 'target'), count(services, 'service'), count(workspaces, 'workspace')].join(', ')
}

function count (items: unknown[], name: string): string {
  return `${items.length} ${name}${items.length === 1 ? '' : 's'}`
}
