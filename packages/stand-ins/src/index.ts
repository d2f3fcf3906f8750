/**
 * Stand-ins for the systems that the router works with: the platform (key-value service and VM list), model engines and a plain HTTP
 * service.
 */
export { answerJson, freeAddress, listen, readJson, type RunningServer } from './http.js'
export { createKeyValueStore, type KeyValueStore, type StoreCounts, type StoreWriteResult } from './platform/store.js'
export { createMemoryKeyValue, KeyValueFault, type MemoryKeyValueOptions } from './platform/memory.js'
export {
  ServerFault, WatchFault, loopbackVm, startKeyValueServer, startVmListServer, type KeyValueServerOptions
} from './platform/server.js'
export {
  PeerFault, createMemoryPeerNetwork, type MemoryPeerNetwork, type MemoryPeerOptions, type MemoryPeerTraffic, type PeerCall
} from './peers/memory.js'
export {
  createEngine, type Engine, type EngineOptions, type ForwardStep, type LedgerEntry, type OrderLedgerEntry
} from './engine/core.js'
export type { EngineFaults } from './engine/faults.js'
export { createMemoryEngines, type MemoryEnginesOptions } from './engine/memory.js'
export type { AcceleratorTiming } from './engine/accelerator.js'
export { startEngineServer } from './engine/server.js'
export { answerLength, referenceAnswer } from './engine/model.js'
export { withPausedClock, type PausedClock } from './paused-clock.js'
export { isServed, openCrowd, playCrowd, repeated, unfinishedRequest, type Conduct, type CrowdOutcome } from './crowd.js'
export { startWatched, type Peaks, type WatchedProcess } from './watched-process.js'
export { createOrderService, startOrderServer, type Booking, type OrderService } from './service/orders.js'
