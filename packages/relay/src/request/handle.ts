/**
 * Admits a caller's request by checking its route and API key against the current configuration, then relays it by its answer form.
 */
import type { Exchange } from '../connection/callers.js'
import { AnswerForm } from '../version/configuration.js'
import { digestKey } from '../version/digest.js'
import { RelayEvent } from '../process/relay-log.js'
import { Refusal, endWithRefusal } from './refusal.js'
import { lazyContentDigest } from './content.js'
import type { AdmittedRequest, RequestDependencies } from './context.js'
import { relayEvents } from './events.js'
import { drawService, findRoute } from './find-route.js'
import { relaySingleBody } from './whole.js'

/** Retry delay sent with a refusal at admission, milliseconds: about one poll of the store, which may bring a newer configuration. */
const ADMISSION_RETRY_MILLISECONDS = 500

/** Relay function for each form of answer. */
const RELAY_BY_FORM: Record<AnswerForm, (request: AdmittedRequest, dependencies: RequestDependencies) => Promise<void>> = {
  [AnswerForm.SingleBody]: relaySingleBody,
  [AnswerForm.Events]: relayEvents
}

/** Handles one request of a caller until it is answered, refused or abandoned by its caller. */
export async function handleExchange (exchange: Exchange, dependencies: RequestDependencies): Promise<void> {
  let admitted = admit(exchange, dependencies)
  if ('refusal' in admitted && admitted.refusal === Refusal.ConfigurationTooOld) {
    await dependencies.freshness.refresh()
    admitted = admit(exchange, dependencies)
  }
  if ('refusal' in admitted) {
    const status = endWithRefusal(exchange.response, admitted.refusal, ADMISSION_RETRY_MILLISECONDS)
    dependencies.metrics.count('requests_refused_total', { reason: admitted.refusal })
    dependencies.log.info(RelayEvent.RequestRefused, {
      request: admitted.requestId,
      reason: admitted.refusal,
      status,
      version: dependencies.configurationState.current()?.configuration.version,
      beliefAgeMilliseconds: Math.round(dependencies.configurationState.age())
    })
    return
  }
  // The VM that the caller sent the request to has counted it.
  if (!exchange.isHandedOver) dependencies.repeats.recordRequest(admitted.service.name)
  await RELAY_BY_FORM[admitted.route.form](admitted, dependencies)
}

function admit (exchange: Exchange, dependencies: RequestDependencies): AdmittedRequest | { refusal: Refusal, requestId?: string } {
  const { configurationState, dialect } = dependencies
  const terms = dialect.readCaller(exchange.headers)
  const { requestId } = terms
  if (requestId === undefined) return { refusal: Refusal.NoRequestId }
  const found = findRoute(configurationState, exchange.host, exchange.path)
  if ('refusal' in found) return { refusal: found.refusal, requestId }
  const { configuration, route, needsKey } = found
  // The version of the first VM may already have been seen to be in force, so an older one must not decide.
  const versionBefore = exchange.isHandedOver ? terms.configurationVersion : undefined
  if (versionBefore !== undefined && versionBefore > configuration.version) return { refusal: Refusal.ConfigurationTooOld, requestId }
  const keys = configuration.workspacesByKeyDigest
  const workspace = terms.key === undefined ? undefined : keys?.get(digestKey(terms.key))
  if (needsKey && workspace === undefined) return { refusal: Refusal.UnknownKey, requestId }
  const service = configuration.services.get(drawService(route, dependencies.nextFloat()) ?? '')
  if (service === undefined) return { refusal: Refusal.NoTarget, requestId }
  const wait = Math.min(terms.waitMilliseconds ?? Infinity, route.timeoutMilliseconds)
  return {
    exchange,
    requestId,
    terms,
    route,
    service,
    workspace,
    handOver: exchange.isHandedOver ? terms.handOver : undefined,
    contentDigest: lazyContentDigest(exchange, workspace?.name),
    version: configuration.version,
    domainDraw: dependencies.nextFloat(),
    arrivedAt: exchange.arrivedAt.monotonic - (exchange.isHandedOver ? terms.waitedMilliseconds ?? 0 : 0),
    deadline: exchange.arrivedAt.monotonic + wait
  }
}
