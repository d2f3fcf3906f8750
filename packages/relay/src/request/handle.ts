/**
 * Admits a caller's request: its version, route, key and time; then hands it to the relay of its form.
 */
import type { Exchange } from '../connection/callers.js'
import { AnswerForm, type Route, type WeightedService } from '../version/configuration.js'
import { digestKey } from '../version/digest.js'
import { RelayEvent } from '../process/relay-log.js'
import { Refusal, endWithRefusal } from './answer.js'
import type { AdmittedRequest, RequestParts } from './context.js'
import { relayEvents } from './events.js'
import { relayWhole } from './whole.js'

/** When a caller may come back to a VM that knows too little, milliseconds: about one poll of the store. */
const KNOWLEDGE_RETRY_MILLISECONDS = 500

/** How each form of answer is relayed. */
const RELAYS: Record<AnswerForm, (request: AdmittedRequest, parts: RequestParts) => Promise<void>> = {
  [AnswerForm.Whole]: relayWhole,
  [AnswerForm.Events]: relayEvents
}

/** Handles one request of a caller to its end. */
export async function handleExchange (exchange: Exchange, parts: RequestParts): Promise<void> {
  let admitted = admit(exchange, parts)
  if ('refusal' in admitted && admitted.refusal === Refusal.ConfigurationTooOld) {
    await parts.freshness.learn()
    admitted = admit(exchange, parts)
  }
  if ('refusal' in admitted) {
    const status = endWithRefusal(exchange.response, admitted.refusal, KNOWLEDGE_RETRY_MILLISECONDS)
    parts.metrics.count('requests_refused_total', { reason: admitted.refusal })
    parts.log.note(RelayEvent.RequestRefused, {
      request: admitted.requestId,
      reason: admitted.refusal,
      status,
      version: parts.beliefs.version()?.configuration.version,
      beliefAgeMilliseconds: Math.round(parts.beliefs.age())
    })
    return
  }
  parts.repeats.noteRequest(admitted.service.name)
  await RELAYS[admitted.route.form](admitted, parts)
}

function admit (exchange: Exchange, parts: RequestParts): AdmittedRequest | { refusal: Refusal, requestId?: string } {
  const { beliefs, dialect } = parts
  const terms = dialect.readCaller(exchange.headers)
  const { requestId } = terms
  if (requestId === undefined) return { refusal: Refusal.NoRequestId }
  const version = beliefs.version()
  if (version === undefined) return { refusal: Refusal.NoConfiguration, requestId }
  const { configuration, routes } = version
  const isFresh = beliefs.areKeysFresh()
  const route = routes.find(exchange.host, exchange.path)
  if (route === undefined) return { refusal: isFresh ? Refusal.UnknownRoute : Refusal.ConfigurationTooOld, requestId }
  const keys = configuration.workspacesByKeyDigest
  const needsKey = keys !== undefined && !route.isAnonymous
  if (needsKey && !isFresh) return { refusal: Refusal.ConfigurationTooOld, requestId }
  const workspace = terms.key === undefined ? undefined : keys?.get(digestKey(terms.key))
  if (needsKey && workspace === undefined) return { refusal: Refusal.UnknownKey, requestId }
  const service = configuration.services.get(drawService(route, parts.nextFloat()) ?? '')
  if (service === undefined) return { refusal: Refusal.NoTarget, requestId }
  const wait = Math.min(terms.waitMilliseconds ?? Infinity, route.timeoutMilliseconds)
  return {
    exchange, requestId, terms, route, service, workspace, version: configuration.version, deadline: exchange.arrivedAt.steady + wait
  }
}

function drawService (route: Route, draw: number): string | undefined {
  const total = route.services.reduce((sum: number, { weight }: WeightedService) => sum + weight, 0)
  let left = draw * total
  for (const { name, weight } of route.services) {
    left -= weight
    if (left < 0) return name
  }
  return route.services.at(-1)?.name
}
