/**
 * Simulates the timing of an accelerator: continuous batching in iterations, a limited prefix cache, and reports that lag behind the actual
 * state.
 */
import { CacheEventKind, prefixDigest, type EngineReport, type StepInput } from '@wigeonlead/protocol'
import { createMillisecondRounder } from '../carry.js'
import type { EngineFaults } from './faults.js'

/** Speed and limits of an accelerator, for the layers that it holds. */
export interface AcceleratorTiming {
  /** Fixed time of each iteration, milliseconds. */
  iterationMilliseconds: number
  /** Time that each session adds to an iteration, milliseconds. */
  stepMilliseconds: number
  /** Time that each character of a prompt adds to its first iteration, milliseconds. */
  prefillMilliseconds: number
  /** Maximum number of steps in an iteration. */
  maximumBatch: number
  /** Number of prompt prefixes that the cache holds. */
  cachedPrefixes: number
  /** How far a report lags behind the actual state, milliseconds. */
  reportLagMilliseconds: number
  /** Loses one cache event in this number, for example every tenth with 10; by default no event is lost. */
  lostCacheEventInterval?: number
}

/** Accelerator of one engine. */
export interface Accelerator {
  /** Runs steps; resolves after the iterations that ran them. */
  run: (inputs: StepInput[]) => Promise<void>
  /** Removes an ended session from the running sessions. */
  endSession: (session: string) => void
  /** Returns the number of running sessions, without the lag of a report. */
  sessions: () => number
  report: () => Pick<EngineReport, 'atMilliseconds' | 'running' | 'queued' | 'tokensPerSecond' | 'cacheEvents'>
}

/** Share of the prefill time of a prompt that a cached prefix saves. */
export const PREFIX_HIT_SAVING = 0.8
const RATE_PERIOD_MILLISECONDS = 1000
const MAX_CACHE_EVENTS = 64
const STALL_POLL_MILLISECONDS = 20

interface QueuedStep {
  input: StepInput
  resolve: () => void
}

interface Snapshot {
  at: number
  running: number
  queued: number
  steps: number
}

/** Creates an idle accelerator. */
export function createAccelerator (timing: AcceleratorTiming, faults: EngineFaults): Accelerator {
  const queue: QueuedStep[] = []
  const sessions = new Set<string>()
  const prefixes = new Set<string>()
  const snapshots: Snapshot[] = [{ at: Date.now(), running: 0, queued: 0, steps: 0 }]
  const events: Array<EngineReport['cacheEvents'][number] & { at: number }> = []
  const toWholeMilliseconds = createMillisecondRounder()
  let sequence = 0
  let steps = 0
  let isBusy = false

  function prefillTime (input: StepInput): number {
    if (input.prefill === undefined) return 0
    const prefix = prefixDigest(input.prefill.prompt)
    const isCached = prefixes.delete(prefix)
    prefixes.add(prefix)
    if (!isCached) recordCacheEvent(CacheEventKind.Stored, prefix)
    if (prefixes.size > timing.cachedPrefixes) {
      const oldest = prefixes.values().next().value ?? ''
      prefixes.delete(oldest)
      recordCacheEvent(CacheEventKind.Evicted, oldest)
    }
    const characters = input.prefill.prompt.length * (isCached ? 1 - PREFIX_HIT_SAVING : 1) +
      input.prefill.prefix.reduce((sum, token) => sum + token.text.length, 0)
    return characters * timing.prefillMilliseconds
  }

  function recordCacheEvent (kind: CacheEventKind, prefix: string): void {
    sequence += 1
    if (timing.lostCacheEventInterval !== undefined && sequence % timing.lostCacheEventInterval === 0) return
    events.push({ at: Date.now(), sequence, kind, prefix })
    if (events.length > MAX_CACHE_EVENTS) events.shift()
  }

  async function runIterations (): Promise<void> {
    isBusy = true
    while (queue.length > 0) {
      queue.sort((left, right) => left.input.priority - right.input.priority)
      const batch = queue.splice(0, timing.maximumBatch)
      const duration = batch.reduce((sum, { input }) => sum + timing.stepMilliseconds + prefillTime(input), timing.iterationMilliseconds)
      await pause(toWholeMilliseconds(duration * faults.slowdown))
      while (faults.isStalled) await pause(STALL_POLL_MILLISECONDS)
      steps += batch.length
      for (const { resolve } of batch) resolve()
      takeSnapshot()
    }
    isBusy = false
    takeSnapshot()
  }

  function takeSnapshot (): void {
    const now = Date.now()
    snapshots.push({ at: now, running: sessions.size, queued: queue.length, steps })
    const oldest = now - timing.reportLagMilliseconds - 2 * RATE_PERIOD_MILLISECONDS
    while ((snapshots[1]?.at ?? now) < oldest) snapshots.shift()
  }

  function snapshotAt (at: number): Snapshot | undefined {
    return snapshots.findLast(snapshot => snapshot.at <= at) ?? snapshots[0]
  }

  return {
    async run (inputs) {
      const completions = inputs.map(input => new Promise<void>(resolve => {
        sessions.add(input.session)
        queue.push({ input, resolve })
      }))
      if (!isBusy) void runIterations()
      await Promise.all(completions)
    },
    endSession: session => { sessions.delete(session) },
    sessions: () => sessions.size,
    report () {
      const atMilliseconds = Date.now() - timing.reportLagMilliseconds
      const current = snapshotAt(atMilliseconds)
      const earlier = snapshotAt(atMilliseconds - RATE_PERIOD_MILLISECONDS)
      return {
        atMilliseconds,
        running: current?.running ?? 0,
        queued: current?.queued ?? 0,
        tokensPerSecond: (current?.steps ?? 0) - (earlier?.steps ?? 0),
        cacheEvents: events.filter(event => event.at <= atMilliseconds).map(({ sequence, kind, prefix }) => ({ sequence, kind, prefix }))
      }
    }
  }
}

function pause (milliseconds: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, milliseconds))
}
