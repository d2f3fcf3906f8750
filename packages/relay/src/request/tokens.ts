/**
 * Estimates the memory that a request will need, in tokens.
 */
import type { AdmittedRequest } from './context.js'

/**
 * @returns tokens for which a request will need memory: its prompt, and the length of the answer as estimated by the caller (else the
 * service's usual length), capped at the request's maximum.
 */
export function estimateTokens (request: AdmittedRequest): number {
  const { promptTokens, maximumAnswerTokens, answerTokensEstimate } = request.terms
  const usualAnswerTokens = request.service.engine?.usualAnswerTokens ?? 0
  const answerTokensLimit = maximumAnswerTokens > 0 ? maximumAnswerTokens : Infinity
  return promptTokens + Math.min(answerTokensLimit, answerTokensEstimate ?? usualAnswerTokens)
}
