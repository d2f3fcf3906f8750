/**
 * The time that an accelerator takes: continuous batching in iterations, a limited prefix cache, and reports that lag.
 */
import { CacheEventKind, prefixDigest, type EngineReport, type StepInput } from '@wigeonlead/protocol'
import { createCarry } from '../carry.js'
import type { EngineFaults } from './faults.js'

/** How fast an accelerator is, for the layers that it holds. */
export interface AcceleratorTiming {
  /** Time of an iteration by itself, milliseconds. */
  iterationMilliseconds: number
  /** Time that each session adds to an iteration, milliseconds. */
  stepMilliseconds: number
  /** Time that each character of a prompt adds to its first iteration, milliseconds. */
  prefillMilliseconds: number
  maximumBatch: number
  /** Prompt prefixes that the cache holds. */
  cachedPrefixes: number
  /** Age of what a report says, milliseconds. */
  reportLagMilliseconds: number
  /** Every so many cache events one is lost; none by default. */
  lostCacheEvent?: number
}

/** An accelerator in use by one engine. */
export interface Accelerator {
  /** Runs the steps; resolves after the iterations that held them. */
  run: (inputs: StepInput[]) => Promise<void>
  /** The session has ended here. */
  leave: (session: string) => void
  /** Sessions that run now. */
  sessions: () => number
  report: () => Pick<EngineReport, 'atMilliseconds' | 'running' | 'queued' | 'tokensPerSecond' | 'cacheEvents'>
}

/** Share of a prefill that a held prefix saves. */
export const PREFIX_HIT_SAVING = 0.8
const RATE_PERIOD_MILLISECONDS = 1000
const KEPT_EVENTS = 64
const STALL_POLL_MILLISECONDS = 20

interface Waiting {
  input: StepInput
  resolve: () => void
}

interface Snapshot {
  at: number
  running: number
  queued: number
  steps: number
}

/** Makes an idle accelerator. */
export function createAccelerator (timing: AcceleratorTiming, faults: EngineFaults): Accelerator {
  const waiting: Waiting[] = []
  const sessions = new Set<string>()
  const prefixes = new Set<string>()
  const snapshots: Snapshot[] = [{ at: Date.now(), running: 0, queued: 0, steps: 0 }]
  const events: Array<EngineReport['cacheEvents'][number] & { at: number }> = []
  const carry = createCarry()
  let sequence = 0
  let steps = 0
  let isBusy = false

  function prefillTime (input: StepInput): number {
    if (input.prefill === undefined) return 0
    const prefix = prefixDigest(input.prefill.prompt)
    const isHeld = prefixes.delete(prefix)
    prefixes.add(prefix)
    if (!isHeld) note(CacheEventKind.Stored, prefix)
    if (prefixes.size > timing.cachedPrefixes) {
      const oldest = prefixes.values().next().value ?? ''
      prefixes.delete(oldest)
      note(CacheEventKind.Evicted, oldest)
    }
    const characters = input.prefill.prompt.length * (isHeld ? 1 - PREFIX_HIT_SAVING : 1) +
      input.prefill.prefix.reduce((sum, token) => sum + token.text.length, 0)
    return characters * timing.prefillMilliseconds
  }

  function note (kind: CacheEventKind, prefix: string): void {
    sequence += 1
    if (timing.lostCacheEvent !== undefined && sequence % timing.lostCacheEvent === 0) return
    events.push({ at: Date.now(), sequence, kind, prefix })
    if (events.length > KEPT_EVENTS) events.shift()
  }

  async function iterate (): Promise<void> {
    isBusy = true
    while (waiting.length > 0) {
      waiting.sort((left, right) => left.input.priority - right.input.priority)
      const batch = waiting.splice(0, timing.maximumBatch)
      const work = batch.reduce((sum, { input }) => sum + timing.stepMilliseconds + prefillTime(input), timing.iterationMilliseconds)
      await pause(carry(work * faults.slowdown))
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
    snapshots.push({ at: now, running: sessions.size, queued: waiting.length, steps })
    const oldest = now - timing.reportLagMilliseconds - 2 * RATE_PERIOD_MILLISECONDS
    while ((snapshots[1]?.at ?? now) < oldest) snapshots.shift()
  }

  function snapshotAt (at: number): Snapshot | undefined {
    return snapshots.findLast(snapshot => snapshot.at <= at) ?? snapshots[0]
  }

  return {
    async run (inputs) {
      const ends = inputs.map(input => new Promise<void>(resolve => {
        sessions.add(input.session)
        waiting.push({ input, resolve })
      }))
      if (!isBusy) void iterate()
      await Promise.all(ends)
    },
    leave: session => { sessions.delete(session) },
    sessions: () => sessions.size,
    report () {
      const atMilliseconds = Date.now() - timing.reportLagMilliseconds
      const seen = snapshotAt(atMilliseconds)
      const before = snapshotAt(atMilliseconds - RATE_PERIOD_MILLISECONDS)
      return {
        atMilliseconds,
        running: seen?.running ?? 0,
        queued: seen?.queued ?? 0,
        tokensPerSecond: (seen?.steps ?? 0) - (before?.steps ?? 0),
        cacheEvents: events.filter(event => event.at <= atMilliseconds).map(({ sequence, kind, prefix }) => ({ sequence, kind, prefix }))
      }
    }
  }
}

function pause (milliseconds: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, milliseconds))
}
