/**
 * Limits of workspaces at one node: its share of the requests and tokens a second, and of the requests at once.
 */
import type { ManifestWorkspace } from '@wigeonlead/protocol'

/** Which limit was reached, and when to come back. */
export interface LimitReached {
  detail: string
  retryAfterMilliseconds: number
}

/** The limits of all workspaces. */
export interface Limits {
  /** Takes one request with its expected tokens; undefined when it is within the limits. */
  take: (workspace: ManifestWorkspace, tokens: number) => LimitReached | undefined
  /** Ends a request that was taken, and charges what it really took. */
  settle: (workspace: ManifestWorkspace, expectedTokens: number, tokens: number) => void
  /** @returns requests a second that each workspace asked for lately. */
  demand: () => Record<string, number>
}

/** What may be taken at once after a pause, in seconds of the limit. */
const BURST_SECONDS = 2
/** Time constant of the demand, milliseconds. */
const DEMAND_MILLISECONDS = 10_000
/** A workspace that asked for less is forgotten. */
const LEAST_ASKED = 0.01
const CONCURRENCY_RETRY_MILLISECONDS = 1000

interface Usage {
  concurrent: number
  /** Requests asked for, fading with the demand's time constant. */
  asked: number
  askedAt: number
  requests: Bucket
  tokens: Bucket
}

interface Bucket {
  level: number
  updatedAt: number
}

/** Makes limits of which nothing is used. */
export function createLimits (shareOf: (workspace: string) => number): Limits {
  const usages = new Map<string, Usage>()

  function usageOf (workspace: ManifestWorkspace): Usage {
    let usage = usages.get(workspace.name)
    if (usage === undefined) {
      usage = { concurrent: 0, asked: 0, askedAt: Date.now(), requests: emptyBucket(), tokens: emptyBucket() }
      usages.set(workspace.name, usage)
    }
    return usage
  }

  return {
    take (workspace, tokens) {
      const usage = usageOf(workspace)
      fade(usage)
      usage.asked += 1
      const share = shareOf(workspace.name)
      const { requestsPerSecond, tokensPerSecond, concurrentRequests } = workspace
      if (concurrentRequests !== undefined && usage.concurrent >= Math.max(1, Math.floor(concurrentRequests * share))) {
        return { detail: `workspace ${workspace.name} has its requests at once running`, retryAfterMilliseconds: CONCURRENCY_RETRY_MILLISECONDS }
      }
      const requestWait = waitFor(usage.requests, requestsPerSecond, share)
      if (requestWait > 0) return { detail: `workspace ${workspace.name} reached its requests a second`, retryAfterMilliseconds: requestWait }
      const tokenWait = waitFor(usage.tokens, tokensPerSecond, share)
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
        fade(usage)
        if (usage.asked > LEAST_ASKED) rates[name] = usage.asked * 1000 / DEMAND_MILLISECONDS
        else if (usage.concurrent === 0) usages.delete(name)
      }
      return rates
    }
  }
}

function fade (usage: Usage): void {
  const now = Date.now()
  usage.asked *= Math.exp((usage.askedAt - now) / DEMAND_MILLISECONDS)
  usage.askedAt = now
}

/** A bucket fills as it is used and runs dry at the limit's rate; over its size, the next one has to wait. */
function waitFor (bucket: Bucket, limit: number | undefined, share: number): number {
  const now = Date.now()
  const rate = (limit ?? Infinity) * share
  if (rate === Infinity) bucket.level = 0
  else bucket.level = Math.max(0, bucket.level - rate * Math.max(0, now - bucket.updatedAt) / 1000)
  bucket.updatedAt = now
  const over = bucket.level - Math.max(1, rate * BURST_SECONDS) + 1
  return over > 0 ? Math.max(1, over / rate * 1000) : 0
}

function emptyBucket (): Bucket {
  return { level: 0, updatedAt: Date.now() }
}
