/**
 * Which targets are leaving, from the planned stops and the VM list.
 */
import { StopSubject, VmState, type VmEntry } from '@wigeonlead/protocol'
import type { CompiledVersion } from '../../version/index.js'

/** A target that is leaving. */
export interface Leave {
  /** When it will be gone, milliseconds since 1970; absent where nobody says. */
  untilMilliseconds?: number
}

/** Lists the leaving targets by name: engines and targets of services alike. */
export function listLeaving (version: CompiledVersion | undefined, vms: readonly VmEntry[], nowMilliseconds: number): Map<string, Leave> {
  const leaving = new Map<string, Leave>()
  if (version === undefined) return leaving
  const addresses = leavingAddresses(version, vms, nowMilliseconds)
  for (const { name, address } of allTargets(version)) {
    const leave = addresses.get(ipOf(address))
    if (leave !== undefined) leaving.set(name, leave)
  }
  for (const stop of version.head.stops) {
    if (stop.subject === StopSubject.Target && stop.fromMilliseconds <= nowMilliseconds) {
      leaving.set(stop.name, { untilMilliseconds: stop.untilMilliseconds })
    }
  }
  return leaving
}

/** @returns when the planned stop of an entry VM begins, milliseconds since 1970, or undefined where none is planned. */
export function ownStopAt (version: CompiledVersion | undefined, vm: string): number | undefined {
  const stops = version?.head.stops.filter(stop => stop.subject === StopSubject.Vm && stop.name === vm) ?? []
  return stops.length === 0 ? undefined : Math.min(...stops.map(stop => stop.fromMilliseconds))
}

/** Keeps a VM leaving that the list no longer shows: it went, and comes back only when it is listed as live. */
export function mergeVmList (known: readonly VmEntry[], listed: readonly VmEntry[]): VmEntry[] {
  const names = new Set(listed.map(vm => vm.name))
  return [...listed, ...known.filter(vm => vm.state === VmState.Leaving && !names.has(vm.name))]
}

/** Entry VMs carry no targets; on loopback they share their address with some. */
function leavingAddresses (version: CompiledVersion, vms: readonly VmEntry[], nowMilliseconds: number): Map<string, Leave> {
  const targetVms = vms.filter(vm => vm.peerPort === undefined)
  const addresses = new Map<string, Leave>(targetVms.filter(vm => vm.state === VmState.Leaving).map(vm => [vm.address, {}]))
  for (const stop of version.head.stops) {
    if (stop.subject !== StopSubject.Vm || stop.fromMilliseconds > nowMilliseconds) continue
    const vm = targetVms.find(({ name }) => name === stop.name)
    if (vm !== undefined) addresses.set(vm.address, { untilMilliseconds: stop.untilMilliseconds })
  }
  return addresses
}

function allTargets (version: CompiledVersion): Array<{ name: string, address: string }> {
  return [...version.manifest.targets, ...version.manifest.services.flatMap(service => service.targets)]
}

function ipOf (address: string): string {
  return address.slice(0, address.lastIndexOf(':')).replace(/^\[|\]$/g, '')
}
