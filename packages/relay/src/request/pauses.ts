/**
 * How long this VM may not send to any target that could receive a request.
 */
import type { Directory } from '../process/directory.js'
import { incarnationOf, type Target } from '../version/target.js'

/**
 * @param sendWait milliseconds until this VM may send to a target; 0 if it may send now.
 * @returns milliseconds until the first target may be sent to again; 0 if one may be sent to now, or if there is none at all. Of targets
 * that hold layers, requests are sent only to those that hold the first one.
 */
export function commonPause (service: string, directory: Pick<Directory, 'usable'>, sendWait: (incarnation: string) => number): number {
  const usable = directory.usable(service)
  const isSplit = usable.some(target => target.layers !== undefined)
  const receivers = isSplit ? usable.filter(holdsFirstLayer) : usable
  const pauses = receivers.map(target => sendWait(incarnationOf(target)))
  return pauses.length === 0 ? 0 : Math.min(...pauses)
}

function holdsFirstLayer (target: Target): boolean {
  return target.layers?.from === 0
}
