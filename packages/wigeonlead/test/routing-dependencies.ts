/**
 * Test fixture: the components of a router that a generation uses, around the engine port and the manifest of a test. The components are
 * real, except for services and claims, which throw.
 */
import type { EnginePort, Manifest } from '@wigeonlead/protocol'
import { createBurnTracker } from '../src/process/burn.js'
import { createFirstTokenTimes } from '../src/process/first-token-times.js'
import { SILENT_LOGGER, createMetrics, createSeededRandom, createTargetTracker, type TargetTracker } from '../src/process/index.js'
import { createPathTimes } from '../src/process/path-times.js'
import { createPrefixCacheIndex } from '../src/process/prefix-memory.js'
import { createRetryBudgets } from '../src/process/retry-budget.js'
import {
  createAdmission, createPathChooser, createStageCosts, type GenerationOrder, type PathChooser, type RequestContext
} from '../src/request/index.js'
import { compileVersion, type CompiledVersion } from '../src/version/index.js'

/** What the components are created from. */
export interface RoutingDependenciesOptions {
  engines: EnginePort
  manifest: Manifest
  seed?: number
}

/** Options of one generation of a test. */
export interface GenerationOptions {
  model: string
  version: string
  prompt: string
  maximumTokens: number
  signal: AbortSignal
  deadlineAt: number
}

/** The components, and how to create a request that uses them. */
export interface RoutingDependencies {
  version: CompiledVersion
  targets: TargetTracker
  paths: PathChooser
  /** Creates the context and the order of a generation. */
  request: (wanted: GenerationOptions) => { context: RequestContext, order: GenerationOrder }
}

/** Creates the components. */
export function createRoutingDependencies ({ engines, manifest, seed = 1 }: RoutingDependenciesOptions): RoutingDependencies {
  const version = compileVersion({ generation: 1, parts: [], stops: [], nonce: 'n', publishedAtMilliseconds: 0 }, manifest)
  const random = createSeededRandom(seed)
  const targets = createTargetTracker({ replicasOf: version.replicasOf })
  const times = createPathTimes()
  const prefixes = createPrefixCacheIndex()
  const costs = createStageCosts({ targets, reports: { load: () => undefined }, times, prefixes, random, countNodes: () => 1 })
  const failureDomain = manifest.failureDomains[0] ?? ''
  const paths = createPathChooser({ targets, random, failureDomain, costs, times, firstTokens: createFirstTokenTimes(), prefixes })
  const dependencies = {
    engines,
    services: { call: async () => { throw new Error('this fixture has no services') } },
    random,
    targets,
    paths,
    admission: createAdmission(),
    claims: { run: async () => { throw new Error('this fixture has no claims') } },
    retryBudgets: createRetryBudgets(),
    metrics: createMetrics(),
    burn: createBurnTracker(),
    logger: SILENT_LOGGER,
    failureDomain,
    defaultDeadlineMilliseconds: 60_000
  } as unknown as RequestContext['dependencies']

  return {
    version,
    targets,
    paths,
    request ({ model: name, version: modelVersion, prompt, maximumTokens, signal, deadlineAt }) {
      const model = version.models.get(name)
      const workspace = manifest.workspaces[0]
      if (model === undefined || workspace === undefined) throw new Error('the manifest lacks the model or a workspace')
      return {
        context: { dependencies, version, versionInForce: () => version, workspace, signal, deadlineAt, priority: 1 },
        order: { model, reference: { model: name, version: modelVersion }, prompt, maximumTokens }
      }
    }
  }
}
