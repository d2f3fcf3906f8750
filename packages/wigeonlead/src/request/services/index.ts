/**
 * Requests to plain services, which are not models.
 */
export { unsentOrderState } from './order.js'
export { answerServiceCall } from './service-call.js'
