/**
 * Requests to plain services, which are not models. In this folder an order is one such request with its service and operation; the
 * orders to engines are in process/reconciler.
 */
export { unsentOrderState } from './order.js'
export { answerServiceCall } from './service-call.js'
