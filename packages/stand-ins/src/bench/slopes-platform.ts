/**
 * Child process of the slopes experiment: runs the platform and the engines, so that their processor time isn't measured with the nodes'.
 */
import type { VmEntry } from '@wigeonlead/protocol'
import { createEngine } from '../engine/core.js'
import { startEngineServer } from '../engine/server.js'
import { startKeyValueServer, startVmListServer } from '../platform/server.js'
import { createKeyValueStore } from '../platform/store.js'
import { serveParent } from './slopes-messages.js'
import { createModelPart } from './slopes-manifest.js'

let vms: VmEntry[] = []

serveParent({
  async platform ({ engines, models }) {
    const keyValue = await startKeyValueServer(createKeyValueStore())
    const vmList = await startVmListServer(() => vms)
    const servers = await Promise.all(Array.from({ length: engines }, (_, index) =>
      startEngineServer(createEngine({ name: `engine-${index}`, held: [createModelPart(index % models)] }))))
    return { keyValue: keyValue.address, vmList: vmList.address, engines: servers.map(server => server.address) }
  },
  async vms (parameters) {
    vms = parameters.vms
    return null
  }
})
