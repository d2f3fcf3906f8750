/**
 * Determines which targets are leaving from the planned stops and the VM list.
 */
import { StopSubject, VmState, type VmEntry } from '@wigeonlead/protocol'
import type { CompiledVersion } from '../../version/index.js'

/** The departure of a target that is leaving. */
export interface Departure {
  /** When the target is shut down, milliseconds since 1970; absent if that is unknown. */
  untilMilliseconds?: number
}

/**
 * Lists the leaving targets by name, both engines and targets of services.
 * @param now milliseconds since 1970.
 */
export function listLeaving (version: CompiledVersion | undefined, vms: readonly VmEntry[], now: number): Map<string, Departure> {
  const leaving = new Map<string, Departure>()
  if (version === undefined) return leaving
  const addresses = leavingAddresses(version, vms, now)
  for (const { name, address } of allTargets(version)) {
    const departure = addresses.get(ipOf(address))
    if (departure !== undefined) leaving.set(name, departure)
  }
  for (const stop of version.head.stops) {
    if (stop.subject === StopSubject.Target && stop.fromMilliseconds <= now) {
      leaving.set(stop.name, { untilMilliseconds: stop.untilMilliseconds })
    }
  }
  return leaving
}

/** @returns when the planned stop of an entry VM begins, milliseconds since 1970, or undefined when none is planned. */
export function findOwnStopStart (version: CompiledVersion | undefined, vm: string): number | undefined {
  const stops = version?.head.stops.filter(stop => stop.subject === StopSubject.Vm && stop.name === vm) ?? []
  return stops.length === 0 ? undefined : Math.min(...stops.map(stop => stop.fromMilliseconds))
}

/** Merges a new VM list into the previous one. A leaving VM that is no longer listed stays leaving until it is listed as live again. */
export function mergeVmList (previous: readonly VmEntry[], listed: readonly VmEntry[]): VmEntry[] {
  const names = new Set(listed.map(vm => vm.name))
  return [...listed, ...previous.filter(vm => vm.state === VmState.Leaving && !names.has(vm.name))]
}

/**
 * Returns the departures of leaving VMs by IP address. Entry VMs are left out: they run no targets, but on the loopback interface
 * they have the same address as VMs that do.
 */
function leavingAddresses (version: CompiledVersion, vms: readonly VmEntry[], nowMilliseconds: number): Map<string, Departure> {
  const targetVms = vms.filter(vm => vm.peerPort === undefined)
  const addresses = new Map<string, Departure>(targetVms.filter(vm => vm.state === VmState.Leaving).map(vm => [vm.address, {}]))
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
