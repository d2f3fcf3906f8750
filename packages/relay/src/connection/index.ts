/**
 * What lives as long as a connection, and how a deployment spells what goes over it.
 */
export {
  OrderResult, type AnswerTerms, type CallerTerms, type Dialect, type PlaceOrder, type RelayTerms, type StageOfPath, type TargetReport
} from './dialect.js'
export { createEngineClient, type EngineClient, type RepathAnswer } from './engine-client.js'
export { SendResult, createTargetClient, type SendOutcome, type TargetCall, type TargetClient } from './target-client.js'
export { createPeerLink, type PeerLink } from './peer-link.js'
export { createCallerListener, type CallerListener, type Exchange, type ExchangeHandler } from './callers.js'
