/**
 * A target as listed by the platform.
 */

/** Range of a model's layers that a target has loaded. */
export interface LoadedLayers {
  /** First layer. */
  from: number
  /** One past the last layer. */
  to: number
  weightsVersion: number
}

/** A listed target. */
export interface Target {
  /** Unique among running targets; a restarted target may keep its id. */
  id: string
  /** Start of this incarnation, Unix milliseconds; 0 where the entry does not state it. */
  bornAtMilliseconds: number
  service: string
  /** `IP:PORT`. */
  address: string
  failureDomain: string
  /** Whether the target is draining and takes no new requests. */
  isLeaving: boolean
  /** Requests that it runs concurrently. */
  slots: number
  /** Kind of accelerator; absent for plain services. */
  acceleratorKind?: string
  /** Names of the loaded models. */
  models: string[]
  /** Number of orders that it had accepted when it wrote the entry, which orders the entries of one incarnation; 0 where none is stated. */
  ordersAccepted?: number
  /** Absent where no layers are loaded, or where the service does not split its model. */
  layers?: LoadedLayers
}

/** @returns a key for this incarnation of the target; a later incarnation with the same id keeps none of its state. */
export function incarnationOf (target: Pick<Target, 'id' | 'bornAtMilliseconds'>): string {
  return `${target.id}@${target.bornAtMilliseconds}`
}
