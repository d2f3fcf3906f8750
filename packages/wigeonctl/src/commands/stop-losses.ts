/**
 * What a set of stops takes away for good: the last path of a model version or the last target of a service.
 */
import { StopSubject, listCoverageFaults, type Manifest, type PlannedStop, type VmEntry } from '@wigeonlead/protocol'

/** Lists what nothing serves any more while all of these stops are under way. */
export function listLosses (manifest: Manifest, stops: Array<Omit<PlannedStop, 'id'>>, vms: VmEntry[]): string[] {
  const isStopped = createStopTest(stops, vms)
  const rest: Manifest = {
    ...manifest,
    targets: manifest.targets.filter(target => !isStopped(target)),
    services: manifest.services.map(service => ({ ...service, targets: service.targets.filter(target => !isStopped(target)) }))
  }
  return [
    ...listCoverageFaults(rest).map(fault => fault.message),
    ...rest.services.filter(service => service.targets.length === 0).map(service => `no target of service "${service.name}" is left`)
  ].map(loss => `takes the last replica away: ${loss}`)
}

function createStopTest (stops: Array<Omit<PlannedStop, 'id'>>, vms: VmEntry[]): (target: { name: string, address: string }) => boolean {
  const targets = new Set(stops.filter(stop => stop.subject === StopSubject.Target).map(stop => stop.name))
  const stoppedVms = new Set(stops.filter(stop => stop.subject === StopSubject.Vm).map(stop => stop.name))
  const addresses = new Set(vms.filter(vm => stoppedVms.has(vm.name) && vm.peerPort === undefined).map(vm => vm.address))
  return target => targets.has(target.name) || addresses.has(target.address.slice(0, target.address.lastIndexOf(':')))
}
