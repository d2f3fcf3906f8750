/**
 * Enforces the limits of workspaces at one node: the node's share of their requests a second, tokens a second and concurrent requests.
 */
import type { ManifestWorkspace } from '@wigeonlead/protocol'

/** A limit that was reached, and when the caller may retry. */
export interface LimitReached {
  detail: string
  retryAfterMilliseconds: number
}

/** Limits of all workspaces at this node. */
export interface Limits {
  /** Charges one request with its expected tokens. @returns the limit that it would exceed, or undefined if it is within all limits. */
  charge: (workspace: ManifestWorkspace, tokens: number) => LimitReached | undefined
  /** Ends a charged request, and corrects its charge to the tokens that it actually used. */
  settle: (workspace: ManifestWorkspace, expectedTokens: number, tokens: number) => void
  /** @returns the recent requests a second of each workspace, admitted or not. */
  demand: () => Record<string, number>
}

/** Burst allowed after an idle time: the limit a second times this many seconds. */
const BURST_SECONDS = 2
/** Time constant with which recent requests decay. */
const DEMAND_DECAY_MILLISECONDS = 10_000
/** A workspace with fewer recent requests is not reported, and is removed once none of its requests run. */
const MINIMUM_RECENT_REQUESTS = 0.01
/** Retry delay after the limit of concurrent requests was reached. */
const CONCURRENCY_RETRY_MILLISECONDS = 1000

interface Usage {
  concurrent: number
  /** Number of requests, exponentially decayed up to `decayedAt`. */
  recentRequests: number
  decayedAt: number
  requests: Bucket
  tokens: Bucket
}

interface Bucket {
  level: number
  updatedAt: number
}

/** Creates limits without any usage. @param shareOf returns this node's share of a workspace's limits. */
export function createLimits (shareOf: (workspace: string) => number): Limits {
  const usages = new Map<string, Usage>()

  function usageOf (workspace: ManifestWorkspace): Usage {
    let usage = usages.get(workspace.name)
    if (usage === undefined) {
      usage = { concurrent: 0, recentRequests: 0, decayedAt: Date.now(), requests: emptyBucket(), tokens: emptyBucket() }
      usages.set(workspace.name, usage)
    }
    return usage
  }

  return {
    charge (workspace, tokens) {
      const usage = usageOf(workspace)
      decayRecentRequests(usage)
      usage.recentRequests += 1
      const share = shareOf(workspace.name)
      const { requestsPerSecond, tokensPerSecond, concurrentRequests } = workspace
      if (concurrentRequests !== undefined && usage.concurrent >= Math.max(1, Math.floor(concurrentRequests * share))) {
        return { detail: `workspace ${workspace.name} has its requests at once running`, retryAfterMilliseconds: CONCURRENCY_RETRY_MILLISECONDS }
      }
      const requestWait = waitMilliseconds(usage.requests, requestsPerSecond, share)
      if (requestWait > 0) return { detail: `workspace ${workspace.name} reached its requests a second`, retryAfterMilliseconds: requestWait }
      const tokenWait = waitMilliseconds(usage.tokens, tokensPerSecond, share)
      if (tokenWait > 0) return { detail: `workspace ${workspace.name} reached its tokens a second`, retryAfterMilliseconds: tokenWait }
      usage.concurrent += 1
      usage.requests.level += 1
      usage.tokens.level += tokens
      return undefined
    },
    settle (workspace, expectedTokens, tokens) {
      const usage = usageOf(workspace)
      usage.concurrent = Math.max(0, usage.concurrent - 1)
      usage.tokens.level += tokens - expectedTokens
    },
    demand () {
      const rates: Record<string, number> = {}
      for (const [name, usage] of usages) {
        decayRecentRequests(usage)
        if (usage.recentRequests > MINIMUM_RECENT_REQUESTS) rates[name] = usage.recentRequests * 1000 / DEMAND_DECAY_MILLISECONDS
        else if (usage.concurrent === 0) usages.delete(name)
      }
      return rates
    }
  }
}

function decayRecentRequests (usage: Usage): void {
  const now = Date.now()
  usage.recentRequests *= Math.exp((usage.decayedAt - now) / DEMAND_DECAY_MILLISECONDS)
  usage.decayedAt = now
}

/** Drains a leaky bucket at the limit's rate. @returns how long the next request has to wait until it fits, milliseconds; 0 if it fits. */
function waitMilliseconds (bucket: Bucket, limit: number | undefined, share: number): number {
  const now = Date.now()
  const rate = (limit ?? Infinity) * share
  if (rate === Infinity) bucket.level = 0
  else bucket.level = Math.max(0, bucket.level - rate * Math.max(0, now - bucket.updatedAt) / 1000)
  bucket.updatedAt = now
  const excess = bucket.level - Math.max(1, rate * BURST_SECONDS) + 1
  return excess > 0 ? Math.max(1, excess / rate * 1000) : 0
}

function emptyBucket (): Bucket {
  return { level: 0, updatedAt: Date.now() }
}
