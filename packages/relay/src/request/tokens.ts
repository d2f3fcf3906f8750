/**
 * Estimates the memory that a request will need, in tokens.
 */
import type { AdmittedRequest } from './context.js'

/**
 * @returns tokens for which a request will need memory: those of its prompt and of its answer. The length of the answer is the caller's
 * estimate, or else the service's usual length; it is capped at the maximum that the request states, if any.
 */
export function estimateTokens (request: AdmittedRequest): number {
  const { promptTokens, maximumAnswerTokens, answerTokensEstimate } = request.terms
  const usualAnswerTokens = request.service.engine?.usualAnswerTokens ?? 0
  const answerTokensLimit = maximumAnswerTokens > 0 ? maximumAnswerTokens : Infinity
  return promptTokens + Math.min(answerTokensLimit, answerTokensEstimate ?? usualAnswerTokens)
}
