/**
 * Decides which VMs may coordinate the placement of layers. A VM that is cut off from the targets of a service can neither see nor order
 * them; but a service all of whose targets are lost must not keep every VM from placing the others.
 */

/** What a VM reaches of the services whose layers are placed. */
export interface CoordinatorDutyTerms {
  /** @returns the names of the services that are placed and have targets. */
  placedServices: () => string[]
  isCutOff: (service: string) => boolean
}

/** Whether this VM may coordinate. */
export interface CoordinatorDuty {
  /** Whether this VM may try to acquire the lease, which it has seen without a holder for the given time. */
  mayAcquire: (freeMilliseconds: number) => boolean
  /** Whether this VM, if it holds the lease, must leave it to another one, now that it is cut off from a service. */
  mustRelease: (service: string) => boolean
}

/**
 * Time after which a VM that is cut off from some placed services takes a lease that no other VM wanted, milliseconds: any VM that reaches
 * all of them has tried several times by then.
 */
const UNWANTED_MILLISECONDS = 4000

/** Creates the decision. Services that are not placed do not count. */
export function createCoordinatorDuty ({ placedServices, isCutOff }: CoordinatorDutyTerms): CoordinatorDuty {
  return {
    mayAcquire (freeMilliseconds) {
      const services = placedServices()
      const cutOff = services.filter(isCutOff).length
      return cutOff === 0 || (cutOff < services.length && freeMilliseconds > UNWANTED_MILLISECONDS)
    },
    mustRelease: service => placedServices().includes(service)
  }
}
