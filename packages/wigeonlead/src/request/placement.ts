/**
 * Where the manifest lets a workspace be served.
 */
import type { ManifestWorkspace } from '@wigeonlead/protocol'

/** Tells whether a workspace may be served in a failure domain; everywhere where the manifest names none. */
export function isServedIn (workspace: Pick<ManifestWorkspace, 'failureDomains'>, failureDomain: string): boolean {
  return workspace.failureDomains === undefined || workspace.failureDomains.includes(failureDomain)
}
