/**
 * Requests to plain services.
 */
export { unsentOrderState } from './order.js'
export { answerServiceCall } from './service-call.js'
