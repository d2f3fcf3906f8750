/**
 * Divides the stages of a service into chains that share no target, so that the loss of one target stops only the streams of its chain.
 */
import { incarnationOf, type Target } from '../../version/target.js'

/** A target that holds layers. */
interface Holder {
  incarnation: string
  /** Failure domain and version of the weights: a path stays within both where it can. */
  group: string
  from: number
  to: number
}

/** A chain that is being put together. */
interface Chain {
  name: string
  /** One past its last layer. */
  boundary: number
}

/**
 * Assigns each target to one chain of its failure domain and version of the weights. All VMs with the same list of targets assign them
 * alike, whatever load and losses they know of. Targets that are left over form chains of their own.
 * @returns names of chains by incarnation.
 */
export function assignChains (targets: readonly Target[]): ReadonlyMap<string, string> {
  const holders = targets.flatMap(target => target.layers === undefined
    ? []
    : {
        incarnation: incarnationOf(target),
        group: `${target.failureDomain} ${target.layers.weightsVersion}`,
        from: target.layers.from,
        to: target.layers.to
      })
  const names = new Map<string, string>()
  for (const group of new Set(holders.map(holder => holder.group))) assignGroup(holders.filter(holder => holder.group === group), names)
  return names
}

function assignGroup (holders: readonly Holder[], names: Map<string, string>): void {
  const unassigned = [...holders].sort(byLayers)
  const chains: Chain[] = []
  while (unassigned.length > 0) {
    const chain = shortest(chains)
    const next = chain === undefined ? undefined : nextHolder(unassigned, chain.boundary)
    if (chain !== undefined && next === undefined) {
      chains.splice(chains.indexOf(chain), 1)
      continue
    }
    const holder = next ?? unassigned[0]!
    unassigned.splice(unassigned.indexOf(holder), 1)
    names.set(holder.incarnation, chain?.name ?? holder.incarnation)
    if (chain !== undefined) chain.boundary = holder.to
    else startChains(holder, unassigned, chains, names)
  }
}

/** Starts a chain with each holder of the same first layer. */
function startChains (holder: Holder, unassigned: Holder[], chains: Chain[], names: Map<string, string>): void {
  const others = unassigned.filter(({ from }) => from === holder.from)
  for (const other of others) unassigned.splice(unassigned.indexOf(other), 1)
  for (const first of [holder, ...others]) {
    names.set(first.incarnation, first.incarnation)
    chains.push({ name: first.incarnation, boundary: first.to })
  }
}

function shortest (chains: readonly Chain[]): Chain | undefined {
  return [...chains].sort((one, other) => one.boundary - other.boundary)[0]
}

/** @returns the holder that continues a chain: the one that repeats the fewest of its layers. */
function nextHolder (unassigned: readonly Holder[], boundary: number): Holder | undefined {
  const candidates = unassigned.filter(({ from, to }) => from <= boundary && to > boundary)
  return candidates.find(({ from }) => from === candidates.at(-1)!.from)
}

function byLayers (one: Holder, other: Holder): number {
  return one.from - other.from || one.to - other.to || (one.incarnation < other.incarnation ? -1 : 1)
}
