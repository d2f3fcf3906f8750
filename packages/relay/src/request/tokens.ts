/**
 * Estimates the size of a request and the memory that it will need, in tokens.
 */
import type { RequestSize } from '../process/routing/path-estimate.js'
import type { AdmittedRequest } from './context.js'

/** What of a request its size is estimated from. */
export type SizedRequest = Pick<AdmittedRequest, 'service' | 'terms'>

/**
 * @returns the tokens of a request's prompt and of its answer. The length of the answer is the caller's estimate, or else the service's
 * usual length; it is capped at the maximum that the request states, if any.
 */
export function estimateSize (request: SizedRequest): RequestSize {
  const { promptTokens, maximumAnswerTokens, answerTokensEstimate } = request.terms
  const usualAnswerTokens = request.service.engine?.usualAnswerTokens ?? 0
  const answerTokensLimit = maximumAnswerTokens > 0 ? maximumAnswerTokens : Infinity
  return { promptTokens, answerTokens: Math.min(answerTokensLimit, answerTokensEstimate ?? usualAnswerTokens) }
}

/** @returns tokens for which a request will need memory: those of its prompt and of its answer. */
export function estimateTokens (request: SizedRequest): number {
  const { promptTokens, answerTokens } = estimateSize(request)
  return promptTokens + answerTokens
}
