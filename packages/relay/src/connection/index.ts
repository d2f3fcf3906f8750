/**
 * Connections to callers, targets and peers, and the dialect of the messages on them.
 */
export { isAddress, splitAddress } from './address.js'
export {
  OrderResult, type AnswerTerms, type CallerTerms, type Dialect, type HandOverHeaders, type PlaceOrder, type RelayTerms, type PathStage,
  type TargetReport
} from './dialect.js'
export type { HandOverTerms, ReachReport } from '../request/ledger.js'
export { ProbeResult, createEngineClient, type EngineClient, type MoveAnswer } from './engine-client.js'
export { SendResult, createTargetClient, type SendOutcome, type TargetCall, type TargetClient, type TargetStates } from './target-client.js'
export { createMessageAssembly, splitMessage, type MessageAssembly, type MessagePart } from './message-parts.js'
export { createPeerLink, type PeerLink } from './peer-link.js'
export { createCallerListener, type CallerListener, type CallerListenerOptions, type Exchange, type ExchangeHandler } from './callers.js'
